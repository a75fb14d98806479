package engsrv

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/gravitational/trace"

	"parsleyroute.example/core/conn/rest"
	"parsleyroute.example/core/process/engine"
	"parsleyroute.example/core/suite/answer"
	"parsleyroute.example/fakes/process/serve"
)

// maxTokens bounds an answer.
const maxTokens = 100_000

// ask holds the keys of a request body that the engine knows. A body that is
// not a JSON object is a prompt.
type ask struct {
	Tokens *int  `json:"tokens"`
	Stream *bool `json:"stream"`
}

func (s *Server) generate(c fiber.Ctx) error {
	body := bytes.Clone(c.Body())
	var a ask
	if json.Unmarshal(body, &a) != nil {
		a = ask{}
	}
	set := s.Get()
	q := &sequence{
		request:  c.Get(engine.HeaderRequest),
		conn:     c.RequestCtx().Conn(),
		prefixes: engine.Prefixes(body),
		total:    set.Tokens,
		wake:     make(chan struct{}, 1),
	}
	if a.Tokens != nil {
		q.total = *a.Tokens
	}
	if q.total < 1 || q.total > maxTokens {
		return trace.BadParameter("tokens is %d, not from 1 to %d", q.total, maxTokens)
	}
	var err error
	if q.priority, err = strconv.Atoi(cmp.Or(c.Get(engine.HeaderPriority), "0")); err != nil {
		return trace.BadParameter("the priority %q is not a number", c.Get(engine.HeaderPriority))
	}
	offset, err := strconv.Atoi(cmp.Or(c.Get(engine.HeaderOffset), "0"))
	if err != nil || offset < 0 || offset > q.total*answer.EventSize {
		return trace.BadParameter("the resume offset %q is out of range", c.Get(engine.HeaderOffset))
	}
	if offset > 0 && !set.Resumable {
		return trace.NotImplemented("the engine does not resume streams")
	}
	stream := strings.Contains(c.Get("Accept"), "text/event-stream")
	if a.Stream != nil {
		stream = *a.Stream
	}
	if !s.gauge.Enter() {
		return c.Status(fiber.StatusServiceUnavailable).JSON(rest.ErrorResponse{Error: rest.ErrorDetail{
			Reason: engine.ReasonOverloaded, Message: "the engine has more requests than it bears",
		}})
	}
	key := c.Get(engine.HeaderKey)
	s.tally.Add(key, q.request)
	s.admit(q, len(body), offset)
	seed := answer.NewSeed(body, key, q.request)
	if set.Resumable {
		c.Set(engine.HeaderResumable, "true")
	}
	if stream {
		c.Set("Content-Type", "text/event-stream")
		return c.SendStreamWriter(func(w *bufio.Writer) { s.stream(w, q, seed, offset) })
	}
	if !s.wait(q) {
		return serve.Drop(c)
	}
	c.Set("Content-Type", "application/json")
	p := seed.JSON(q.total)
	return c.Send(p[min(offset, len(p)):])
}

// admit adds a request to the batch.
func (s *Server) admit(q *sequence, size, offset int) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	cached := s.cache.hit(q.prefixes)
	s.prompt += len(q.prefixes)
	s.hit += cached
	q.prefill = 1 + max(0, size-cached*engine.BlockSize)/4
	if offset > 0 {
		// Tokens that were made before are kept, or read again as prompt.
		s.resumed++
		made := min(offset/answer.EventSize, q.total-1)
		q.prefill += max(0, made-s.kept[q.request])
		q.generated = made
	}
	q.probed = now
	s.running = append(s.running, q)
	s.history(now)
	if s.ctx.Err() != nil {
		// Close has cut the requests that came before this one.
		s.cancel(q, now)
	}
	select {
	case s.arrived <- struct{}{}:
	default:
	}
}

// wait returns once the answer is whole, or false if it never will be.
func (s *Server) wait(q *sequence) bool {
	for {
		s.mu.Lock()
		done, gone := q.done(), q.gone
		s.mu.Unlock()
		if done || gone {
			return done
		}
		<-q.wake
	}
}

// stream writes the events from the byte offset on, each as soon as its token
// is made.
func (s *Server) stream(w *bufio.Writer, q *sequence, seed answer.Seed, offset int) {
	sent := offset / answer.EventSize
	skip := offset % answer.EventSize
	for {
		s.mu.Lock()
		made, done, gone := q.generated, q.done(), q.gone
		s.mu.Unlock()
		if gone {
			s.abort(q)
			return
		}
		p := seed.Stream(nil, sent, made)
		sent = max(sent, made)
		if done {
			p = answer.AppendEnd(p)
		}
		n := min(skip, len(p))
		p, skip = p[n:], skip-n
		_, err := w.Write(p)
		if err == nil {
			err = w.Flush()
		}
		if err != nil {
			s.mu.Lock()
			s.cancel(q, time.Now())
			s.mu.Unlock()
			return
		}
		if done {
			return
		}
		<-q.wake
	}
}

// abort closes the connection, so that the cut stream does not look whole.
func (*Server) abort(q *sequence) { _ = q.conn.Close() }

func (s *Server) report(c fiber.Ctx) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.settings.NoReport {
		return trace.NotImplemented("the engine makes no load reports")
	}
	return c.JSON(s.reports[s.shown(time.Now())])
}

func (s *Server) events(c fiber.Ctx) error {
	from, err := strconv.ParseUint(c.Query("from"), 10, 64)
	if err != nil {
		return trace.BadParameter("from %q is not a sequence number", c.Query("from"))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	until := time.Now().Add(-time.Duration(s.settings.EventDelayMs) * time.Millisecond)
	return c.JSON(engine.Events{Events: s.cache.since(from, until, s.settings.EventGap)})
}

// verbs are the orders that the engine knows.
var verbs = []string{"load", "unload", "adapter", "role"}

func (s *Server) order(c fiber.Ctx) error {
	var in engine.Order
	if err := serve.Body(c, &in); err != nil {
		return err
	}
	if !slices.Contains(verbs, in.Verb) {
		return trace.BadParameter("the verb %q is not one of %v", in.Verb, verbs)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o := Order{Order: in, Stale: in.Token < s.token}
	o.Taken = !o.Stale || !s.settings.HonourToken
	s.token = max(s.token, in.Token)
	s.orders = append(s.orders[max(0, len(s.orders)-99):], o)
	if !o.Taken {
		return trace.CompareFailed("the token %d is older than %d", in.Token, s.token)
	}
	return c.JSON(in)
}
