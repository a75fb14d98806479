package spread_test

import (
	"bytes"
	"fmt"
	"net/http"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"parsleyroute.example/core"
	"parsleyroute.example/core/process/spread"
	_ "parsleyroute.example/core/suite/seed"
	"parsleyroute.example/core/wire"
)

func team(i int) core.Key { return core.Key{Kind: core.KindTeam, Name: fmt.Sprint("team-", i)} }

// faults runs a fleet through a random course of faults in virtual time, then
// heals everything.
func faults(f *fleet, steps int) error {
	for i := range 5 {
		f.write(team(i), false)
	}
	f.startAll()
	defer f.stopAll()
	for range steps {
		inst := f.list[f.rng.IntN(len(f.list))]
		switch f.rng.IntN(10) {
		case 0, 1, 2:
			f.write(team(f.rng.IntN(12)), false)
		case 3:
			f.write(f.log[f.rng.IntN(len(f.log))].Key, true)
		case 4:
			f.set(func() { f.cut[inst.Zone] = !f.cut[inst.Zone] })
		case 5:
			f.set(func() { f.apart[inst.Zone] = !f.apart[inst.Zone] })
		case 6:
			f.set(func() { f.down = !f.down })
		case 7:
			f.stop(inst)
			f.start(inst)
		default:
			for range 10 {
				f.replay()
			}
		}
		if err := f.run(time.Duration(f.rng.IntN(3000)) * time.Millisecond); err != nil {
			return err
		}
	}
	f.set(func() {
		f.down, f.loss = false, 0
		clear(f.cut)
		clear(f.apart)
	})
	_, err := f.within(10 * time.Second)
	return err
}

// Guards against nodes that stay apart after faults have ended, and against
// versions that fall.
func TestConvergesAfterFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		zones, entries := rapid.IntRange(1, 3).Draw(rt, "zones"), rapid.IntRange(1, 4).Draw(rt, "entries")
		agents, steps := rapid.IntRange(0, 3).Draw(rt, "agents"), rapid.IntRange(1, 20).Draw(rt, "steps")
		loss := rapid.SampledFrom([]float64{0, 0.1, 0.4}).Draw(rt, "loss")
		message := rapid.SampledFrom([]int{0, 100, 500}).Draw(rt, "message")
		var err error
		synctest.Test(t, func(*testing.T) {
			f := newFleet(seed, zones, entries, agents)
			f.loss, f.message = loss, message
			err = faults(f, steps)
		})
		if err != nil {
			rt.Fatal(err)
		}
	})
}

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// withFleet runs f in virtual time with a fleet of three zones that has
// converged.
func withFleet(t *testing.T, entries, agents int, test func(t *testing.T, f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(1, 3, entries, agents)
		for i := range 50 {
			f.write(team(i), false)
		}
		f.startAll()
		defer f.stopAll()
		_, err := f.within(2 * time.Second)
		must(t, err)
		test(t, f)
	})
}

// Guards against a path of changes that works only because another one makes
// up for it. The limits follow from the paths: pushes take a few network
// delays, anti-entropy some seconds, and a relist comes every 60 s. Where
// healing is given, nothing can arrive before it.
func TestEachPathAloneIsEnough(t *testing.T) {
	for name, tc := range map[string]struct {
		fault, heal func(f *fleet, zone string)
		limit       time.Duration
	}{
		"push":    {func(*fleet, string) {}, nil, 150 * time.Millisecond},
		"pass on": {func(f *fleet, zone string) { f.apart[zone] = true }, nil, 150 * time.Millisecond},
		"exchange": {
			func(f *fleet, zone string) { f.noPush, f.apart[zone] = true, true }, nil, 10 * time.Second,
		},
		"exchange when only asked": {
			func(f *fleet, zone string) { f.cut[zone] = true },
			func(f *fleet, zone string) { f.cut[zone], f.apart[zone], f.mute[zone] = false, true, true },
			20 * time.Second,
		},
		"relist": {func(f *fleet, _ string) { f.deaf = true }, nil, 70 * time.Second},
		"zone was cut off": {
			func(f *fleet, zone string) { f.noPush, f.cut[zone] = true, true },
			func(f *fleet, zone string) { f.cut[zone] = false }, 5 * time.Second,
		},
		"store was down": {
			func(f *fleet, _ string) { f.down = true },
			func(f *fleet, _ string) { f.down = false }, 5 * time.Second,
		},
	} {
		t.Run(name, func(t *testing.T) {
			withFleet(t, 3, 2, func(t *testing.T, f *fleet) {
				zone := f.list[0].Zone
				f.set(func() { tc.fault(f, zone) })
				must(t, f.run(time.Second))
				f.write(team(3), false)
				f.write(team(4), true)
				if tc.heal != nil {
					must(t, f.run(time.Minute))
					if f.converged() == nil {
						t.Fatal("converged through a fault that cuts all paths")
					}
					f.set(func() { tc.heal(f, zone) })
				}
				took, err := f.within(tc.limit)
				must(t, err)
				t.Log("took", took)
			})
		})
	}
}

