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

// Lister is a core.InstanceLister in memory that can show changes after a lag.
// Its zero value is an empty list without lag.
type Lister struct {
	// Clock measures the lag; the default is the system clock.
	Clock core.Clock
	// ListError, if set, is called before each Instances call, which returns its
	// error if it is not nil.
	ListError func() error

	mu           sync.Mutex
	lag          time.Duration
	changes      []change
	visibleCount int
}

// change is the registration, replacement or removal of an instance.
type change struct {
	at       time.Time
	instance core.Instance
	removed  bool
}

var _ core.InstanceLister = (*Lister)(nil)

// SetLag sets the time after which a change becomes visible. Changes that are
// already visible stay visible.
func (l *Lister) SetLag(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.showDueChanges()
	l.lag = d
}

// Put registers the instance or replaces the one with the same name.
func (l *Lister) Put(i core.Instance) { l.appendChange(change{instance: i}) }

// Remove removes the instance from the list.
func (l *Lister) Remove(name string) {
	l.appendChange(change{instance: core.Instance{Name: name}, removed: true})
}

// Instances implements core.InstanceLister. The instances are sorted by name.
func (l *Lister) Instances(context.Context) ([]core.Instance, uint64, error) {
	if l.ListError != nil {
		if err := l.ListError(); err != nil {
			return nil, 0, err
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.showDueChanges()
	live := map[string]core.Instance{}
	for _, c := range l.changes[:l.visibleCount] {
		if c.removed {
			delete(live, c.instance.Name)
		} else {
			live[c.instance.Name] = c.instance
		}
	}
	list := make([]core.Instance, 0, len(live))
	for _, i := range live {
		list = append(list, i)
	}
	slices.SortFunc(list, func(a, b core.Instance) int { return strings.Compare(a.Name, b.Name) })
	return list, uint64(l.visibleCount), nil
}

func (l *Lister) appendChange(c change) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c.at = l.clock().Now()
	l.changes = append(l.changes, c)
}

func (l *Lister) showDueChanges() {
	latest := l.clock().Now().Add(-l.lag)
	for l.visibleCount < len(l.changes) && !l.changes[l.visibleCount].at.After(latest) {
		l.visibleCount++
	}
}

func (l *Lister) clock() core.Clock {
	if l.Clock == nil {
		return clock.Real{}
	}
	return l.Clock
}
