package fleet

import (
	"sync"
	"time"

	"parsleyroute.example/core"
)

// groups holds which groups of ranks run no passes, because a rank is missing.
// It is safe for concurrent use.
type groups struct {
	mu   sync.Mutex
	down map[string]downGroup
}

type downGroup struct {
	// epoch is the last one in which the group was known to be open.
	epoch uint64
	since time.Time
}

// GroupDown takes note that a group runs no passes: an upstream has refused a
// request because of another rank.
func (f *Fleet) GroupDown(now time.Time, u *Upstream, culprit string) {
	g := u.Peer().Group
	if g.Name == "" || culprit == "" || culprit == u.Conn.Addr.String() {
		return
	}
	f.setDown(now, g, "refusal", culprit)
}

// GroupSuspect takes note that a group may run no passes: the stream of a member
// was lost and none of its pool has had an event lately. Until a member says
// that the group runs, it gets no requests.
func (f *Fleet) GroupSuspect(now time.Time, u *Upstream) {
	if g := u.Peer().Group; g.Name != "" {
		f.setDown(now, g, "lost_stream", u.ID)
	}
}

func (f *Fleet) setDown(now time.Time, g core.GroupMembership, source, culprit string) {
	f.groups.mu.Lock()
	defer f.groups.mu.Unlock()
	if _, ok := f.groups.down[g.Name]; ok {
		return
	}
	if f.groups.down == nil {
		f.groups.down = map[string]downGroup{}
	}
	f.groups.down[g.Name] = downGroup{epoch: g.Epoch, since: now}
	f.Trail.Log("group_down", "group", g.Name, "epoch", g.Epoch, "source", source, "culprit", culprit)
}

// GroupOpen takes note that a group runs passes in an epoch.
func (f *Fleet) GroupOpen(now time.Time, name string, epoch uint64, source string) {
	f.groups.mu.Lock()
	defer f.groups.mu.Unlock()
	if d, ok := f.groups.down[name]; ok {
		delete(f.groups.down, name)
		f.Trail.Log("group_open", "group", name, "epoch", epoch, "former", d.epoch, "down_for", now.Sub(d.since), "source", source)
	}
}

// DownGroups returns a living member of each group that is down, by name.
func (f *Fleet) DownGroups() map[string]*Upstream {
	f.groups.mu.Lock()
	defer f.groups.mu.Unlock()
	if len(f.groups.down) == 0 {
		return nil
	}
	members := map[string]*Upstream{}
	for _, u := range f.Snapshot().ByID {
		name := u.Peer().Group.Name
		if _, ok := f.groups.down[name]; ok && !u.Peer().Draining && !u.gone.Load() {
			// The order of a map is random, so another member is asked each time.
			members[name] = u
		}
	}
	return members
}

// isDown reports whether the upstream's group runs no passes.
func (f *Fleet) isDown(u *Upstream) bool {
	name := u.Peer().Group.Name
	if name == "" {
		return false
	}
	f.groups.mu.Lock()
	defer f.groups.mu.Unlock()
	_, ok := f.groups.down[name]
	return ok
}

// listGroups takes over what the entries of the upstreams say of their groups.
// An entry tells of the past: one of the epoch in which the group was last seen
// to fail does not open it.
func (f *Fleet) listGroups(now time.Time, peers map[string]*core.ListedUpstream) {
	newest := map[string]core.GroupMembership{}
	for _, p := range peers {
		if g := p.Group; g.Name != "" && (newest[g.Name].Name == "" || g.Epoch > newest[g.Name].Epoch || g.Epoch == newest[g.Name].Epoch && g.Broken) {
			newest[g.Name] = g
		}
	}
	for name, g := range newest {
		if g.Broken {
			f.setDown(now, g, "list", "")
			continue
		}
		f.groups.mu.Lock()
		d, ok := f.groups.down[name]
		f.groups.mu.Unlock()
		if ok && g.Epoch > d.epoch {
			f.GroupOpen(now, name, g.Epoch, "list")
		}
	}
}