// Guards against instances that come up without a configuration while the
// store and the list are down, although peers have it.
func TestRollingRestartWhileStoreIsDown(t *testing.T) {
	withFleet(t, 3, 2, func(t *testing.T, f *fleet) {
		f.set(func() { f.down = true })
		for _, inst := range f.list {
			f.stop(inst)
			f.start(inst)
			_, err := f.within(5 * time.Second)
			must(t, err)
		}
	})
}

// Guards against a deleted object that a zone which missed the deletion brings
// back, when no node that saw the tombstone is left.
func TestDeletedObjectStaysAwayWithoutTombstone(t *testing.T) {
	withFleet(t, 1, 8, func(t *testing.T, f *fleet) {
		zone := f.list[0].Zone
		f.set(func() { f.cut[zone] = true })
		f.write(team(3), true)
		for range 5 { // more than a stale read lags
			f.write(team(4), false)
		}
		back := make(chan string, 1000)
		f.onChange = func(inst core.Instance, obj core.Object) {
			if obj.Key == team(3) && !obj.Deleted {
				back <- inst.Name
			}
		}
		others := slices.DeleteFunc(slices.Clone(f.list), func(inst core.Instance) bool { return inst.Zone == zone })
		for _, inst := range others {
			f.stop(inst)
		}
		for _, inst := range others {
			f.start(inst)
		}
		must(t, f.run(5*time.Second))
		f.set(func() { f.cut[zone], f.apart[zone] = false, true })
		_, err := f.within(5 * time.Second)
		must(t, err)
		if len(back) > 0 {
			t.Fatal("the deleted object came back on", <-back)
		}
	})
}

// Guards against nodes that take themselves as synced with nothing, and
// against a fleet that does not come back once the store does.
func TestRestartOfAllWhileStoreIsDown(t *testing.T) {
	withFleet(t, 3, 2, func(t *testing.T, f *fleet) {
		f.set(func() { f.down = true })
		f.stopAll()
		f.startAll()
		must(t, f.run(time.Minute))
		for name, n := range f.nodes {
			if n.Synced() {
				t.Fatal(name, "is synced without a configuration")
			}
		}
		f.set(func() { f.down = false })
		took, err := f.within(10 * time.Second)
		must(t, err)
		t.Log("return took", took)
	})
}

// Guards against reads of the store and the list that grow with the number of
// instances.
func TestReadsDoNotGrowWithTheFleet(t *testing.T) {
	var reads []int
	for _, agents := range []int{5, 50} {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(4, 1, 4, agents)
			f.write(team(0), false)
			f.startAll()
			defer f.stopAll()
			_, err := f.within(5 * time.Second)
			must(t, err)
			f.set(func() { f.reads = 0 })
			must(t, f.run(2*time.Minute))
			f.set(func() { reads = append(reads, f.reads) })
		})
	}
	t.Logf("%d reads with 9 nodes, %d with 54", reads[0], reads[1])
	if reads[1] > reads[0]*11/10 {
		t.Fatal("reads grow with the fleet")
	}
}

