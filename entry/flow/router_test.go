package flow

import (
	"net/netip"
	"testing"

	"parsleyroute.example/core"
)

// Guards against sending requests to an agent that is leaving, and against an agent
// that receives none because its predecessor at the same address is leaving.
func TestLeavingAgentsReceiveNoRequests(t *testing.T) {
	leaving, reused := netip.MustParseAddrPort("127.0.0.1:1"), netip.MustParseAddrPort("127.0.0.1:2")
	s := &core.ServiceState{Service: core.Service{Name: "s"}}
	for _, a := range []netip.AddrPort{leaving, reused} {
		s.Upstreams = append(s.Upstreams, &core.UpstreamState{Upstream: core.Upstream{Name: a.String(), Agent: a, Limit: 1}})
	}
	r := &Router{}
	if got := r.upstreamSubset(s); len(got) != 2 {
		t.Fatalf("%d upstreams before an instance list was set, want 2", len(got))
	}
	r.SetInstances([]core.Instance{
		{Name: "a", Role: core.RoleAgent, PeerAddr: leaving, Leaving: true},
		{Name: "b", Role: core.RoleAgent, PeerAddr: reused, Leaving: true},
		{Name: "c", Role: core.RoleAgent, PeerAddr: reused},
	})
	if got := r.upstreamSubset(s); len(got) != 1 || got[0].Agent != reused {
		t.Fatalf("got upstreams %v, want only the one whose agent is not leaving", got)
	}
	r.SetInstances(nil)
	if got := r.upstreamSubset(s); len(got) != 2 {
		t.Fatalf("%d upstreams after the agents are no longer leaving, want 2", len(got))
	}
}
