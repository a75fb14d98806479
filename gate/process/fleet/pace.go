package fleet

import (
	"sync"
	"time"

	"parsleyroute.example/core"
)

const (
	// pauseShare is the part of the longest pause on time that a pass may take,
	// since a long prompt or a shift of demand lengthens single passes.
	pauseShare = 0.8
	// paceWeight is the weight of a new pause in the mean: the mean follows a
	// change within about ten events, a few tens of milliseconds.
	paceWeight = 0.1
	// paceAge is the age up to which a measured pause counts.
	paceAge = 500 * time.Millisecond
	// leastRunning is the number of sequences that each rank may always run.
	leastRunning = 3
)

// pace measures the time of a pass of a pool from the pauses between the events
// of its streams.
type pace struct {
	mu   sync.Mutex
	mean time.Duration
	at   time.Time
}

func (p *pace) observe(now time.Time, d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.at) > paceAge {
		p.mean = d
	}
	p.mean += time.Duration(paceWeight * float64(d-p.mean))
	p.at = now
}

// current returns the time of a pass, zero if it is unknown.
func (p *pace) current(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.at) > paceAge {
		return 0
	}
	return p.mean
}

// ObservePause takes note of the pause between two events of a stream of the
// pool, and of the longest pause on time.
func (f *Fleet) ObservePause(now time.Time, pool string, d, longest time.Duration) {
	v, ok := f.paces.Load(pool)
	if !ok {
		v, _ = f.paces.LoadOrStore(pool, &pace{})
	}
	v.(*pace).observe(now, d)
	if longest > 0 {
		f.longest.Store(pool, longest)
	}
}

// PauseShare returns the part of the longest pause on time that the pauses of a
// pool took when they were last measured, zero if they never were.
func (f *Fleet) PauseShare(pool string) float64 {
	v, ok := f.paces.Load(pool)
	longest, known := f.longest.Load(pool)
	if !ok || !known {
		return 0
	}
	p := v.(*pace)
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mean.Seconds() / longest.(time.Duration).Seconds()
}

// running returns the number of sequences that each rank of a pool may run so
// that the pauses stay on time. The time of a token step with n sequences is
// factor x (step + n x perSequence), where the measured pauses give the factor:
// it holds the skew of the experts, among others.
func (f *Fleet) running(now time.Time, pool *core.PoolConfig, list []*Upstream) int {
	e := pool.Engine
	most := e.MaxSequences + queuedAtEngine
	v, ok := f.paces.Load(pool.Name)
	longest, known := f.longest.Load(pool.Name)
	if !ok || !known || e.StepsPerPass == 0 || e.TimePerSequence <= 0 || len(list) == 0 {
		return most
	}
	measured := v.(*pace).current(now)
	if measured == 0 {
		return most
	}
	sequences := 0
	for _, u := range list {
		sequences += min(u.Load(), e.MaxSequences)
	}
	mean := float64(sequences) / float64(len(list))
	usual := float64(e.StepsPerPass) * (e.StepTime.Seconds() + mean*e.TimePerSequence.Seconds())
	factor := measured.Seconds() / usual
	allowed := pauseShare * longest.(time.Duration).Seconds() / (float64(e.StepsPerPass) * factor)
	n := int((allowed - e.StepTime.Seconds()) / e.TimePerSequence.Seconds())
	return min(max(n, leastRunning), most)
}
