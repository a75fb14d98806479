package engsrv

import (
	"net"
	"slices"
	"time"

	"parsleyroute.example/core/conn/probe"
)

// probeEvery is how often the engine looks whether a caller has gone.
const probeEvery = 50 * time.Millisecond

// sequence is one running request. Its fields below the line are guarded by
// the server's mutex.
type sequence struct {
	request  string
	priority int
	conn     net.Conn
	prefixes []uint64
	total    int
	// wake receives when generated or gone changes.
	wake chan struct{}

	// prefill is the number of tokens of prompt still to be read.
	prefill   int
	generated int
	// gone is set when the request was cancelled or the engine restarted.
	gone   bool
	probed time.Time
}

func (q *sequence) done() bool { return q.generated >= q.total }

func (q *sequence) notify() {
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// work is the part of a sequence in one step: tokens of prompt, or one token
// of the answer if prefill is zero.
type work struct {
	q       *sequence
	prefill int
}

// plan returns the work of the next step and its time. Prompts are read in
// order of priority, then arrival.
func (s *Server) plan() ([]work, time.Duration) {
	set := s.settings
	order := slices.Clone(s.running)
	slices.SortStableFunc(order, func(a, b *sequence) int { return b.priority - a.priority })
	left, decoding := set.Chunk, 0
	var step []work
	for _, q := range order {
		switch {
		case q.prefill == 0:
			decoding++
			step = append(step, work{q: q})
		case left > 0:
			n := min(left, q.prefill)
			left -= n
			step = append(step, work{q: q, prefill: n})
		}
	}
	e := s.gauge.Excess()
	t := set.BaseMs + set.SeqMs*float64(decoding) + set.PrefillUs*float64(set.Chunk-left)/1000
	return step, max(100*time.Microsecond, time.Duration(t*set.Factor*e*e*float64(time.Millisecond)))
}

// apply ends a step.
func (s *Server) apply(step []work, now time.Time) {
	for _, w := range step {
		q := w.q
		if q.gone {
			continue
		}
		if w.prefill > 0 {
			q.prefill -= w.prefill
			if q.prefill == 0 {
				s.cache.store(q.prefixes, s.settings.Blocks, now)
			}
			continue
		}
		q.generated++
		s.tokens++
		if q.done() {
			s.leave(q, true, now)
		}
		q.notify()
	}
}

// probe cancels the requests whose callers have gone.
func (s *Server) probe(now time.Time) {
	for _, q := range slices.Clone(s.running) {
		if now.Sub(q.probed) < probeEvery {
			continue
		}
		q.probed = now
		if probe.Closed(q.conn) {
			s.cancel(q, now)
		}
	}
}

// cancel ends a running request without its answer. The tokens made are kept
// for a resumed stream.
func (s *Server) cancel(q *sequence, now time.Time) {
	if q.gone || q.done() {
		return
	}
	q.gone = true
	s.keep(q.request, q.generated)
	s.leave(q, false, now)
	q.notify()
}

func (s *Server) leave(q *sequence, completed bool, now time.Time) {
	s.running = slices.DeleteFunc(s.running, func(o *sequence) bool { return o == q })
	s.gauge.Leave(completed)
	s.history(now)
}

// keep remembers the tokens made for a request, of the last 1000 cancelled
// ones.
func (s *Server) keep(request string, generated int) {
	if _, ok := s.kept[request]; !ok {
		s.keptIDs = append(s.keptIDs, request)
	}
	s.kept[request] = generated
	if len(s.keptIDs) > 1000 {
		delete(s.kept, s.keptIDs[0])
		s.keptIDs = s.keptIDs[1:]
	}
}

// loop runs the steps until the server is closed.
func (s *Server) loop() {
	defer close(s.stopped)
	for {
		s.mu.Lock()
		step, pause := s.plan()
		idle := len(s.running) == 0
		if s.settings.Frozen {
			step, pause = nil, 5*time.Millisecond
		}
		s.mu.Unlock()
		if idle {
			select {
			case <-s.ctx.Done():
				return
			case <-s.arrived:
			}
			continue
		}
		t := time.NewTimer(pause)
		select {
		case <-s.ctx.Done():
			t.Stop()
			return
		case <-t.C:
		}
		now := time.Now()
		s.mu.Lock()
		s.steps++
		s.apply(step, now)
		s.probe(now)
		s.mu.Unlock()
	}
}