// Guards against a first sync that does not get past the size of one message
// or stops at objects of the greatest size.
func TestLargeObjectsTravelInBoundedMessages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(1, 1, 1, 1)
		for i := range 8 {
			size := 200_000 + i%2*800_000
			f.log = append(f.log, core.Object{Key: team(i), Version: uint64(i + 1), Value: make([]byte, size)})
		}
		f.startAll()
		defer f.stopAll()
		_, err := f.within(5 * time.Second)
		must(t, err)
		f.mu.Lock()
		defer f.mu.Unlock()
		if f.largest > 1<<20+1<<12 {
			t.Fatalf("a message has %d bytes", f.largest)
		}
	})
}

// post calls a method of a node's Config service.
func post(n *spread.Node, sent, method string, msg proto.Message) int {
	body, _ := proto.Marshal(msg)
	req, _ := http.NewRequest(http.MethodPost, wire.ConfigPathPrefix+method, bytes.NewReader(body))
	req.Header.Set("Content-Type", "application/protobuf")
	return deliver(n.Handler(), req, sent).StatusCode
}

// Guards against calls without the peer key.
func TestHandlerRefusesWithoutKey(t *testing.T) {
	for _, tc := range []struct {
		own, sent string
		status    int
	}{{key, key, 200}, {key, "", 401}, {key, "other", 401}, {"", "", 401}} {
		if got := post(&spread.Node{PeerKey: tc.own}, tc.sent, "Status", &wire.StatusRequest{}); got != tc.status {
			t.Errorf("key %q for %q: status %d", tc.sent, tc.own, got)
		}
	}
}

// Guards against pushed objects that are no part of the configuration, and
// against an unreadable instance list that makes a node forget its peers.
func TestBadObjectsAreRefused(t *testing.T) {
	withFleet(t, 3, 2, func(t *testing.T, f *fleet) {
		n := f.nodes[f.list[0].Name]
		before := n.Digest()
		for _, obj := range []*wire.Object{
			{Kind: "claim", Name: "a", Version: 9999},
			{Kind: "team", Name: "", Version: 9999},
			{Kind: "team", Name: "a"},
			{Kind: "roster", Name: "instances", Version: 9999, Value: []byte("no roster")},
			{Kind: "roster", Name: "instances", Version: 9999, Deleted: true},
			{Kind: "roster", Name: "other", Version: 9999},
		} {
			if got := post(n, key, "Push", &wire.PushRequest{Objects: []*wire.Object{obj}}); got != http.StatusOK {
				t.Errorf("%v: status %d", obj, got)
			}
		}
		if n.Digest() != before || len(n.Instances()) != len(f.list) {
			t.Fatal("a bad object was taken")
		}
		if got := post(n, key, "Exchange", &wire.ExchangeRequest{Digest: &wire.Digest{Buckets: []uint64{1}}}); got != http.StatusBadRequest {
			t.Errorf("short list of buckets: status %d", got)
		}
	})
}

// Guards against agents that hear of a change too late because all entries of
// their zone, which are its relays, are frozen: a zone must be out after 3 s.
func TestAgentsLearnWithoutTheirRelays(t *testing.T) {
	for seed := range uint64(10) {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(seed, 3, 2, 3)
			f.startAll()
			defer f.stopAll()
			_, err := f.within(5 * time.Second)
			must(t, err)
			for _, inst := range f.list {
				if inst.Zone == f.list[0].Zone && inst.Role == core.RoleEntry {
					f.stop(inst)
				}
			}
			for i := range 5 {
				f.write(team(i), false)
				must(t, f.run(3*time.Second))
				want := f.at(len(f.log))[team(i)].Version
				for _, inst := range f.list {
					if n := f.nodes[inst.Name]; inst.Role == core.RoleAgent && n.Version(team(i)) != want {
						t.Fatalf("seed %d: %s has version %d instead of %d after 3 s", seed, inst.Name, n.Version(team(i)), want)
					}
				}
			}
		})
	}
}
