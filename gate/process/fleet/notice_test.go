package fleet

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"parsleyroute.example/core"
)

// Guards against state that grows with the processes that leave or want no requests.
func TestManyNotices(t *testing.T) {
	g := NewWithT(t)
	f := &Fleet{}
	now := time.Now()
	for i := range 3 * maxNotices {
		id := fmt.Sprintf("i-%d", i)
		entries := map[string]*core.ListedUpstream{id: {ID: id, Pool: "p", Addr: netip.MustParseAddrPort("10.0.0.1:80"), StartTime: int64(i + 1)}}
		at := now.Add(time.Duration(i))
		f.Update(at, entries, nil, &core.Config{})
		u := f.Snapshot().ByID[id]
		f.ObserveLeaving(at, u)
		f.ObservePause(at, u, time.Minute)
	}
	g.Expect(len(f.notices)).To(Equal(maxNotices))
	g.Expect(f.notices).To(HaveKey(Departure{f.Snapshot().ByID[fmt.Sprintf("i-%d", 3*maxNotices-1)].Key, 3 * maxNotices}), "the latest one")
}
