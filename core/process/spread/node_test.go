package spread_test

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"parsleyroute.example/core"
	"parsleyroute.example/core/process/spread"
	_ "parsleyroute.example/core/suite/seed"
	"parsleyroute.example/core/wire"
)

func team(i int) core.Key { return core.Key{Kind: core.KindTeam, Name: fmt.Sprint("team-", i)} }

// scenario is a fleet and a course of faults, all taken from a seed.
type scenario struct {
	seed    uint64
	zones   int
	entries int
	agents  int
	loss    float64
	steps   int
}

// faults runs the scenario in virtual time and then heals everything.
func (s scenario) faults() error {
	f := newFleet(s.seed)
	f.fabric.loss = s.loss
	for z := range s.zones {
		for i := range s.entries {
			f.add(fmt.Sprint("zone-", z), core.RoleEntry, i)
		}
		for i := range s.agents {
			f.add(fmt.Sprint("zone-", z), core.RoleAgent, i)
		}
	}
	for i := range 5 {
		f.platform.write(team(i), false)
	}
	f.startAll()
	defer f.stopAll()
	for range s.steps {
		switch f.rng.IntN(9) {
		case 0, 1, 2:
			f.platform.write(team(f.rng.IntN(12)), false)
		case 3:
			live := slices.Collect(maps.Keys(f.platform.objects))
			f.platform.write(sorted(live)[f.rng.IntN(len(live))], true)
		case 4:
			f.fabric.mu.Lock()
			zone := fmt.Sprint("zone-", f.rng.IntN(s.zones))
			f.fabric.cut[zone] = !f.fabric.cut[zone]
			f.fabric.mu.Unlock()
		case 5:
			f.platform.setDown(f.rng.IntN(2) == 0)
		case 6:
			inst := f.platform.list[f.rng.IntN(len(f.platform.list))]
			f.stop(inst)
			f.start(inst)
		default:
			for range 10 {
				f.fabric.replay(context.Background())
			}
		}
		if err := f.run(time.Duration(f.rng.IntN(3000)) * time.Millisecond); err != nil {
			return err
		}
	}
	f.platform.setDown(false)
	f.fabric.mu.Lock()
	clear(f.fabric.cut)
	f.fabric.loss = 0
	f.fabric.mu.Unlock()
	_, err := f.within(10 * time.Second)
	return err
}

// Guards against nodes that stay apart after faults have ended, and against
// versions that fall.
func TestConvergesAfterFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := scenario{
			seed:    rapid.Uint64().Draw(rt, "seed"),
			zones:   rapid.IntRange(1, 3).Draw(rt, "zones"),
			entries: rapid.IntRange(1, 4).Draw(rt, "entries"),
			agents:  rapid.IntRange(0, 3).Draw(rt, "agents"),
			loss:    rapid.SampledFrom([]float64{0, 0.1, 0.4}).Draw(rt, "loss"),
			steps:   rapid.IntRange(1, 20).Draw(rt, "steps"),
		}
		var err error
		synctest.Test(t, func(*testing.T) { err = s.faults() })
		if err != nil {
			rt.Fatal(err)
		}
	})
}

func threeZones(seed uint64) *fleet {
	f := newFleet(seed)
	for z := range 3 {
		for i := range 3 {
			f.add(fmt.Sprint("zone-", z), core.RoleEntry, i)
			f.add(fmt.Sprint("zone-", z), core.RoleAgent, i)
		}
	}
	for i := range 50 {
		f.platform.write(team(i), false)
	}
	return f
}

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// Guards against a first start, or a change, that takes longer than the aim
// of 2 s.
func TestChangeIsInForceWithinTwoSeconds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := threeZones(1)
		f.startAll()
		defer f.stopAll()
		took, err := f.within(5 * time.Second)
		must(t, err)
		t.Log("first start took", took)
		f.platform.write(team(3), false)
		took, err = f.within(2 * time.Second)
		must(t, err)
		t.Log("a change took", took)
	})
}

