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

// runFaults subjects a fleet to a random sequence of faults in virtual time, ends
// all faults and checks that the fleet converges.
func runFaults(f *fleet, steps int) error {
	for i := range 5 {
		f.write(team(i), false)
	}
	f.startAll()
	defer f.stopAll()
	for range steps {
		inst := f.list[f.scenarioRNG.IntN(len(f.list))]
		switch f.scenarioRNG.IntN(10) {
		case 0, 1, 2:
			f.write(team(f.scenarioRNG.IntN(12)), false)
		case 3:
			f.write(f.log[f.scenarioRNG.IntN(len(f.log))].Key, true)
		case 4:
			f.update(func() { f.isolated[inst.Zone] = !f.isolated[inst.Zone] })
		case 5:
			f.update(func() { f.platformCut[inst.Zone] = !f.platformCut[inst.Zone] })
		case 6:
			f.update(func() { f.down = !f.down })
		case 7:
			f.stop(inst)
			f.start(inst)
		default:
			for range 10 {
				f.replayPush()
			}
		}
		if err := f.run(time.Duration(f.scenarioRNG.IntN(3000)) * time.Millisecond); err != nil {
			return err
		}
	}
	f.update(func() {
		f.down, f.lossRate = false, 0
		clear(f.isolated)
		clear(f.platformCut)
	})
	_, err := f.awaitConverged(10 * time.Second)
	return err
}

// Guards against nodes that do not converge after faults have ended, and against
// versions that decrease.
func TestConvergesAfterFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		zones, entries := rapid.IntRange(1, 3).Draw(rt, "zones"), rapid.IntRange(1, 4).Draw(rt, "entries")
		agents, steps := rapid.IntRange(0, 3).Draw(rt, "agents"), rapid.IntRange(1, 20).Draw(rt, "steps")
		lossRate := rapid.SampledFrom([]float64{0, 0.1, 0.4}).Draw(rt, "loss")
		maxMessageBytes := rapid.SampledFrom([]int{0, 100, 500}).Draw(rt, "message")
		var err error
		synctest.Test(t, func(*testing.T) {
			f := newFleet(seed, zones, entries, agents)
			f.lossRate, f.maxMessageBytes = lossRate, maxMessageBytes
			err = runFaults(f, steps)
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

// withConvergedFleet runs test in virtual time with a fleet of three zones that
// has converged.
func withConvergedFleet(t *testing.T, entries, agents int, test func(t *testing.T, f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(1, 3, entries, agents)
		for i := range 50 {
			f.write(team(i), false)
		}
		f.startAll()
		defer f.stopAll()
		_, err := f.awaitConverged(2 * time.Second)
		must(t, err)
		test(t, f)
	})
}

// Guards against a replication path that fails without notice because another
// one delivers the changes. The limits follow from the paths: pushes take a few
// network delays, exchanges some seconds, and full lists are read every 60 s. If
// heal is set, no change can arrive before it is called.
func TestEachReplicationPathAloneConverges(t *testing.T) {
	for name, tc := range map[string]struct {
		inject, heal func(f *fleet, zone string)
		limit        time.Duration
	}{
		"push":           {func(*fleet, string) {}, nil, 150 * time.Millisecond},
		"forwarded push": {func(f *fleet, zone string) { f.platformCut[zone] = true }, nil, 150 * time.Millisecond},
		"exchange": {
			func(f *fleet, zone string) { f.noPush, f.platformCut[zone] = true, true }, nil, 10 * time.Second,
		},
		"exchange started by peers only": {
			func(f *fleet, zone string) { f.isolated[zone] = true },
			func(f *fleet, zone string) {
				f.isolated[zone], f.platformCut[zone], f.outboundBlocked[zone] = false, true, true
			},
			20 * time.Second,
		},
		"relist": {func(f *fleet, _ string) { f.watchSilent = true }, nil, 70 * time.Second},
		"zone was isolated": {
			func(f *fleet, zone string) { f.noPush, f.isolated[zone] = true, true },
			func(f *fleet, zone string) { f.isolated[zone] = false }, 5 * time.Second,
		},
		"store was down": {
			func(f *fleet, _ string) { f.down = true },
			func(f *fleet, _ string) { f.down = false }, 5 * time.Second,
		},
	} {
		t.Run(name, func(t *testing.T) {
			withConvergedFleet(t, 3, 2, func(t *testing.T, f *fleet) {
				zone := f.list[0].Zone
				f.update(func() { tc.inject(f, zone) })
				must(t, f.run(time.Second))
				f.write(team(3), false)
				f.write(team(4), true)
				if tc.heal != nil {
					must(t, f.run(time.Minute))
					if f.checkConverged() == nil {
						t.Fatal("converged despite a fault that interrupts all paths")
					}
					f.update(func() { tc.heal(f, zone) })
				}
				took, err := f.awaitConverged(tc.limit)
				must(t, err)
				t.Log("took", took)
			})
		})
	}
}

// Guards against restarted instances that do not get the configuration from
// their peers while the store and the instance list are unavailable.
func TestRollingRestartWhileStoreIsDown(t *testing.T) {
	withConvergedFleet(t, 3, 2, func(t *testing.T, f *fleet) {
		f.update(func() { f.down = true })
		for _, inst := range f.list {
			f.stop(inst)
			f.start(inst)
			_, err := f.awaitConverged(5 * time.Second)
			must(t, err)
		}
	})
}

// Guards against a deleted object that is restored by a zone that missed the
// deletion, when all nodes that had the tombstone have restarted.
func TestDeletedObjectIsNotRestoredWithoutTombstone(t *testing.T) {
	withConvergedFleet(t, 1, 8, func(t *testing.T, f *fleet) {
		zone := f.list[0].Zone
		f.update(func() { f.isolated[zone] = true })
		f.write(team(3), true)
		for range 5 { // more revisions than a stale read lags
			f.write(team(4), false)
		}
		resurrected := make(chan string, 1000)
		f.onChange = func(inst core.Instance, obj core.Object) {
			if obj.Key == team(3) && !obj.Deleted {
				resurrected <- inst.Name
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
		f.update(func() { f.isolated[zone], f.platformCut[zone] = false, true })
		_, err := f.awaitConverged(5 * time.Second)
		must(t, err)
		if len(resurrected) > 0 {
			t.Fatal("the deleted object was restored on", <-resurrected)
		}
	})
}

// Guards against nodes that report themselves as synced without a configuration,
// and against a fleet that does not recover when the store does.
func TestRestartOfAllWhileStoreIsDown(t *testing.T) {
	withConvergedFleet(t, 3, 2, func(t *testing.T, f *fleet) {
		f.update(func() { f.down = true })
		f.stopAll()
		f.startAll()
		must(t, f.run(time.Minute))
		for name, n := range f.nodes {
			if n.Synced() {
				t.Fatal(name, "is synced without a configuration")
			}
		}
		f.update(func() { f.down = false })
		took, err := f.awaitConverged(10 * time.Second)
		must(t, err)
		t.Log("recovery took", took)
	})
}

// Guards against a read rate of the store and the instance list that grows with
// the number of instances.
func TestReadsDoNotGrowWithTheFleet(t *testing.T) {
	var reads []int
	for _, agents := range []int{5, 50} {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(4, 1, 4, agents)
			f.write(team(0), false)
			f.startAll()
			defer f.stopAll()
			_, err := f.awaitConverged(5 * time.Second)
			must(t, err)
			f.update(func() { f.platformReads = 0 })
			must(t, f.run(2*time.Minute))
			f.update(func() { reads = append(reads, f.platformReads) })
		})
	}
	t.Logf("%d reads with 9 nodes, %d with 54", reads[0], reads[1])
	if reads[1] > reads[0]*11/10 {
		t.Fatal("reads grow with the fleet")
	}
}

// Guards against a first sync that stops after one message or at objects of the
// maximum size.
func TestLargeObjectsAreSentInBoundedMessages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(1, 1, 1, 1)
		for i := range 8 {
			size := 200_000 + i%2*800_000
			f.log = append(f.log, core.Object{Key: team(i), Version: uint64(i + 1), Value: make([]byte, size)})
		}
		f.startAll()
		defer f.stopAll()
		_, err := f.awaitConverged(5 * time.Second)
		must(t, err)
		f.mu.Lock()
		defer f.mu.Unlock()
		if f.largestMessage > 1<<20+1<<12 {
			t.Fatalf("a message has %d bytes", f.largestMessage)
		}
	})
}

