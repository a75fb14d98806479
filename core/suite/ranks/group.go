package ranks

import (
	"slices"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"parsleyroute.example/core"
)

// Settings holds the settings that can change while a group runs.
type Settings struct {
	// A step of a rank takes BaseMs milliseconds, plus TokenUs microseconds for
	// each token that its experts process in all layers.
	BaseMs  float64 `json:"base_ms"`
	TokenUs float64 `json:"token_us"`
	// StageMs is the time to load the weights of one expert, in milliseconds.
	StageMs float64 `json:"stage_ms"`
}

func (s Settings) validate() error {
	if s.BaseMs < 0 || s.TokenUs < 0 || s.StageMs < 0 {
		return trace.BadParameter("base_ms, token_us and stage_ms must not be negative")
	}
	return nil
}

// maxStepRecords is the number of step records that the statistics cover.
const maxStepRecords = 4096

// Step is the record of one step.
type Step struct {
	Step  uint64 `json:"step"`
	Epoch uint64 `json:"epoch"`
	// Ms is the duration of the step. WaitMs is the time from the arrival of the
	// first rank to that of the last.
	Ms     float64 `json:"ms"`
	WaitMs float64 `json:"wait_ms"`
	// Skew is the computed step time of the slowest rank divided by the mean of
	// all ranks.
	Skew float64 `json:"skew"`
	// Mixed reports that two ranks used different maps, Held that a rank waited
	// for the outcome of a switch, and Stalled that a rank was stalled.
	Mixed   bool `json:"mixed,omitempty"`
	Held    bool `json:"held,omitempty"`
	Stalled bool `json:"stalled,omitempty"`
	// Epochs is the number of ranks by active epoch; set only for a mixed step.
	Epochs map[uint64]int `json:"epochs,omitempty"`
}

// Stats holds statistics since the start of the group.
type Stats struct {
	Steps        int `json:"steps"`
	MixedSteps   int `json:"mixed_steps"`
	HeldSteps    int `json:"held_steps"`
	StalledSteps int `json:"stalled_steps"`
	Replaced     int `json:"replaced"`
	// Stalled and Joining are the numbers of ranks that currently do not run
	// because they are stalled or have not joined after a replacement.
	Stalled int `json:"stalled"`
	Joining int `json:"joining"`
	// Switches counts map switches, once per rank. Moved counts the experts that
	// ranks loaded while staging maps.
	Switches int `json:"switches"`
	Moved    int `json:"moved"`
	// MeanMs, P99Ms, MeanSkew and MaxSkew cover the last 4096 steps.
	MeanMs   float64 `json:"mean_ms"`
	P99Ms    float64 `json:"p99_ms"`
	MeanSkew float64 `json:"mean_skew"`
	MaxSkew  float64 `json:"max_skew"`
	// Mixed holds the first 100 mixed steps.
	Mixed []Step `json:"mixed"`
}

// Group is a simulated group of ranks. Set the fields before Start.
type Group struct {
	Shape    Shape
	Settings Settings

	wg sync.WaitGroup

	mu        sync.Mutex
	changed   *sync.Cond
	done      chan struct{}
	closeOnce sync.Once
	ranks     []*rankEngine
	load      core.ExpertLoad

	// step is the current or next step; running is set while it runs.
	step          uint64
	running       bool
	arrivedCount  int
	finishedCount int
	stepRecord    Step
	firstArrival  time.Time
	stepStart     time.Time
	// lastMap is the map of the last step. A group in which every rank was
	// replaced restarts with it.
	lastMap     *indexedMap
	stats       Stats
	stepRecords []Step
}

// rankEngine simulates the engine process of one rank. The mutex of the group
// guards its fields.
type rankEngine struct {
	g       *Group
	n       int
	state   core.RankState
	active  *indexedMap
	staged  map[uint64]*indexedMap
	joining bool
	stalled bool
	arrived bool
	// loadSum is the sum of the tokens over loadSteps steps, of shape
	// Layers x Experts.
	loadSum   core.ExpertLoad
	loadSteps int
}

// Start starts the ranks, which run until Close.
func (g *Group) Start() error {
	if err := g.Shape.validate(); err != nil {
		return err
	}
	if err := g.Settings.validate(); err != nil {
		return err
	}
	initial, err := g.Shape.indexMap(g.Shape.InitialMap())
	if err != nil {
		return err
	}
	g.changed = sync.NewCond(&g.mu)
	g.done = make(chan struct{})
	g.step = 1
	g.lastMap = initial
	g.load = zeroLoad(g.Shape)
	for n := range g.Shape.Ranks {
		r := &rankEngine{g: g, n: n, active: initial, staged: map[uint64]*indexedMap{}, loadSum: zeroLoad(g.Shape)}
		// The time makes the incarnation differ from that of an earlier process.
		r.state.Incarnation = uint64(time.Now().UnixNano())
		r.state.Step, r.state.ActiveEpoch = g.step, initial.Epoch
		g.ranks = append(g.ranks, r)
	}
	for _, r := range g.ranks {
		g.wg.Go(r.run)
	}
	return nil
}

// Close stops the ranks and waits for their goroutines.
func (g *Group) Close() error {
	g.closeOnce.Do(func() {
		g.mu.Lock()
		close(g.done)
		g.changed.Broadcast()
		g.mu.Unlock()
	})
	g.wg.Wait()
	return nil
}

func (g *Group) closed() bool {
	select {
	case <-g.done:
		return true
	default:
		return false
	}
}

