package fleet

import (
	"math"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/samber/lo"

	"parsleyroute.example/core"
	"parsleyroute.example/core/process/evlog"
	"parsleyroute.example/gate/conn/outlet"
	"parsleyroute.example/gate/process/policy"
)

// ColdLimit is the platform's limit on the request rate to a cold upstream.
type ColdLimit struct {
	// All gates together may send PoolConfig.ColdRate x Overshoot + Slack
	// requests per second to one cold upstream.
	Overshoot float64
	Slack     float64
}

const (
	// coldRateMargin is the fraction of the allowed rate to cold upstreams that is
	// used. The rest absorbs bursts that form between gate and upstream.
	coldRateMargin = 0.8
	// coldWindow is the sliding window in which the requests to a cold upstream
	// are counted. Limits on them are per second.
	coldWindow = time.Second
)

// zoneReturnCold is how long the upstreams of a zone count as cold after the zone
// is put back into use. By then their entries show which of them really are.
const zoneReturnCold = time.Second

// Fleet tracks the upstreams of a gate. Its exported fields are set before use.
type Fleet struct {
	ColdLimit   ColdLimit
	DecisionLog *evlog.Logger
	// OnLoadChange, if set, is called when a request of this gate starts or ends
	// at an upstream.
	OnLoadChange func()
	// OnLimitDrop, if set, is called when a response to this gate names a limit and the
	// upstream had none, or a much higher one.
	OnLimitDrop func()
	// OnDeparture, if set, is called when a response to this gate says that an upstream
	// leaves.
	OnDeparture func()
	// OnRestart, if set, is called when another process runs in the place of an upstream.
	OnRestart func(u *Upstream)

	snapshot atomic.Pointer[Snapshot]
	// gateCount is the number of gates that may be sending requests.
	gateCount atomic.Int64
	// shareFrom is the time of the first call of SetMembers.
	shareFrom time.Time
	members   policy.Members
	groups    groups
	// gapMeters maps the name of a pool to its *gapMeter, gapLimits to the
	// time.Duration that the gap between two events of a stream may last.
	gapMeters sync.Map
	gapLimits sync.Map
	noticeMu  sync.Mutex
	// notices holds what processes have said in their responses. departures is set once one
	// of them leaves, and pausesUntil is the end of the longest pause, in nanoseconds since
	// processStart.
	notices     map[Departure]notice
	departures  atomic.Bool
	pausesUntil atomic.Int64
	// silences maps the name of a pool to its *policy.Silence.
	silences sync.Map

	// Only the control goroutine accesses the fields below.

	upstreams map[string]*Upstream
	zonesOut  map[string]bool
	config    *core.Config
}

// Snapshot is the state of the fleet at one point in time. It is immutable.
type Snapshot struct {
	// Pools holds the upstreams that accept new requests, by pool name.
	Pools map[string][]*Upstream
	// ByID holds all known upstreams, including those that are draining or in a
	// zone that is out of use.
	ByID map[string]*Upstream
}

// Snapshot returns the current state.
func (f *Fleet) Snapshot() *Snapshot {
	if s := f.snapshot.Load(); s != nil {
		return s
	}
	return &Snapshot{}
}

// Update replaces the entries of the upstreams, the zones that operators have
// taken out of use and the configuration. Only the control goroutine may call it.
func (f *Fleet) Update(now time.Time, entries map[string]*core.ListedUpstream, zonesOut map[string]bool, config *core.Config) {
	if f.upstreams == nil {
		f.upstreams = map[string]*Upstream{}
	}
	f.config = config
	f.updateZones(now, zonesOut)
	entries = newestPerAddr(entries)
	var gone []*Upstream
	for id, u := range f.upstreams {
		if entry := entries[id]; entry == nil || entry.Addr != u.Conns.Addr || entry.StartTime != u.StartTime {
			_ = u.Conns.Close()
			delete(f.upstreams, id)
			f.DecisionLog.Log("upstream_gone", "upstream", id, "pool", u.Entry().Pool, "replaced", entry != nil)
			gone = append(gone, u)
		}
	}
	for id, entry := range entries {
		f.updateUpstream(now, id, entry)
	}
	f.updateGroups(now, entries)
	f.publish()
	for _, u := range gone {
		if f.OnRestart != nil && f.ProcessState(u) == ProcessReplaced {
			f.OnRestart(u)
		}
	}
}

// ProcessState tells whether an upstream's process is expected to run.
type ProcessState int

// A listed upstream is expected to run. A replaced one has ended, since a later process
// runs in its place, and a leaving one drains or has left the list.
const (
	ProcessListed ProcessState = iota
	ProcessReplaced
	ProcessLeaving
)

// ProcessState returns what the entries say of an upstream's process.
func (f *Fleet) ProcessState(u *Upstream) ProcessState {
	if u.Entry().Draining || u.leaving.Load() {
		return ProcessLeaving
	}
	s := f.Snapshot()
	if s.ByID[u.ID] == u {
		return ProcessListed
	}
	for _, other := range s.ByID {
		if (other.ID == u.ID || other.Conns.Addr == u.Conns.Addr) && other.StartTime > u.StartTime {
			return ProcessReplaced
		}
	}
	return ProcessLeaving
}

