package site

import (
	"fmt"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/gravitational/trace"
)

// Gate is a gate process before the stand-ins.
type Gate struct {
	Name                           string
	Callers, Ready, Peers, Metrics netip.AddrPort
	// Store is the address of the platform's store.
	Store netip.AddrPort
	Seeds []netip.AddrPort
	// Grace is the time that the process has to end, Files its descriptors; zero
	// means no bound.
	Grace time.Duration
	Files int
}

// Write writes the gate's settings file.
func (g *Gate) Write(path string) error {
	seeds := make([]string, len(g.Seeds))
	for i, a := range g.Seeds {
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
seeds = [%s]
[retry]
ratio = 0.2
burst = 40.0
window = "10s"
[cold]
overshoot = 1.5
slack = 5.0
`, g.Name, g.Callers, g.Ready, g.Peers, g.Metrics, g.Store, g.Grace, g.Files, strings.Join(seeds, ", "))
	return trace.ConvertSystemError(os.WriteFile(path, []byte(text), 0o600))
}
