package memory

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"parsleyroute.example/core"
	"parsleyroute.example/core/process/clock"
)

// Lister is a lagging core.InstanceLister in memory. Its zero value is an empty list
// that does not lag.
type Lister struct {
	// Clock measures the lag; the default is the machine's.
	Clock core.Clock
	// ListError, if set, gives the error of each Instances call.
	ListError func() error

	mu    sync.Mutex
	lag   time.Duration
	log   []entry
	shown int
}

// entry is one change of the list.
type entry struct {
	at       time.Time
	instance core.Instance
	removed  bool
}

var _ core.InstanceLister = (*Lister)(nil)

// SetLag sets the time after which a change is shown. A change that was shown
// stays so.
func (l *Lister) SetLag(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advance()
	l.lag = d
}

// Put registers the instance or replaces the one of the same name.
func (l *Lister) Put(i core.Instance) { l.add(entry{instance: i}) }

// Remove takes the instance off the list.
func (l *Lister) Remove(name string) {
	l.add(entry{instance: core.Instance{Name: name}, removed: true})
}

// Instances implements core.InstanceLister. The instances are in order of name.
func (l *Lister) Instances(context.Context) ([]core.Instance, uint64, error) {
	if l.ListError != nil {
		if err := l.ListError(); err != nil {
			return nil, 0, err
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advance()
	live := map[string]core.Instance{}
	for _, e := range l.log[:l.shown] {
		if e.removed {
			delete(live, e.instance.Name)
		} else {
			live[e.instance.Name] = e.instance
		}
	}
	list := make([]core.Instance, 0, len(live))
	for _, i := range live {
		list = append(list, i)
	}
	slices.SortFunc(list, func(a, b core.Instance) int { return strings.Compare(a.Name, b.Name) })
	return list, uint64(l.shown), nil
}

func (l *Lister) add(e entry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e.at = l.clock().Now()
	l.log = append(l.log, e)
}

func (l *Lister) advance() {
	limit := l.clock().Now().Add(-l.lag)
	for l.shown < len(l.log) && !l.log[l.shown].at.After(limit) {
		l.shown++
	}
}

func (l *Lister) clock() core.Clock {
	if l.Clock == nil {
		return clock.Real{}
	}
	return l.Clock
}
