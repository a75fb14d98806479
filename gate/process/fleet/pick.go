package fleet

import (
	"encoding/binary"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"parsleyroute.example/core"
)

const (
	// failureWeight is how much more loaded an upstream counts that fails all
	// requests. At 6, one that fails half of them gets a quarter of the work.
	failureWeight = 6
	// queuedPerSlot is the number of requests that may wait at a plain upstream
	// for each that runs there.
	queuedPerSlot = 1
	// queuedAtEngine is the number of requests that may wait at an engine, so
	// that a place is taken again with the next pass.
	queuedAtEngine = 3
	// slowPace is the pace from which an upstream gets work only if all others
	// have theirs, and slowScore puts it behind them.
	slowPace  = 1.8
	slowScore = 1000
	// zoneBias is the load that the way to another zone counts as.
	zoneBias = 0.4
	// defaultSlots is assumed for an upstream that does not tell its slots.
	defaultSlots = 8
)

// Picker chooses the upstream of a request.
type Picker struct {
	Fleet *Fleet
	// Zone is the gate's own zone.
	Zone string
	// Key tells the gates apart.
	Key uint64
}

// Pick returns the least loaded sound upstream of the pool that has a free
// place, or nil. Those in tried are left out. It counts a request at the
// upstream, as Fleet.Begin does.
func (p *Picker) Pick(now time.Time, pool *core.PoolConfig, tried []*Upstream) *Upstream {
	list := p.Fleet.Snapshot().Pools[pool.Name]
	for range list {
		u := p.best(now, pool, list, tried)
		if u == nil {
			return nil
		}
		if u.admitCold(now, p.coldShare(u, pool)) {
			p.Fleet.Begin(u)
			return u
		}
		tried = append(slices.Clip(tried), u)
	}
	return nil
}

// coldShare returns the requests a second that this gate may send to the
// upstream while it is cold. If the allowed rate is less than one for each gate,
// only some of the gates send to it, others to each upstream.
func (p *Picker) coldShare(u *Upstream, pool *core.PoolConfig) int {
	b := p.Fleet.Bounds
	share := (pool.ColdRate*b.ColdOvershoot + b.ColdSlack) * coldShare / float64(p.Fleet.Gates())
	if share >= 1 {
		return int(share)
	}
	if draw(p.Key, u.Key) < share*fewShare {
		return 1
	}
	return 0
}

// draw returns a number in [0, 1) that depends on the two keys only.
func draw(a, b uint64) float64 {
	var buf [16]byte
	binary.LittleEndian.PutUint64(buf[:8], a)
	binary.LittleEndian.PutUint64(buf[8:], b)
	return float64(xxhash.Sum64(buf[:])>>11) / (1 << 53)
}

func (p *Picker) best(now time.Time, pool *core.PoolConfig, list, tried []*Upstream) *Upstream {
	var best *Upstream
	least := math.Inf(1)
	places := p.places(now, pool, list)
	// A random start spreads the choice among equals.
	start := rand.IntN(max(1, len(list)))
	for i := range list {
		u := list[(start+i)%len(list)]
		if slices.Contains(tried, u) || u.paused(now) || u.Load() >= places(u) || p.Fleet.isDown(u) {
			continue
		}
		score := (float64(u.Load()) + 1) * (1 + failureWeight*u.FailureRate(now)) * u.Pace()
		if u.Pace() >= slowPace {
			// All ranks of a group wait for the slow one.
			score += slowScore
		}
		if u.Zone != p.Zone {
			score += zoneBias
		}
		if score < least {
			best, least = u, score
		}
	}
	return best
}

// places returns the function that gives the number of requests that an
// upstream of the pool may have at once.
func (p *Picker) places(now time.Time, pool *core.PoolConfig, list []*Upstream) func(*Upstream) int {
	if pool.Engine != nil {
		n := p.Fleet.running(now, pool, list)
		return func(u *Upstream) int { return max(1, int(float64(n)/u.Pace())) }
	}
	return func(u *Upstream) int {
		slots := u.Peer().MaxSequences
		if slots <= 0 {
			slots = defaultSlots
		}
		return slots * (1 + queuedPerSlot)
	}
}

// State tells why no upstream was picked.
type State int

// The states of a pool.
const (
	// Free pools have an upstream with a free place.
	Free State = iota
	// Full pools have sound upstreams, all of whose places are taken.
	Full
	// Down pools have no upstream that may take work.
	Down
)

// State returns the state of a pool.
func (p *Picker) State(now time.Time, pool *core.PoolConfig) State {
	state := Down
	list := p.Fleet.Snapshot().Pools[pool.Name]
	places := p.places(now, pool, list)
	for _, u := range list {
		if u.paused(now) || p.Fleet.isDown(u) {
			continue
		}
		if u.Load() < places(u) {
			return Free
		}
		state = Full
	}
	return state
}
