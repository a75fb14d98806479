package conf

import (
	"net/netip"
	"os"
	"runtime"
	"time"

	"github.com/gravitational/trace"
)

// Defaults of Node.
const (
	DefaultDrainTimeout = time.Minute
	DefaultGracePeriod  = 2 * time.Second
	// DefaultProcs is low because the processes run on small instances. With 10
	// threads, waking idle threads took a quarter of the processing time of each
	// token.
	DefaultProcs = 2
)

// Node holds the settings that entries and agents share.
type Node struct {
	// Instance is the name of the instance, and Zone is its availability zone.
	Instance string `toml:"instance"`
	Zone     string `toml:"zone"`
	// Key is the secret that all processes of the system share to authenticate
	// each other.
	Key string `toml:"key"`
	// Level is the minimum log level: debug, info (default), warn or error.
	Level string `toml:"level"`
	// Seeds are the peer addresses of instances to contact while the instance
	// list is unknown.
	Seeds []netip.AddrPort `toml:"seeds"`
	// DrainTimeout bounds the wait for requests in flight at shutdown; default
	// 60s.
	DrainTimeout Duration `toml:"drain"`
	// GracePeriod is how long a process that shuts down still accepts requests so
	// that the platform's load balancer can stop sending them; default 2s.
	GracePeriod Duration `toml:"grace"`
	// Procs is the number of threads that run Go code at once (GOMAXPROCS);
	// default 2.
	Procs    int      `toml:"procs"`
	Platform Platform `toml:"platform"`
}

// Platform holds the settings for access to the platform.
type Platform struct {
	// Adapter selects the client of the platform. The default, objapi, is the
	// only one.
	Adapter string         `toml:"adapter"`
	Address netip.AddrPort `toml:"address"`
	// Timeout bounds one call to the platform; default 2s.
	Timeout Duration `toml:"timeout"`
}

// CheckIdentity checks the settings that every program needs: the name of its
// instance and its availability zone.
func CheckIdentity(instance, zone string) error {
	switch {
	case instance == "":
		return trace.BadParameter("setting instance is missing")
	case zone == "":
		return trace.BadParameter("setting zone is missing")
	}
	return nil
}

// Check returns an error for the first setting that is missing or out of range.
func (n *Node) Check() error {
	if err := CheckIdentity(n.Instance, n.Zone); err != nil {
		return err
	}
	switch {
	case n.Key == "":
		return trace.BadParameter("setting key is missing")
	case n.Platform.Adapter != "" && n.Platform.Adapter != "objapi":
		return trace.BadParameter("setting platform.adapter: unknown adapter %q; use objapi", n.Platform.Adapter)
	case !n.Platform.Address.IsValid():
		return trace.BadParameter("setting platform.address is missing")
	case n.DrainTimeout.Duration < 0 || n.GracePeriod.Duration < 0 || n.Platform.Timeout.Duration < 0:
		return trace.BadParameter("settings drain, grace and platform.timeout must not be negative")
	}
	if n.Procs < 0 {
		return trace.BadParameter("setting procs must not be negative")
	}
	switch n.Level {
	case "", "debug", "info", "warn", "error":
		return nil
	}
	return trace.BadParameter("setting level: %q is not debug, info, warn or error", n.Level)
}

// NodeSettings returns n itself. Programs that embed Node in their settings
// thereby implement start.Settings.
func (n *Node) NodeSettings() *Node { return n }

// SetMaxProcs applies the setting procs to the process. The environment variable
// GOMAXPROCS takes precedence over the default but not over the setting.
func (n *Node) SetMaxProcs() {
	switch {
	case n.Procs > 0:
		runtime.GOMAXPROCS(n.Procs)
	case os.Getenv("GOMAXPROCS") == "":
		runtime.GOMAXPROCS(DefaultProcs)
	}
}

// CheckAddress checks a required address setting.
func CheckAddress(name string, addr netip.AddrPort) error {
	if !addr.IsValid() || addr.Port() == 0 {
		return trace.BadParameter("setting %s is missing or has no port", name)
	}
	return nil
}
