package site

import (
	"fmt"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/gravitational/trace"
)

// GateSettings holds the settings of a gate process that uses the stand-ins.
type GateSettings struct {
	Name                                         string
	CallerAddr, ReadyAddr, PeerAddr, MetricsAddr netip.AddrPort
	// StoreAddr is the address of the platform's store.
	StoreAddr netip.AddrPort
	SeedAddrs []netip.AddrPort
	// GracePeriod is the time in which the process must exit after SIGTERM,
	// MaxFiles its limit of file descriptors and MemoryMB that of its memory; zero
	// means no limit.
	GracePeriod time.Duration
	MaxFiles    int
	MemoryMB    int
}

// Write writes the settings file.
func (g *GateSettings) Write(path string) error {
	seeds := make([]string, len(g.SeedAddrs))
	for i, a := range g.SeedAddrs {
		seeds[i] = fmt.Sprintf("%q", a)
	}
	text := fmt.Sprintf(`instance = %q
zone = "z"
callers = %q
ready = %q
peers = %q
metrics = %q
store = %q
grace = %q
files = %d
memory = %d
seeds = [%s]
[retry]
ratio = 0.2
burst = 40.0
window = "10s"
[cold]
overshoot = 1.5
slack = 5.0
`, g.Name, g.CallerAddr, g.ReadyAddr, g.PeerAddr, g.MetricsAddr, g.StoreAddr, g.GracePeriod, g.MaxFiles, g.MemoryMB, strings.Join(seeds, ", "))
	return trace.ConvertSystemError(os.WriteFile(path, []byte(text), 0o600))
}
