package engsrv

import (
	"net"
	"slices"
	"time"

	"parsleyroute.example/core/conn/probe"
)

// probeInterval is the minimum time between two checks of whether a caller has
// disconnected.
const probeInterval = 50 * time.Millisecond

// sequence is one running request. The fields from prefillTokens on are guarded by
// the server's mutex.
type sequence struct {
	requestID    string
	priority     int
	conn         net.Conn
	prefixHashes []uint64
	totalTokens  int
	// wake receives when generated or canceled changes.
	wake chan struct{}

	// prefillTokens is the number of prompt tokens that are not prefilled yet.
	prefillTokens int
	generated     int
	// canceled is set when the request was canceled or the engine restarted.
	canceled bool
	probedAt time.Time
}

func (q *sequence) done() bool { return q.generated >= q.totalTokens }

func (q *sequence) notify() {
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// stepWork is the work for one sequence in a step: the prefill of prompt tokens, or
// the generation of one token if prefillTokens is zero.
type stepWork struct {
	q             *sequence
	prefillTokens int
}

// planStep returns the work of the next step and its duration. Prompts are
// prefilled in order of priority, then of arrival.
func (s *Server) planStep() ([]stepWork, time.Duration) {
	set := s.settings
	order := slices.Clone(s.running)
	slices.SortStableFunc(order, func(a, b *sequence) int { return b.priority - a.priority })
	prefillLeft, decoding := set.MaxPrefillTokens, 0
	var step []stepWork
	for _, q := range order {
		switch {
		case q.prefillTokens == 0:
			decoding++
			step = append(step, stepWork{q: q})
		case prefillLeft > 0:
			n := min(prefillLeft, q.prefillTokens)
			prefillLeft -= n
			step = append(step, stepWork{q: q, prefillTokens: n})
		}
	}
	overload := s.tracker.OverloadFactor()
	costMs := set.BaseMs + set.SeqMs*float64(decoding) + set.PrefillUs*float64(set.MaxPrefillTokens-prefillLeft)/1000
	return step, max(100*time.Microsecond, time.Duration(costMs*set.Slowdown*overload*overload*float64(time.Millisecond)))
}

// finishStep applies the results of a step.
func (s *Server) finishStep(step []stepWork, now time.Time) {
	for _, w := range step {
		q := w.q
		if q.canceled {
			continue
		}
		if w.prefillTokens > 0 {
			q.prefillTokens -= w.prefillTokens
			if q.prefillTokens == 0 {
				s.cache.store(q.prefixHashes, s.settings.CacheBlocks, now)
			}
			continue
		}
		q.generated++
		s.tokens++
		if q.done() {
			s.remove(q, true, now)
		}
		q.notify()
	}
}

// cancelDisconnected cancels the requests whose callers have disconnected.
func (s *Server) cancelDisconnected(now time.Time) {
	for _, q := range slices.Clone(s.running) {
		if now.Sub(q.probedAt) < probeInterval {
			continue
		}
		q.probedAt = now
		if probe.Closed(q.conn) {
			s.cancel(q, now)
		}
	}
}

// cancel ends a running request without completing its response. The number of
// generated tokens is kept for a resumed stream.
func (s *Server) cancel(q *sequence, now time.Time) {
	if q.canceled || q.done() {
		return
	}
	q.canceled = true
	s.keepGenerated(q.requestID, q.generated)
	s.remove(q, false, now)
	q.notify()
}

func (s *Server) remove(q *sequence, completed bool, now time.Time) {
	s.running = slices.DeleteFunc(s.running, func(o *sequence) bool { return o == q })
	s.tracker.Finish(completed)
	s.recordReport(now)
}

// keepGenerated stores the number of tokens generated for a canceled request. The
// last 1000 requests are kept.
func (s *Server) keepGenerated(requestID string, generated int) {
	if _, ok := s.keptTokens[requestID]; !ok {
		s.keptIDs = append(s.keptIDs, requestID)
	}
	s.keptTokens[requestID] = generated
	if len(s.keptIDs) > 1000 {
		delete(s.keptTokens, s.keptIDs[0])
		s.keptIDs = s.keptIDs[1:]
	}
}

// runSteps runs the steps until the server is closed.
func (s *Server) runSteps() {
	defer close(s.stopped)
	for {
		s.mu.Lock()
		step, duration := s.planStep()
		idle := len(s.running) == 0
		if s.settings.Frozen {
			step, duration = nil, 5*time.Millisecond
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
		t := time.NewTimer(duration)
		select {
		case <-s.ctx.Done():
			t.Stop()
			return
		case <-t.C:
		}
		now := time.Now()
		s.mu.Lock()
		s.steps++
		s.finishStep(step, now)
		s.cancelDisconnected(now)
		s.mu.Unlock()
	}
}
