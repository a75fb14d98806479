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
	// DefaultProcs suits the small instances that the processes run on. With
	// 10 threads, waking idle ones took a quarter of the time for each token.
	DefaultProcs = 2
)

// Node holds the settings that entries and agents share.
type Node struct {
	// Instance is the name of the instance and Zone its availability zone.
	Instance string `toml:"instance"`
	Zone     string `toml:"zone"`
	// Key is the secret that all processes of the system share.
	Key string `toml:"key"`
	// Level is the lowest level logged: debug, info (default), warn or error.
	Level string `toml:"level"`
	// Seeds are the peer addresses of instances to ask when the instance list
	// is unknown.
	Seeds []netip.AddrPort `toml:"seeds"`
	// DrainTimeout bounds the wait for requests in flight at shutdown; default 60s.
	DrainTimeout Duration `toml:"drain"`
	// GracePeriod is the time for which a process that ends goes on taking requests,
	// so that the platform's balancer can notice; default 2s.
	GracePeriod Duration `toml:"grace"`
	// Procs is the number of processor threads that run Go code at once;
	// default 2.
	Procs    int      `toml:"procs"`
	Platform Platform `toml:"platform"`
}

// Platform selects the adapters for the platform.
type Platform struct {
	// Adapter is objapi, which is the default and the only one.
	Adapter string         `toml:"adapter"`
	Address netip.AddrPort `toml:"address"`
	// Timeout bounds one call; default 2s.
	Timeout Duration `toml:"timeout"`
}

// CheckIdentity checks the settings that every program has: the name of its instance and
// its availability zone.
func CheckIdentity(instance, zone string) error {
	switch {
	case instance == "":
		return trace.BadParameter("setting instance is missing")
	case zone == "":
		return trace.BadParameter("setting zone is missing")
	}
	return nil
}

// Check reports the first setting that is missing or out of range.
func (n *Node) Check() error {
	if err := CheckIdentity(n.Instance, n.Zone); err != nil {
		return err
	}
	switch {
	case n.Key == "":
		return trace.BadParameter("setting key is missing")
	case n.Platform.Adapter != "" && n.Platform.Adapter != "objapi":
		return trace.BadParameter("setting platform.adapter: there is no adapter %q; use objapi", n.Platform.Adapter)
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

// NodeSettings returns n itself, for programs that embed it in their settings.
func (n *Node) NodeSettings() *Node { return n }

// SetMaxProcs applies the setting procs to the process. The environment variable
// GOMAXPROCS goes before the default.
func (n *Node) SetMaxProcs() {
	switch {
	case n.Procs > 0:
		runtime.GOMAXPROCS(n.Procs)
	case os.Getenv("GOMAXPROCS") == "":
		runtime.GOMAXPROCS(DefaultProcs)
	}
}

// CheckAddress checks an address setting that must be set.
func CheckAddress(name string, addr netip.AddrPort) error {
	if !addr.IsValid() || addr.Port() == 0 {
		return trace.BadParameter("setting %s is missing or has no port", name)
	}
	return nil
}
