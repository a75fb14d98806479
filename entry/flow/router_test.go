package flow

import (
	"net/netip"
	"testing"

	"parsleyroute.example/core"
)

// Guards against requests for an agent that is leaving, and against an agent
// that gets none because a predecessor at its address is leaving.
func TestLeavingAgentsGetNoRequests(t *testing.T) {
	gone, taken := netip.MustParseAddrPort("127.0.0.1:1"), netip.MustParseAddrPort("127.0.0.1:2")
	s := &core.ServiceState{Service: core.Service{Name: "s"}}
	for _, a := range []netip.AddrPort{gone, taken} {
		s.Upstreams = append(s.Upstreams, &core.UpstreamState{Upstream: core.Upstream{Name: a.String(), Agent: a, Limit: 1}})
	}
	r := &Router{}
	if got := r.upstreams(s); len(got) != 2 {
		t.Fatalf("%d upstreams before the list", len(got))
	}
	r.List([]core.Instance{
		{Name: "a", Role: core.RoleAgent, PeerAddr: gone, Leaving: true},
		{Name: "b", Role: core.RoleAgent, PeerAddr: taken, Leaving: true},
		{Name: "c", Role: core.RoleAgent, PeerAddr: taken},
	})
	if got := r.upstreams(s); len(got) != 1 || got[0].Agent != taken {
		t.Fatalf("upstreams %v with a leaving agent", got)
	}
	r.List(nil)
	if got := r.upstreams(s); len(got) != 2 {
		t.Fatalf("%d upstreams after leaving was taken back", len(got))
	}
}
