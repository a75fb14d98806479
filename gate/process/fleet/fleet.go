package fleet

import (
	"math"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/samber/lo"

	"parsleyroute.example/core"
	"parsleyroute.example/core/process/trail"
	"parsleyroute.example/gate/conn/outlet"
)

// Bounds are the platform's limits that the fleet respects.
type Bounds struct {
	// ColdOvershoot and ColdSlack give the requests a second that a cold
	// upstream may get from all gates: rate x overshoot + slack.
	ColdOvershoot float64
	ColdSlack     float64
}

const (
	// coldShare is the part of the allowed rate to cold upstreams that is used, so
	// that requests which bunch up on the way stay below it.
	coldShare = 0.8
	// fewShare is the part of that which is used where it is less than one request
	// a second for each gate. Chance then tells which gates send to an upstream,
	// and with 36 gates before a rate of 26 their number stays below it by 3.5
	// standard deviations.
	fewShare = 0.75
)

// returnedCold is how long the upstreams of a zone count as cold after the zone
// was taken back, until their entries tell whether they are.
const returnedCold = time.Second

// Fleet holds the upstreams. Its exported fields are set before use.
type Fleet struct {
	Bounds Bounds
	Trail  *trail.Trail
	// OnLoad is called, if it is set, when a request of this gate begins or ends
	// at an upstream.
	OnLoad func()

	snapshot atomic.Pointer[Snapshot]
	// gates is the number of gates that may be sending.
	gates  atomic.Int64
	groups groups
	// paces holds a *pace for each pool, longest its longest pause on time.
	paces   sync.Map
	longest sync.Map

	// The fields below belong to the control goroutine.

	upstreams map[string]*Upstream
	out       map[string]bool
	config    *core.Config
}

// Snapshot is the state of the fleet at a time. It is immutable.
type Snapshot struct {
	// Pools holds the upstreams of each pool that may take new work.
	Pools map[string][]*Upstream
	// ByID holds all upstreams that are known, also those that leave.
	ByID map[string]*Upstream
}

// Snapshot returns the present state.
func (f *Fleet) Snapshot() *Snapshot {
	if s := f.snapshot.Load(); s != nil {
		return s
	}
	return &Snapshot{}
}

// SetGates sets the number of gates that may be sending, which share the
// budgets for cold upstreams and the connections. It belongs to the control
// goroutine.
func (f *Fleet) SetGates(n int) {
	if f.gates.Swap(int64(max(1, n))) == int64(max(1, n)) {
		return
	}
	for _, u := range f.upstreams {
		u.Conn.SetMost(f.mostConnections(u.Peer().Pool))
	}
}

// Gates returns the number of gates that may be sending.
func (f *Fleet) Gates() int { return int(max(1, f.gates.Load())) }

// Update takes over the upstreams, the zones that are out and the
// configuration. It belongs to the control goroutine.
func (f *Fleet) Update(now time.Time, peers map[string]*core.ListedUpstream, out map[string]bool, config *core.Config) {
	if f.upstreams == nil {
		f.upstreams = map[string]*Upstream{}
	}
	f.config = config
	f.updateZones(now, out)
	peers = latest(peers)
	for id, u := range f.upstreams {
		if p := peers[id]; p == nil || p.Addr != u.Conn.Addr || p.StartTime != u.Born {
			_ = u.Conn.Close()
			delete(f.upstreams, id)
			f.Trail.Log("upstream_gone", "upstream", id, "pool", u.Peer().Pool, "replaced", p != nil)
		}
	}
	for id, p := range peers {
		f.updatePeer(now, id, p)
	}
	f.listGroups(now, peers)
	f.publish()
}

// latest leaves out the entries whose address a later process has taken over:
// they lapse seconds after the end of theirs.
func latest(peers map[string]*core.ListedUpstream) map[string]*core.ListedUpstream {
	byAddr := make(map[netip.AddrPort]*core.ListedUpstream, len(peers))
	for _, p := range peers {
		if o := byAddr[p.Addr]; o == nil || p.StartTime > o.StartTime {
			byAddr[p.Addr] = p
		}
	}
	return lo.PickBy(peers, func(_ string, p *core.ListedUpstream) bool { return byAddr[p.Addr].StartTime <= p.StartTime })
}