// Guards against instances that come up without a configuration while the
// store and the list are down, although peers have it.
func TestRollingRestartWhileStoreIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := threeZones(2)
		f.startAll()
		defer f.stopAll()
		_, err := f.within(5 * time.Second)
		must(t, err)
		f.platform.setDown(true)
		for _, inst := range f.platform.list {
			f.stop(inst)
			f.start(inst)
			_, err := f.within(10 * time.Second)
			must(t, err)
		}
	})
}

// Guards against nodes that take themselves as synced with nothing, and
// against a fleet that does not come back once the store does.
func TestRestartOfAllWhileStoreIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := threeZones(3)
		f.startAll()
		defer f.stopAll()
		_, err := f.within(5 * time.Second)
		must(t, err)
		f.platform.setDown(true)
		f.stopAll()
		f.startAll()
		must(t, f.run(time.Minute))
		for name, n := range f.nodes {
			if n.Synced() {
				t.Fatal(name, "is synced without a configuration")
			}
		}
		f.platform.setDown(false)
		took, err := f.within(10 * time.Second)
		must(t, err)
		t.Log("return took", took)
	})
}

// Guards against reads of the store and the list that grow with the number of
// instances.
func TestReadsDoNotGrowWithTheFleet(t *testing.T) {
	reads := func(agents int) int {
		n := 0
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(4)
			for i := range 4 {
				f.add("zone-0", core.RoleEntry, i)
			}
			for i := range agents {
				f.add("zone-0", core.RoleAgent, i)
			}
			f.platform.write(team(0), false)
			f.startAll()
			defer f.stopAll()
			_, err := f.within(5 * time.Second)
			must(t, err)
			f.platform.mu.Lock()
			f.platform.reads = 0
			f.platform.mu.Unlock()
			must(t, f.run(5*time.Minute))
			n = f.platform.reads
		})
		return n
	}
	few, many := reads(5), reads(40)
	t.Logf("%d reads with 9 nodes, %d with 44", few, many)
	if many > few*11/10 {
		t.Fatalf("%d reads with 9 nodes, %d with 44", few, many)
	}
}

// Guards against calls without the peer key.
func TestHandlerRefusesWithoutKey(t *testing.T) {
	for _, tc := range []struct {
		own, sent string
		status    int
	}{{key, key, 200}, {key, "", 401}, {key, "other", 401}, {"", "", 401}} {
		n := &spread.Node{Key: tc.own}
		req := httptest.NewRequest(http.MethodPost, wire.ConfigPathPrefix+"Status", strings.NewReader(""))
		req.Header.Set("Content-Type", "application/protobuf")
		req.Header.Set(spread.PeerKeyHeader, tc.sent)
		rec := httptest.NewRecorder()
		n.Handler().ServeHTTP(rec, req)
		if rec.Code != tc.status {
			t.Errorf("key %q for %q: status %d", tc.sent, tc.own, rec.Code)
		}
	}
}

// Guards against agents that hear of a change too late because all entries of
// their zone, which are its relays, are frozen: a zone must be out after 3 s.
func TestAgentsLearnWithoutTheirRelays(t *testing.T) {
	for seed := range uint64(10) {
		synctest.Test(t, func(t *testing.T) {
			f := threeZones(seed)
			f.startAll()
			defer f.stopAll()
			_, err := f.within(5 * time.Second)
			must(t, err)
			for _, inst := range f.platform.list {
				if inst.Zone == "zone-0" && inst.Role == core.RoleEntry {
					f.stop(inst)
				}
			}
			for i := range 5 {
				f.platform.write(team(i), false)
				must(t, f.run(3*time.Second))
				want := f.platform.objects[team(i)].Version
				for _, inst := range f.platform.list {
					if n := f.nodes[inst.Name]; inst.Role == core.RoleAgent && n.Version(team(i)) != want {
						t.Fatalf("seed %d: %s has version %d instead of %d after 3 s", seed, inst.Name, n.Version(team(i)), want)
					}
				}
			}
		})
	}
}
