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

// maxTokens is the maximum number of tokens of a response.
const maxTokens = 100_000

// generateParams holds the keys of a request body that the engine interprets. A
// body that is not a JSON object is only a prompt.
type generateParams struct {
	Tokens *int  `json:"tokens"`
	Stream *bool `json:"stream"`
}

func (s *Server) generate(c fiber.Ctx) error {
	body := bytes.Clone(c.Body())
	var params generateParams
	if json.Unmarshal(body, &params) != nil {
		params = generateParams{}
	}
	set := s.Get()
	q := &sequence{
		requestID:    c.Get(engine.HeaderRequestID),
		conn:         c.RequestCtx().Conn(),
		prefixHashes: engine.PrefixHashes(body),
		totalTokens:  set.DefaultTokens,
		wake:         make(chan struct{}, 1),
	}
	if params.Tokens != nil {
		q.totalTokens = *params.Tokens
	}
	if q.totalTokens < 1 || q.totalTokens > maxTokens {
		return trace.BadParameter("tokens is %d, but must be from 1 to %d", q.totalTokens, maxTokens)
	}
	var err error
	if q.priority, err = strconv.Atoi(cmp.Or(c.Get(engine.HeaderPriority), "0")); err != nil {
		return trace.BadParameter("the priority %q is not a number", c.Get(engine.HeaderPriority))
	}
	offset, err := strconv.Atoi(cmp.Or(c.Get(engine.HeaderResumeOffset), "0"))
	if err != nil || offset < 0 || offset > q.totalTokens*answer.EventSize {
		return trace.BadParameter("the resume offset %q is out of range", c.Get(engine.HeaderResumeOffset))
	}
	if offset > 0 && !set.Resumable {
		return trace.NotImplemented("the engine does not resume streams")
	}
	stream := strings.Contains(c.Get("Accept"), "text/event-stream")
	if params.Stream != nil {
		stream = *params.Stream
	}
	if !s.tracker.Admit() {
		return c.Status(fiber.StatusServiceUnavailable).JSON(rest.ErrorResponse{Error: rest.ErrorDetail{
			Reason: engine.ReasonOverloaded, Message: "the engine is above its concurrency limit",
		}})
	}
	key := c.Get(engine.HeaderIdempotencyKey)
	s.runs.Record(key, q.requestID)
	s.enqueue(q, len(body), offset)
	seed := answer.NewSeed(body, key, q.requestID)
	if set.Resumable {
		c.Set(engine.HeaderResumable, "true")
	}
	if stream {
		c.Set("Content-Type", "text/event-stream")
		return c.SendStreamWriter(func(w *bufio.Writer) { s.stream(w, q, seed, offset) })
	}
	if !s.awaitCompletion(q) {
		return serve.CloseWithoutResponse(c)
	}
	c.Set("Content-Type", "application/json")
	p := seed.JSON(q.totalTokens)
	return c.Send(p[min(offset, len(p)):])
}

// enqueue adds a request to the batch.
func (s *Server) enqueue(q *sequence, size, offset int) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	cached := s.cache.lookup(q.prefixHashes)
	s.promptBlocks += len(q.prefixHashes)
	s.hitBlocks += cached
	q.prefillTokens = 1 + max(0, size-cached*engine.BlockSize)/4
	if offset > 0 {
		// Tokens generated before the interruption are either still stored or have
		// to be prefilled again like a prompt.
		s.resumed++
		generated := min(offset/answer.EventSize, q.totalTokens-1)
		q.prefillTokens += max(0, generated-s.keptTokens[q.requestID])
		q.generated = generated
	}
	q.probedAt = now
	s.running = append(s.running, q)
	s.recordReport(now)
	if s.ctx.Err() != nil {
		// Close has already canceled the requests that were running before.
		s.cancel(q, now)
	}
	select {
	case s.arrived <- struct{}{}:
	default:
	}
}

// awaitCompletion waits until the response is complete, and returns false if the
// request was canceled.
func (s *Server) awaitCompletion(q *sequence) bool {
	for {
		s.mu.Lock()
		done, canceled := q.done(), q.canceled
		s.mu.Unlock()
		if done || canceled {
			return done
		}
		<-q.wake
	}
}

// stream writes the response from the byte offset on, each event as soon as its
// token is generated.
func (s *Server) stream(w *bufio.Writer, q *sequence, seed answer.Seed, offset int) {
	sent := offset / answer.EventSize
	skip := offset % answer.EventSize
	for {
		s.mu.Lock()
		generated, done, canceled := q.generated, q.done(), q.canceled
		s.mu.Unlock()
		if canceled {
			s.closeConn(q)
			return
		}
		p := seed.Stream(nil, sent, generated)
		sent = max(sent, generated)
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

// closeConn closes the connection, so that the interrupted stream is not taken for
// a complete one.
func (*Server) closeConn(q *sequence) { _ = q.conn.Close() }

func (s *Server) loadReport(c fiber.Ctx) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.settings.NoReport {
		return trace.NotImplemented("load reports are disabled")
	}
	return c.JSON(s.reports[s.reportIndex(time.Now())])
}

func (s *Server) cacheEvents(c fiber.Ctx) error {
	from, err := strconv.ParseUint(c.Query("from"), 10, 64)
	if err != nil {
		return trace.BadParameter("from %q is not a sequence number", c.Query("from"))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	until := time.Now().Add(-time.Duration(s.settings.EventDelayMs) * time.Millisecond)
	return c.JSON(engine.CacheEvents{Events: s.cache.eventsAfter(from, until, s.settings.EventLossInterval)})
}

// knownVerbs are the verbs of the orders that the engine supports.
var knownVerbs = []string{"load", "unload", "adapter", "role"}

func (s *Server) handleOrder(c fiber.Ctx) error {
	var in engine.Order
	if err := serve.DecodeBody(c, &in); err != nil {
		return err
	}
	if !slices.Contains(knownVerbs, in.Verb) {
		return trace.BadParameter("the verb %q is not one of %v", in.Verb, knownVerbs)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o := Order{Order: in, Stale: in.Token < s.highestToken}
	o.Executed = !o.Stale || !s.settings.EnforceToken
	s.highestToken = max(s.highestToken, in.Token)
	s.orders = append(s.orders[max(0, len(s.orders)-99):], o)
	if !o.Executed {
		return trace.CompareFailed("the fencing token %d is older than %d", in.Token, s.highestToken)
	}
	return c.JSON(in)
}