func (f *Fleet) updatePeer(now time.Time, id string, p *core.ListedUpstream) {
	u := f.upstreams[id]
	if u == nil {
		u = newUpstream(p, &outlet.Pool{Addr: p.Addr})
		u.Conn.SetMost(f.mostConnections(p.Pool))
		f.upstreams[id] = u
		f.Trail.Log("upstream_listed", "upstream", id, "pool", p.Pool, "address", p.Addr, "zone", p.Zone, "draining", p.Draining, "cold", p.ColdDuration)
	}
	old := u.peer.Swap(p)
	if p.Draining && !old.Draining {
		f.Trail.Log("upstream_draining", "upstream", id, "pool", p.Pool)
	}
	if p.ColdDuration > 0 && (old != p || u.coldUntil.IsZero()) {
		u.setCold(now.Add(p.ColdDuration))
	}
}

// minConnections is the least number of connections to one upstream, so that a
// gate's share of a small bound does not round to nothing.
const minConnections = 8

// mostConnections returns this gate's share of the connections that an upstream
// of the pool accepts, zero if they are not bounded.
func (f *Fleet) mostConnections(pool string) int {
	p := f.pool(pool)
	if p == nil || p.MaxConnections <= 0 {
		return 0
	}
	return max(minConnections, p.MaxConnections/f.Gates())
}

func (f *Fleet) updateZones(now time.Time, out map[string]bool) {
	for zone := range f.out {
		if out[zone] {
			continue
		}
		f.Trail.Log("zone_back", "zone", zone)
		for _, u := range f.upstreams {
			if pool := f.pool(u.Peer().Pool); u.Zone == zone && pool != nil && pool.ColdRate > 0 {
				u.setCold(now.Add(returnedCold))
			}
		}
	}
	for zone := range out {
		if !f.out[zone] {
			f.Trail.Log("zone_out", "zone", zone)
		}
	}
	f.out = out
}

func (f *Fleet) pool(name string) *core.PoolConfig {
	if f.config == nil {
		return nil
	}
	return f.config.Pools[name]
}

func (f *Fleet) publish() {
	s := &Snapshot{Pools: map[string][]*Upstream{}, ByID: make(map[string]*Upstream, len(f.upstreams))}
	for id, u := range f.upstreams {
		s.ByID[id] = u
		p := u.Peer()
		if !p.Draining && !f.out[p.Zone] {
			s.Pools[p.Pool] = append(s.Pools[p.Pool], u)
		}
	}
	f.snapshot.Store(s)
}

// Beat takes over the number of requests that the other gates have at each
// upstream and the paces of those that are slow, by key. It belongs to the
// control goroutine.
func (f *Fleet) Beat(loads map[uint64]int, paces map[uint64]float64) {
	for _, u := range f.upstreams {
		u.remote.Store(int64(loads[u.Key]))
		u.pace.Store(math.Float64bits(max(1, paces[u.Key])))
	}
}

// Loads returns this gate's requests at each upstream that has any, by key.
func (f *Fleet) Loads() map[uint64]int {
	loads := map[uint64]int{}
	for _, u := range f.Snapshot().ByID {
		if n := u.Own(); n > 0 {
			loads[u.Key] = n
		}
	}
	return loads
}

// Begin counts a request that is about to be sent to the upstream.
func (f *Fleet) Begin(u *Upstream) {
	u.own.Add(1)
	f.loadChanged()
}

// End counts the end of a request at the upstream and its outcome.
func (f *Fleet) End(now time.Time, u *Upstream, o Outcome) {
	u.own.Add(-1)
	u.observe(now, o)
	f.loadChanged()
}

func (f *Fleet) loadChanged() {
	if f.OnLoad != nil {
		f.OnLoad()
	}
}

// Tick closes connections that have been idle for too long. It belongs to the
// control goroutine.
func (f *Fleet) Tick(now time.Time) {
	for _, u := range f.upstreams {
		u.Conn.Sweep(now)
	}
}
