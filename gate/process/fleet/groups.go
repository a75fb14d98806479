package fleet

import (
	"sync"
	"sync/atomic"
	"time"

	"parsleyroute.example/core"
	"parsleyroute.example/gate/process/policy"
)

// groups holds the rank groups of all pools by name. It is safe for concurrent
// use.
type groups struct {
	mu     sync.Mutex
	byName map[string]*groupState
}

// groupState is what a gate knows of one group.
type groupState struct {
	standstill policy.Standstill
	// lastEvent is the time of this gate's last event from the group, in
	// nanoseconds since processStart; zero if there was none. waiting counts its
	// streams that have had an event and wait for the next one.
	lastEvent atomic.Int64
	waiting   atomic.Int64
	// suspect is the rank that last did not answer while the group stood.
	suspect string
}

// idle returns the time since the last event of any gate's stream at the group. It
// is very long if there was none. groups.mu must be held.
func (s *groupState) idle(now time.Time) time.Duration {
	idle := s.standstill.Idle(now)
	if last := s.lastEvent.Load(); last != 0 {
		idle = min(idle, now.Sub(processStart)-time.Duration(last))
	}
	return idle
}

// group returns the state of the named group, or nil for upstreams without one.
func (f *Fleet) group(name string) *groupState {
	if name == "" {
		return nil
	}
	f.groups.mu.Lock()
	defer f.groups.mu.Unlock()
	return f.groups.get(name)
}

func (g *groups) get(name string) *groupState {
	s := g.byName[name]
	if s == nil {
		if g.byName == nil {
			g.byName = map[string]*groupState{}
		}
		s = &groupState{}
		g.byName[name] = s
	}
	return s
}

// MarkGroupDown marks the group of an upstream as standing after the upstream
// refused a request because of another rank. failedUpstream is the address of that
// rank. The call has no effect if it is empty or the address of the upstream
// itself.
func (f *Fleet) MarkGroupDown(now time.Time, u *Upstream, failedUpstream string) {
	g := u.Entry().Group
	if g.Name == "" || failedUpstream == "" || failedUpstream == u.Conns.Addr.String() {
		return
	}
	suspect := ""
	for _, other := range f.Snapshot().ByID {
		if other.Conns.Addr.String() == failedUpstream {
			suspect = other.ID
		}
	}
	f.markDown(now, g, "refusal", failedUpstream, suspect)
}

// SuspectGroup marks the group of an upstream as standing after a stream of the
// upstream was lost, if no stream of the group has had an event recently.
func (f *Fleet) SuspectGroup(now time.Time, u *Upstream) {
	m := u.Entry().Group
	g := f.group(m.Name)
	if g == nil {
		return
	}
	f.groups.mu.Lock()
	idle := g.idle(now)
	f.groups.mu.Unlock()
	if idle > stallTimeout {
		f.markDown(now, m, "lost_stream", u.ID, u.ID)
	}
}

// stallTimeout is the time without an event on any stream of a group after which
// a lost stream is treated as a failure of the group. A forward pass takes a tenth
// of that time.
const stallTimeout = 700 * time.Millisecond

// listSource is the source in the log if the entries in the store say whether a
// group runs.
const listSource = "list"

// markDown marks a group as standing. culprit is what the log names as the cause:
// the address that a refusal names, the ID of the upstream whose stream was lost,
// which need not be the one that failed, or empty if the entries in the store say
// that the group is down. suspect is the ID of the rank to ask first, or empty.
func (f *Fleet) markDown(now time.Time, m core.GroupMembership, source, culprit, suspect string) {
	f.groups.mu.Lock()
	defer f.groups.mu.Unlock()
	g := f.groups.get(m.Name)
	stop := g.standstill.Refuse
	if source == listSource {
		stop = g.standstill.Stop
	}
	if !stop(now, m.Epoch) {
		return
	}
	g.suspect = suspect
	f.DecisionLog.Log("group_down", "group", m.Name, "epoch", m.Epoch, "source", source, "culprit", culprit)
}

// StandingGroup is a group that stands, with the upstreams to ask whether it runs
// again.
type StandingGroup struct {
	Epoch uint64
	// Suspect is the rank that last did not answer, or any rank.
	Suspect *Upstream
	// Members are all ranks of the group that are listed.
	Members []*Upstream
}

