package ranks

import (
	"slices"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"parsleyroute.example/core"
)

// Settings is what can change while a group runs.
type Settings struct {
	// A rank takes BaseMs milliseconds for a step, and TokenUs microseconds
	// for each token that its experts get in all layers.
	BaseMs  float64 `json:"base_ms"`
	TokenUs float64 `json:"token_us"`
	// StageMs is the time to load the weights of one expert, in milliseconds.
	StageMs float64 `json:"stage_ms"`
}

func (s Settings) check() error {
	if s.BaseMs < 0 || s.TokenUs < 0 || s.StageMs < 0 {
		return trace.BadParameter("a time is negative")
	}
	return nil
}

// keepSteps is the number of steps kept for statistics.
const keepSteps = 4096

// Step is the record of one step.
type Step struct {
	Step  uint64 `json:"step"`
	Epoch uint64 `json:"epoch"`
	// Ms is the time of the step itself; WaitMs is the time from the first
	// rank's arrival until all had arrived.
	Ms     float64 `json:"ms"`
	WaitMs float64 `json:"wait_ms"`
	// Skew is the computed time of the slowest rank over the mean.
	Skew float64 `json:"skew"`
	// Mixed tells that two ranks used different maps, Held that a rank waited
	// for the outcome of a switch, Stalled that a rank was stalled.
	Mixed   bool `json:"mixed,omitempty"`
	Held    bool `json:"held,omitempty"`
	Stalled bool `json:"stalled,omitempty"`
	// Epochs counts the ranks on each epoch of a mixed step.
	Epochs map[uint64]int `json:"epochs,omitempty"`
}

// Stats counts since the start.
type Stats struct {
	Steps        int `json:"steps"`
	MixedSteps   int `json:"mixed_steps"`
	HeldSteps    int `json:"held_steps"`
	StalledSteps int `json:"stalled_steps"`
	Replaced     int `json:"replaced"`
	// Stalled and Joining are the numbers of ranks that wait now because they
	// are stalled or were replaced.
	Stalled int `json:"stalled"`
	Joining int `json:"joining"`
	// Switches counts the changes of map by ranks, Moved the experts that
	// were loaded for them.
	Switches int `json:"switches"`
	Moved    int `json:"moved"`
	// MeanMs, P99Ms, MeanSkew and MaxSkew are of the last 4096 steps.
	MeanMs   float64 `json:"mean_ms"`
	P99Ms    float64 `json:"p99_ms"`
	MeanSkew float64 `json:"mean_skew"`
	MaxSkew  float64 `json:"max_skew"`
	// Mixed holds the first 100 mixed steps.
	Mixed []Step `json:"mixed"`
}

// Group is a group of ranks. The fields are set before Start.
type Group struct {
	Shape    Shape
	Settings Settings

	wg sync.WaitGroup

	mu    sync.Mutex
	moved *sync.Cond
	stop  chan struct{}
	once  sync.Once
	ranks []*member
	load  core.ExpertLoad

	// step is the step that runs or is about to; started is set while it runs.
	step     uint64
	started  bool
	arrived  int
	finished int
	record   Step
	first    time.Time
	begin    time.Time
	// last is the map of the last step, for a group of which every rank was
	// replaced.
	last  *placed
	stats Stats
	steps []Step
}

// member is one rank. Its fields are guarded by the group's mutex.
type member struct {
	g       *Group
	n       int
	state   core.RankState
	active  *placed
	staged  map[uint64]*placed
	joining bool
	stalled bool
	arrived bool
	// seen holds the tokens of seenSteps steps, of shape Layers x Experts.
	seen      core.ExpertLoad
	seenSteps int
}

// Start runs the group until Close.
func (g *Group) Start() error {
	if err := g.Shape.check(); err != nil {
		return err
	}
	if err := g.Settings.check(); err != nil {
		return err
	}
	initial, err := g.Shape.place(g.Shape.InitialMap())
	if err != nil {
		return err
	}
	g.moved = sync.NewCond(&g.mu)
	g.stop = make(chan struct{})
	g.step = 1
	g.last = initial
	g.load = matrix(g.Shape)
	for n := range g.Shape.Ranks {
		r := &member{g: g, n: n, active: initial, staged: map[uint64]*placed{}, seen: matrix(g.Shape)}
		// Two processes that run one after the other differ in their incarnations.
		r.state.Incarnation = uint64(time.Now().UnixNano())
		r.state.Step, r.state.ActiveEpoch = g.step, initial.Epoch
		g.ranks = append(g.ranks, r)
	}
	for _, r := range g.ranks {
		g.wg.Go(r.run)
	}
	return nil
}

// Close stops the ranks.
func (g *Group) Close() error {
	g.once.Do(func() {
		g.mu.Lock()
		close(g.stop)
		g.moved.Broadcast()
		g.mu.Unlock()
	})
	g.wg.Wait()
	return nil
}