// run executes steps until the group is closed.
func (r *rankEngine) run() {
	g := r.g
	g.mu.Lock()
	defer g.mu.Unlock()
	for {
		step, ok := r.awaitStart()
		if !ok {
			return
		}
		d := r.stepTime()
		g.mu.Unlock()
		t := time.NewTimer(d)
		select {
		case <-t.C:
		case <-g.done:
			t.Stop()
		}
		g.mu.Lock()
		if !r.awaitEnd(step) {
			return
		}
	}
}

// awaitStart waits until all ranks have arrived at the same step and returns the
// step, or false if the group is closed.
func (r *rankEngine) awaitStart() (uint64, bool) {
	g := r.g
	for !g.closed() {
		switch {
		case !r.readyForStep():
			g.changed.Wait()
			continue
		case !r.arrived:
			r.arrive()
		}
		step := g.step
		for r.arrived && !g.running && !g.closed() {
			g.changed.Wait()
		}
		if r.arrived && g.running {
			return step, !g.closed()
		}
		// The rank was replaced while it waited.
	}
	return 0, false
}

// readyForStep completes a committed switch that is due at the next step and
// reports whether the rank can run the step.
func (r *rankEngine) readyForStep() bool {
	g := r.g
	if r.arrived {
		return true
	}
	if r.stalled {
		g.stepRecord.Stalled = true
		return false
	}
	if r.joining {
		return false
	}
	if s := &r.state; s.PromisedEpoch != 0 && s.PromisedStep <= g.step {
		if !s.Committed {
			if !s.Holding {
				s.Holding = true
				g.stepRecord.Held = true
			}
			return false
		}
		r.completeSwitch()
	}
	return true
}

func (r *rankEngine) arrive() {
	g := r.g
	if g.arrivedCount == 0 {
		g.firstArrival = time.Now()
	}
	r.arrived = true
	g.arrivedCount++
	if g.arrivedCount == len(g.ranks) {
		g.startStep()
	}
	g.changed.Broadcast()
}

// startStep starts the step for which all ranks have arrived.
func (g *Group) startStep() {
	g.running, g.finishedCount, g.stepStart = true, 0, time.Now()
	record := &g.stepRecord
	record.Step, record.Epoch = g.step, g.ranks[0].active.Epoch
	record.WaitMs = millis(g.stepStart.Sub(g.firstArrival))
	g.lastMap = g.ranks[0].active
	var sum, slowest float64
	record.Epochs = map[uint64]int{}
	for _, r := range g.ranks {
		t := float64(r.stepTime())
		sum, slowest = sum+t, max(slowest, t)
		record.Epochs[r.active.Epoch]++
		record.Mixed = record.Mixed || r.active.slotsHash != g.lastMap.slotsHash || r.active.Epoch != g.lastMap.Epoch
	}
	record.Skew = 1
	if sum > 0 {
		record.Skew = slowest * float64(len(g.ranks)) / sum
	}
	if !record.Mixed {
		record.Epochs = nil
	}
}

// awaitEnd waits until all ranks have finished the step. It returns false if the
// group is closed.
func (r *rankEngine) awaitEnd(step uint64) bool {
	g := r.g
	r.addLoad()
	g.finishedCount++
	if g.finishedCount == len(g.ranks) {
		g.finishStep()
	}
	for g.step == step && !g.closed() {
		g.changed.Wait()
	}
	return !g.closed()
}

// finishStep records the step that all ranks have finished and advances the group
// to the next one.
func (g *Group) finishStep() {
	g.stepRecord.Ms = millis(time.Since(g.stepStart))
	g.recordStep(g.stepRecord)
	g.step++
	g.running, g.arrivedCount, g.stepRecord = false, 0, Step{}
	for _, r := range g.ranks {
		r.arrived = false
		if !r.joining {
			r.state.Step = g.step
		}
	}
	g.changed.Broadcast()
}

// recordStep adds the record of a step to the statistics.
func (g *Group) recordStep(s Step) {
	g.stats.Steps++
	if s.Mixed {
		g.stats.MixedSteps++
		if len(g.stats.Mixed) < 100 {
			g.stats.Mixed = append(g.stats.Mixed, s)
		}
	}
	if s.Held {
		g.stats.HeldSteps++
	}
	if s.Stalled {
		g.stats.StalledSteps++
	}
	g.stepRecords = append(g.stepRecords, s)
	if len(g.stepRecords) > 2*maxStepRecords {
		g.stepRecords = slices.Clone(g.stepRecords[maxStepRecords:])
	}
}

// stepTime returns the time that the rank takes for a step under the current load.
func (r *rankEngine) stepTime() time.Duration {
	settings := r.g.Settings
	tokens := 0.0
	if settings.TokenUs > 0 {
		for l, row := range r.g.load {
			for _, e := range r.active.rankExperts(l, r.n) {
				tokens += row[e] / r.active.replicas[l][e]
			}
		}
	}
	return time.Duration(settings.BaseMs*float64(time.Millisecond) + tokens*settings.TokenUs*float64(time.Microsecond))
}

// addLoad adds the load of the finished step to the rank's sum.
func (r *rankEngine) addLoad() {
	if r.joining {
		return // the rank was replaced during the step
	}
	r.loadSteps++
	for l, row := range r.g.load {
		for _, e := range r.active.rankExperts(l, r.n) {
			r.loadSum[l][e] += row[e] / r.active.replicas[l][e]
		}
	}
}

// zeroLoad returns a load of zeros of shape Layers x Experts.
func zeroLoad(s Shape) core.ExpertLoad {
	m := make(core.ExpertLoad, s.Layers)
	for l := range m {
		m[l] = make([]float64, s.Experts)
	}
	return m
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