// StandingGroups returns the groups that stand, by name.
func (f *Fleet) StandingGroups() map[string]StandingGroup {
	f.groups.mu.Lock()
	defer f.groups.mu.Unlock()
	var standing map[string]StandingGroup
	for name, g := range f.groups.byName {
		if g.standstill.State() != policy.GroupStands {
			continue
		}
		if standing == nil {
			standing = map[string]StandingGroup{}
		}
		standing[name] = StandingGroup{Epoch: g.standstill.Epoch()}
	}
	if standing == nil {
		return nil
	}
	for _, u := range f.Snapshot().ByID {
		name := u.Entry().Group.Name
		if s, ok := standing[name]; ok && !u.Entry().Draining && !u.replaced.Load() {
			s.Members = append(s.Members, u)
			// Map iteration order is random, so without a suspect the rank varies
			// between calls.
			if s.Suspect == nil || u.ID == f.groups.byName[name].suspect {
				s.Suspect = u
			}
			standing[name] = s
		}
	}
	return standing
}

// SuspectRank records the rank that did not answer while its group stood.
func (f *Fleet) SuspectRank(name, id string) {
	if g := f.group(name); g != nil {
		f.groups.mu.Lock()
		g.suspect = id
		f.groups.mu.Unlock()
	}
}

// BeginTrial puts a standing group on trial, since it has formed anew in the given
// epoch or all its ranks answer. It reports whether the trial begins.
func (f *Fleet) BeginTrial(now time.Time, name string, epoch uint64, source string) bool {
	f.groups.mu.Lock()
	defer f.groups.mu.Unlock()
	g := f.groups.get(name)
	former, since := g.standstill.Epoch(), g.standstill.Since()
	if !g.standstill.BeginTrial(now, epoch) {
		return false
	}
	f.DecisionLog.Log("group_trial", "group", name, "epoch", epoch, "former", former, "down_for", now.Sub(since), "source", source)
	return true
}

// admitsRequests reports whether the upstream's group gets a request.
func (f *Fleet) admitsRequests(u *Upstream) bool {
	m := u.Entry().Group
	if m.Name == "" {
		return true
	}
	f.groups.mu.Lock()
	defer f.groups.mu.Unlock()
	switch f.groups.get(m.Name).standstill.State() {
	case policy.GroupStands:
		return false
	case policy.GroupOnTrial:
		inFlight := 0
		for _, other := range f.Snapshot().Pools[u.Entry().Pool] {
			if other.Entry().Group.Name == m.Name {
				inFlight += other.LocalLoad()
			}
		}
		return inFlight < policy.TrialShare(m.Size, f.GateCount())
	case policy.GroupRuns:
	}
	return true
}

// recordTrial records that a request is sent to the upstream, for a group on
// trial.
func (f *Fleet) recordTrial(now time.Time, u *Upstream) {
	if g := f.group(u.Entry().Group.Name); g != nil {
		f.groups.mu.Lock()
		g.standstill.RecordTrial(now)
		f.groups.mu.Unlock()
	}
}

// updateGroups marks groups as standing or puts them on trial according to the
// entries of their members. An entry may be outdated: one of the epoch in which
// the group was found standing says nothing new, and one that says that the group
// is broken counts only if the group has had no events lately.
func (f *Fleet) updateGroups(now time.Time, entries map[string]*core.ListedUpstream) {
	newest := map[string]core.GroupMembership{}
	for _, entry := range entries {
		if g := entry.Group; g.Name != "" && (newest[g.Name].Name == "" || g.Epoch > newest[g.Name].Epoch || g.Epoch == newest[g.Name].Epoch && g.Broken) {
			newest[g.Name] = g
		}
	}
	for name, m := range newest {
		g := f.group(name)
		f.groups.mu.Lock()
		idle := g.idle(now)
		standing, epoch := g.standstill.State() == policy.GroupStands, g.standstill.Epoch()
		f.groups.mu.Unlock()
		switch {
		case m.Broken && idle > maxEventAge:
			f.markDown(now, m, listSource, "", "")
		case !m.Broken && standing && m.Epoch > epoch:
			f.BeginTrial(now, name, m.Epoch, listSource)
		}
	}
}

// maxEventAge is the age of a group's last event up to which the group runs,
// whatever an entry says.
const maxEventAge = 300 * time.Millisecond
