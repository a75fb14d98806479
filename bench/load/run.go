package load

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/gravitational/trace"
)

// sample is what one request came to.
type sample struct {
	stream string
	// start is the planned start since the beginning of the measured time.
	start  time.Duration
	first  time.Duration
	whole  time.Duration
	status int
	reason string
	// broken is set if the answer did not come whole.
	broken bool
}

// Runner runs scenarios. Its zero value is ready for use.
type Runner struct {
	client *http.Client
	wg     sync.WaitGroup
	mu     sync.Mutex
	out    []sample
}

// Run sends the load of the scenario and returns when all requests have ended.
func (r *Runner) Run(ctx context.Context, s *Scenario) (*Result, error) {
	if err := s.Check(); err != nil {
		return nil, err
	}
	r.client = &http.Client{
		Timeout:   2 * time.Minute,
		Transport: &http.Transport{MaxIdleConnsPerHost: 1024, DisableCompression: true},
	}
	r.out = nil
	begin := time.Now().Add(s.Warmup.Duration)
	var streams sync.WaitGroup
	for i := range s.Streams {
		streams.Add(1)
		go func() {
			defer streams.Done()
			r.stream(ctx, s, &s.Streams[i], begin, uint64(i))
		}()
	}
	events := r.events(ctx, s, begin)
	streams.Wait()
	r.wg.Wait()
	r.client.CloseIdleConnections()
	return summarize(s, r.out, <-events), ctx.Err()
}

// stream starts the requests of one stream at exponentially distributed
// intervals.
func (r *Runner) stream(ctx context.Context, s *Scenario, st *Stream, begin time.Time, n uint64) {
	rng := rand.New(rand.NewPCG(s.Seed, n))
	next := begin.Add(-s.Warmup.Duration)
	end := begin.Add(s.Length.Duration)
	targets := s.targets(st)
	shared := make([]string, st.Shared)
	for i := range shared {
		shared[i] = letters(rng, st.Prefix)
	}
	for count := 0; next.Before(end); count++ {
		if sleepUntil(ctx, next) != nil {
			return
		}
		target := targets[rng.IntN(len(targets))]
		body := st.Body
		if body == "" {
			body = generate(rng, st)
			if len(shared) > 0 {
				body = shared[rng.IntN(len(shared))] + body
			}
		}
		req, err := http.NewRequestWithContext(ctx, cmpOr(st.Method, http.MethodPost), "http://"+target.String()+st.Path, strings.NewReader(body))
		if err != nil {
			return
		}
		for k, v := range st.Headers {
			req.Header.Set(k, v)
		}
		if st.Keyed {
			req.Header.Set("Idempotency-Key", fmt.Sprintf("%s-%d-%d-%d", st.Name, s.Seed, begin.UnixNano(), count))
		}
		planned := next
		r.wg.Add(1)
		go func() {
			defer r.wg.Done()
			r.one(req, st.Name, planned, begin)
		}()
		next = next.Add(time.Duration(rng.ExpFloat64() / st.Rate * float64(time.Second)))
	}
}

func cmpOr(a, b string) string {
	if a != "" {
		return a
	}
	return b
}

func sleepUntil(ctx context.Context, t time.Time) error {
	d := time.Until(t)
	if d <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

func generate(rng *rand.Rand, st *Stream) string {
	n := float64(max(st.Size, 1))
	if !st.Fixed {
		n = math.Min(20*n, n*rng.ExpFloat64())
	}
	return letters(rng, max(1, int(n)))
}

func letters(rng *rand.Rand, n int) string {
	b := make([]byte, n)
	for i := range b {
		b[i] = 'a' + byte(rng.IntN(26))
	}
	return string(b)
}

// one sends a request and records what came of it.
func (r *Runner) one(req *http.Request, stream string, planned, begin time.Time) {
	out := sample{stream: stream, start: planned.Sub(begin)}
	resp, err := r.client.Do(req)
	if err != nil {
		out.broken = true
		out.reason = "connection"
	} else {
		r.read(resp, planned, &out)
	}
	out.whole = time.Since(planned)
	if out.start < 0 {
		return // warm-up
	}
	r.mu.Lock()
	r.out = append(r.out, out)
	r.mu.Unlock()
}

func (r *Runner) read(resp *http.Response, planned time.Time, out *sample) {
	defer func() { _ = resp.Body.Close() }()
	out.status = resp.StatusCode
	buf := make([]byte, 32<<10)
	var kept bytes.Buffer
	for {
		n, err := resp.Body.Read(buf)
		if n > 0 && out.first == 0 {
			out.first = time.Since(planned)
		}
		if out.status >= 400 && kept.Len() < 4096 {
			kept.Write(buf[:n])
		}
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			out.broken = true
			out.reason = "cut"
			return
		}
	}
	if out.status >= 400 {
		var e struct {
			Error struct {
				Reason string `json:"reason"`
			} `json:"error"`
		}
		_ = json.Unmarshal(kept.Bytes(), &e)
		out.reason = cmpOr(e.Error.Reason, fmt.Sprintf("status_%d", out.status))
	}
}

// events sends the scenario's events and returns what came of them.
func (r *Runner) events(ctx context.Context, s *Scenario, begin time.Time) <-chan []EventResult {
	done := make(chan []EventResult, 1)
	go func() {
		var out []EventResult
		for _, e := range s.Events {
			if sleepUntil(ctx, begin.Add(e.At.Duration)) != nil {
				break
			}
			er := EventResult{Name: e.Name, At: time.Since(begin).Seconds()}
			er.Status, er.Error = r.event(ctx, &e)
			out = append(out, er)
		}
		done <- out
	}()
	return done
}

func (r *Runner) event(ctx context.Context, e *Event) (status int, failure string) {
	req, err := http.NewRequestWithContext(ctx, cmpOr(e.Method, http.MethodPost), e.URL, strings.NewReader(e.Body))
	if err != nil {
		return 0, trace.Wrap(err).Error()
	}
	for k, v := range e.Headers {
		req.Header.Set(k, v)
	}
	resp, err := r.client.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	body, _ := io.ReadAll(io.LimitReader(resp.Body, 4096))
	_ = resp.Body.Close()
	if resp.StatusCode >= 400 {
		return resp.StatusCode, string(body)
	}
	return resp.StatusCode, ""
}