func (g *Group) closed() bool {
	select {
	case <-g.stop:
		return true
	default:
		return false
	}
}

// run is the life of one rank.
func (r *member) run() {
	g := r.g
	g.mu.Lock()
	defer g.mu.Unlock()
	for {
		step, ok := r.enter()
		if !ok {
			return
		}
		d := r.time()
		g.mu.Unlock()
		t := time.NewTimer(d)
		select {
		case <-t.C:
		case <-g.stop:
			t.Stop()
		}
		g.mu.Lock()
		if !r.leave(step) {
			return
		}
	}
}

// enter returns once all ranks have arrived at the same step, or false if the
// group is closed.
func (r *member) enter() (uint64, bool) {
	g := r.g
	for !g.closed() {
		switch {
		case !r.ready():
			g.moved.Wait()
			continue
		case !r.arrived:
			r.arrive()
		}
		step := g.step
		for r.arrived && !g.started && !g.closed() {
			g.moved.Wait()
		}
		if r.arrived && g.started {
			return step, !g.closed()
		}
		// The rank was replaced while it waited.
	}
	return 0, false
}

// ready carries out what is due before a step and reports whether the rank can
// run it.
func (r *member) ready() bool {
	g := r.g
	if r.arrived {
		return true
	}
	if r.stalled {
		g.record.Stalled = true
		return false
	}
	if r.joining {
		return false
	}
	if s := &r.state; s.PromisedEpoch != 0 && s.PromisedStep <= g.step {
		if !s.Committed {
			if !s.Holding {
				s.Holding = true
				g.record.Held = true
			}
			return false
		}
		r.activate()
	}
	return true
}

func (r *member) arrive() {
	g := r.g
	if g.arrived == 0 {
		g.first = time.Now()
	}
	r.arrived = true
	g.arrived++
	if g.arrived == len(g.ranks) {
		g.launch()
	}
	g.moved.Broadcast()
}

// launch starts the step for which all ranks have arrived.
func (g *Group) launch() {
	g.started, g.finished, g.begin = true, 0, time.Now()
	rec := &g.record
	rec.Step, rec.Epoch = g.step, g.ranks[0].active.Epoch
	rec.WaitMs = millis(g.begin.Sub(g.first))
	g.last = g.ranks[0].active
	var sum, slowest float64
	rec.Epochs = map[uint64]int{}
	for _, r := range g.ranks {
		t := float64(r.time())
		sum, slowest = sum+t, max(slowest, t)
		rec.Epochs[r.active.Epoch]++
		rec.Mixed = rec.Mixed || r.active.hash != g.last.hash || r.active.Epoch != g.last.Epoch
	}
	rec.Skew = 1
	if sum > 0 {
		rec.Skew = slowest * float64(len(g.ranks)) / sum
	}
	if !rec.Mixed {
		rec.Epochs = nil
	}
}

// leave returns once all ranks have ended the step, or false if the group is
// closed.
func (r *member) leave(step uint64) bool {
	g := r.g
	r.count()
	g.finished++
	if g.finished == len(g.ranks) {
		g.land()
	}
	for g.step == step && !g.closed() {
		g.moved.Wait()
	}
	return !g.closed()
}

// land ends a step.
func (g *Group) land() {
	g.record.Ms = millis(time.Since(g.begin))
	g.tell(g.record)
	g.step++
	g.started, g.arrived, g.record = false, 0, Step{}
	for _, r := range g.ranks {
		r.arrived = false
		if !r.joining {
			r.state.Step = g.step
		}
	}
	g.moved.Broadcast()
}

// tell adds a step to the statistics.
func (g *Group) tell(s Step) {
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
	g.steps = append(g.steps, s)
	if len(g.steps) > 2*keepSteps {
		g.steps = slices.Clone(g.steps[keepSteps:])
	}
}

// time is how long the rank takes for a step.
func (r *member) time() time.Duration {
	set := r.g.Settings
	tokens := 0.0
	if set.TokenUs > 0 {
		for l, row := range r.g.load {
			for _, e := range r.active.rank(l, r.n) {
				tokens += row[e] / r.active.replicas[l][e]
			}
		}
	}
	return time.Duration(set.BaseMs*float64(time.Millisecond) + tokens*set.TokenUs*float64(time.Microsecond))
}

// count adds the load of a step to what the rank has seen.
func (r *member) count() {
	if r.joining {
		return // it was replaced during the step
	}
	r.seenSteps++
	for l, row := range r.g.load {
		for _, e := range r.active.rank(l, r.n) {
			r.seen[l][e] += row[e] / r.active.replicas[l][e]
		}
	}
}

func matrix(s Shape) core.ExpertLoad {
	m := make(core.ExpertLoad, s.Layers)
	for l := range m {
		m[l] = make([]float64, s.Experts)
	}
	return m
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