// newestPerAddr drops the entries whose address is used by a later process. The
// entry of a process expires only seconds after the process ends.
func newestPerAddr(entries map[string]*core.ListedUpstream) map[string]*core.ListedUpstream {
	byAddr := make(map[netip.AddrPort]*core.ListedUpstream, len(entries))
	for _, entry := range entries {
		if other := byAddr[entry.Addr]; other == nil || entry.StartTime > other.StartTime {
			byAddr[entry.Addr] = entry
		}
	}
	return lo.PickBy(entries, func(_ string, entry *core.ListedUpstream) bool {
		return byAddr[entry.Addr].StartTime <= entry.StartTime
	})
}

func (f *Fleet) updateUpstream(now time.Time, id string, entry *core.ListedUpstream) {
	u := f.upstreams[id]
	if u == nil {
		u = newUpstream(entry, &outlet.Pool{Addr: entry.Addr})
		u.shares = policy.NewShareHistory(f.shareFrom)
		f.restoreNotice(u)
		f.updateShares(now, u)
		u.Conns.SetMaxConnections(f.maxConnections(entry.Pool))
		f.upstreams[id] = u
		f.DecisionLog.Log("upstream_listed", "upstream", id, "pool", entry.Pool, "address", entry.Addr, "zone", entry.Zone, "draining", entry.Draining, "cold", entry.ColdDuration)
	}
	old := u.entry.Swap(entry)
	if entry.Draining && !old.Draining {
		f.DecisionLog.Log("upstream_draining", "upstream", id, "pool", entry.Pool)
	}
	// An unchanged entry must not extend the cold time again. A new upstream was
	// created with entry as its entry.
	if entry.ColdDuration > 0 && (old != entry || u.coldUntil.IsZero()) {
		u.extendCold(now.Add(entry.ColdDuration))
	}
}

// minConnections is the minimum connection limit of a gate for one upstream. It
// keeps the gate's share of a small limit from being rounded down to zero.
const minConnections = 8

// maxConnections returns this gate's share of the connections that an upstream
// of the pool accepts, or zero if their number is not limited.
func (f *Fleet) maxConnections(pool string) int {
	p := f.pool(pool)
	if p == nil || p.MaxConnections <= 0 {
		return 0
	}
	return max(minConnections, p.MaxConnections/f.GateCount())
}

func (f *Fleet) updateZones(now time.Time, zonesOut map[string]bool) {
	for zone := range f.zonesOut {
		if zonesOut[zone] {
			continue
		}
		f.DecisionLog.Log("zone_back", "zone", zone)
		for _, u := range f.upstreams {
			if pool := f.pool(u.Entry().Pool); u.Zone == zone && pool != nil && pool.ColdRate > 0 {
				u.extendCold(now.Add(zoneReturnCold))
			}
		}
	}
	for zone := range zonesOut {
		if !f.zonesOut[zone] {
			f.DecisionLog.Log("zone_out", "zone", zone)
		}
	}
	f.zonesOut = zonesOut
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
		entry := u.Entry()
		if !entry.Draining && !f.zonesOut[entry.Zone] {
			s.Pools[entry.Pool] = append(s.Pools[entry.Pool], u)
		}
	}
	f.snapshot.Store(s)
}

// UpdateRemoteLoads sets the number of requests that the other gates have in
// flight at each upstream, the slowdowns of the slow upstreams and the upstreams
// that other gates take to be silent, all by Upstream.Key. Only the control
// goroutine may call it.
func (f *Fleet) UpdateRemoteLoads(loads map[uint64]int, slowdowns map[uint64]float64, silent map[uint64]bool) {
	for _, u := range f.upstreams {
		u.remoteSilent.Store(silent[u.Key])
		u.remote.Store(int64(loads[u.Key]))
		u.slowdown.Store(math.Float64bits(max(1, slowdowns[u.Key])))
	}
}

// LocalLoads returns the number of this gate's requests in flight at each
// upstream that has any, by Upstream.Key.
func (f *Fleet) LocalLoads() map[uint64]int {
	loads := map[uint64]int{}
	for _, u := range f.Snapshot().ByID {
		if n := u.LocalLoad(); n > 0 {
			loads[u.Key] = n
		}
	}
	return loads
}

// BeginRequest counts a request that is about to be sent to the upstream.
func (f *Fleet) BeginRequest(u *Upstream) {
	if u.local.Add(1) == 1 {
		u.busySince.Store(int64(time.Since(processStart)))
	}
	f.notifyLoadChange()
}

// EndRequest records the end of a request at the upstream and its outcome.
func (f *Fleet) EndRequest(now time.Time, u *Upstream, o Outcome) {
	u.local.Add(-1)
	u.observe(now, o)
	f.notifyLoadChange()
}

func (f *Fleet) notifyLoadChange() {
	if f.OnLoadChange != nil {
		f.OnLoadChange()
	}
}

// CloseIdleConnections closes connections that have been idle for too long. Only
// the control goroutine may call it.
func (f *Fleet) CloseIdleConnections(now time.Time) {
	for _, u := range f.upstreams {
		u.Conns.CloseExpired(now)
	}
}