// post calls a method of a node's Config service.
func post(n *spread.Node, peerKey, method string, msg proto.Message) int {
	body, _ := proto.Marshal(msg)
	req, _ := http.NewRequest(http.MethodPost, wire.ConfigPathPrefix+method, bytes.NewReader(body))
	req.Header.Set("Content-Type", "application/protobuf")
	return deliver(n.Handler(), req, peerKey).StatusCode
}

// Guards against a handler that accepts calls without the peer key.
func TestHandlerRejectsCallsWithoutKey(t *testing.T) {
	for _, tc := range []struct {
		nodeKey, sentKey string
		status           int
	}{{testPeerKey, testPeerKey, 200}, {testPeerKey, "", 401}, {testPeerKey, "other", 401}, {"", "", 401}} {
		if got := post(&spread.Node{PeerKey: tc.nodeKey}, tc.sentKey, "Status", &wire.StatusRequest{}); got != tc.status {
			t.Errorf("key %q at a node with key %q: status %d", tc.sentKey, tc.nodeKey, got)
		}
	}
}

// Guards against a node that merges objects outside the configuration, or loses
// its peers by merging an invalid instance list.
func TestInvalidObjectsAreRejected(t *testing.T) {
	withConvergedFleet(t, 3, 2, func(t *testing.T, f *fleet) {
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
			if got := post(n, testPeerKey, "Push", &wire.PushRequest{Objects: []*wire.Object{obj}}); got != http.StatusOK {
				t.Errorf("%v: status %d", obj, got)
			}
		}
		if n.Digest() != before || len(n.Instances()) != len(f.list) {
			t.Fatal("an invalid object was merged")
		}
		if got := post(n, testPeerKey, "Exchange", &wire.ExchangeRequest{Digest: &wire.Digest{Buckets: []uint64{1}}}); got != http.StatusBadRequest {
			t.Errorf("too few bucket digests: status %d", got)
		}
	})
}

// Guards against agents that receive a change too late if all entries of their
// zone, which are its relays, do not respond. A zone must be out within 3 s.
func TestAgentsReceiveChangesWithoutTheirRelays(t *testing.T) {
	for seed := range uint64(10) {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(seed, 3, 2, 3)
			f.startAll()
			defer f.stopAll()
			_, err := f.awaitConverged(5 * time.Second)
			must(t, err)
			for _, inst := range f.list {
				if inst.Zone == f.list[0].Zone && inst.Role == core.RoleEntry {
					f.stop(inst)
				}
			}
			for i := range 5 {
				f.write(team(i), false)
				must(t, f.run(3*time.Second))
				want := f.objectsAt(len(f.log))[team(i)].Version
				for _, inst := range f.list {
					if n := f.nodes[inst.Name]; inst.Role == core.RoleAgent && n.Version(team(i)) != want {
						t.Fatalf("seed %d: %s has version %d instead of %d after 3 s", seed, inst.Name, n.Version(team(i)), want)
					}
				}
			}
		})
	}
}
