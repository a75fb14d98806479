package fleet

import (
	"time"

	"parsleyroute.example/gate/process/policy"
)

// recentlyHeard is the time since an upstream was last heard in which it is not
// silent, whatever other gates report.
const recentlyHeard = 300 * time.Millisecond

// minUnheardRequests is the number of requests that must wait at an upstream that
// is no rank for it to count as silent. A single response may be lost alone, and
// nothing but a request shows that such an upstream answers again.
const minUnheardRequests = 2

// Hear records that something was received from the upstream.
func (f *Fleet) Hear(now time.Time, u *Upstream) {
	u.lastHeard.Store(int64(now.Sub(processStart)))
	if u.silent.CompareAndSwap(true, false) {
		f.DecisionLog.Log("upstream_heard", "upstream", u.ID, "pool", u.Entry().Pool)
	}
}

// Silence returns the state that decides which streams and upstreams of a pool are
// silent.
func (f *Fleet) Silence(pool string) *policy.Silence {
	if v, ok := f.silences.Load(pool); ok {
		return v.(*policy.Silence)
	}
	v, _ := f.silences.LoadOrStore(pool, &policy.Silence{})
	return v.(*policy.Silence)
}

// CheckSilence finds the upstreams from which this gate has heard nothing for too
// long. The ranks of a group that stands are all silent and are left out, since
// Standstill decides about them. Only the control goroutine may call it.
func (f *Fleet) CheckSilence(now time.Time) {
	for _, u := range f.upstreams {
		entry := u.Entry()
		enough := 1
		if entry.Group.Name == "" {
			enough = minUnheardRequests
		}
		if u.LocalLoad() < enough || u.silent.Load() || !f.admitsRequests(u) {
			continue
		}
		wait := u.unheard(now)
		if f.Silence(entry.Pool).UpstreamSilent(wait) {
			u.silent.Store(true)
			f.DecisionLog.Log("upstream_silent", "upstream", u.ID, "pool", entry.Pool, "unheard", wait, "waiting", u.LocalLoad())
		}
	}
}

// unheard returns the time for which requests of this gate have been waiting at the
// upstream without anything having been received from it.
func (u *Upstream) unheard(now time.Time) time.Duration {
	return now.Sub(processStart) - time.Duration(max(u.lastHeard.Load(), u.busySince.Load()))
}

// leftAlone reports whether the upstream gets no requests because it is silent. A
// rank gets none until it is heard or answers a call. An upstream without such calls
// gets one request at a time, of this gate and of those that report it as silent.
func (u *Upstream) leftAlone(now time.Time) bool {
	heard := now.Sub(processStart)-time.Duration(u.lastHeard.Load()) < recentlyHeard && u.lastHeard.Load() != 0
	if !u.silent.Load() && (!u.remoteSilent.Load() || heard) {
		return false
	}
	return u.Entry().Group.Name != "" || u.Load() > 0
}

// SilentRanks returns the ranks that this gate takes to be silent.
func (f *Fleet) SilentRanks() []*Upstream {
	var ranks []*Upstream
	for _, u := range f.Snapshot().ByID {
		if u.silent.Load() && u.Entry().Group.Name != "" {
			ranks = append(ranks, u)
		}
	}
	return ranks
}

// LocalSilent returns the keys of the upstreams that this gate takes to be silent.
func (f *Fleet) LocalSilent() map[uint64]bool {
	silent := map[uint64]bool{}
	for _, u := range f.Snapshot().ByID {
		if u.silent.Load() {
			silent[u.Key] = true
		}
	}
	return silent
}
