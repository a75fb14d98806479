package fleet

import (
	"sync"
	"time"

	"parsleyroute.example/core"
)

const (
	// maxGapShare is the fraction of the gap limit that an average forward pass
	// may take. A long prompt or a change of demand makes single passes longer.
	maxGapShare = 0.8
	// gapWeight is the weight of a new gap in the moving average. The average
	// follows a change within about ten events. The events of all streams of a
	// pool count together, so that this takes a few tens of milliseconds.
	gapWeight = 0.1
	// maxGapAge is how long after the last event the average gap is valid.
	maxGapAge = 500 * time.Millisecond
	// minSequences is the number of sequences that each rank may always run.
	minSequences = 3
	// lateValue is the value to its caller of a response with long event gaps,
	// relative to one whose gaps are within the limit.
	lateValue = 0.5
)

// gapMeter estimates the duration of a forward pass of a pool as the moving
// average of the gaps between the events of its streams.
type gapMeter struct {
	mu         sync.Mutex
	mean       time.Duration
	observedAt time.Time
}

func (m *gapMeter) observe(now time.Time, gap time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if now.Sub(m.observedAt) > maxGapAge {
		m.mean = gap
	}
	m.mean += time.Duration(gapWeight * float64(gap-m.mean))
	m.observedAt = now
}

// current returns the average gap, or zero if no recent gap is known.
func (m *gapMeter) current(now time.Time) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if now.Sub(m.observedAt) > maxGapAge {
		return 0
	}
	return m.mean
}

// maxLastGapAge is how long after the last event the average gap still tells how
// long a forward pass takes.
const maxLastGapAge = 2 * time.Second

// lastKnown returns the average gap, or zero if the last event is older than
// maxLastGapAge.
func (m *gapMeter) lastKnown(now time.Time) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if now.Sub(m.observedAt) > maxLastGapAge {
		return 0
	}
	return m.mean
}

// ObserveEventGap records the gap between two events of a stream of the pool and
// the pool's limit for such gaps, which is unknown if zero.
func (f *Fleet) ObserveEventGap(now time.Time, pool string, gap, limit time.Duration) {
	v, ok := f.gapMeters.Load(pool)
	if !ok {
		v, _ = f.gapMeters.LoadOrStore(pool, &gapMeter{})
	}
	v.(*gapMeter).observe(now, gap)
	if limit > 0 {
		f.gapLimits.Store(pool, limit)
	}
}

// meanGap returns the recent average event gap of a pool, or zero if it is unknown.
func (f *Fleet) meanGap(now time.Time, pool string) time.Duration {
	if v, ok := f.gapMeters.Load(pool); ok {
		return v.(*gapMeter).lastKnown(now)
	}
	return 0
}

// GapShare returns the last known average event gap of a pool as a fraction of
// its gap limit, or zero if either is unknown.
func (f *Fleet) GapShare(pool string) float64 {
	v, ok := f.gapMeters.Load(pool)
	limit, known := f.gapLimits.Load(pool)
	if !ok || !known {
		return 0
	}
	m := v.(*gapMeter)
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.mean.Seconds() / limit.(time.Duration).Seconds()
}

// maxSequences returns the number of sequences, running and queued, that each rank
// of a pool may have without exceeding the gap limit. If passes are so long that the
// few sequences within the limit would be worth less than all slots with late events,
// as while a rank is slow or the experts are unevenly placed, it returns the latter:
// refusing more requests then makes no response timely. It models the duration of a
// forward pass with n running sequences as
// factor x StepsPerPass x (StepTime + n x TimePerSequence). The factor is the ratio
// of the measured gap to the modeled duration; an uneven load on the experts raises
// it. StepsPerPass and StepTime refer to the token steps within one pass, whereas
// the step of a rank report is the number of a pass.
func (f *Fleet) maxSequences(now time.Time, pool *core.PoolConfig, upstreams []*Upstream) int {
	e := pool.Engine
	capacity := e.MaxSequences + queuedPerEngine
	v, ok := f.gapMeters.Load(pool.Name)
	limit, known := f.gapLimits.Load(pool.Name)
	if !ok || !known || e.StepsPerPass == 0 || e.TimePerSequence <= 0 || len(upstreams) == 0 {
		return capacity
	}
	measured := v.(*gapMeter).current(now)
	if measured == 0 {
		return capacity
	}
	sequences := 0
	for _, u := range upstreams {
		sequences += min(u.Load(), e.MaxSequences)
	}
	meanLoad := float64(sequences) / float64(len(upstreams))
	expected := float64(e.StepsPerPass) * (e.StepTime.Seconds() + meanLoad*e.TimePerSequence.Seconds())
	factor := measured.Seconds() / expected
	// sequencesWithin returns the number of sequences with which a pass takes the
	// given time.
	sequencesWithin := func(pass time.Duration) int {
		step := pass.Seconds() / (float64(e.StepsPerPass) * factor)
		return int((step - e.StepTime.Seconds()) / e.TimePerSequence.Seconds())
	}
	throughput := func(n int) float64 {
		return float64(n) / (e.StepTime.Seconds() + float64(n)*e.TimePerSequence.Seconds())
	}
	gapLimit := limit.(time.Duration)
	if n := sequencesWithin(gapLimit); n <= 0 || throughput(n) < lateValue*throughput(e.MaxSequences) {
		return capacity
	}
	n := sequencesWithin(time.Duration(maxGapShare * float64(gapLimit)))
	return min(max(n, minSequences), capacity)
}
