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

// sample is the measured outcome of one request.
type sample struct {
	stream string
	// start is the planned start, relative to the start of the measured time;
	// it is negative during the warm-up. firstByte and total are the times from
	// the planned start to the first byte and to the end of the response.
	start     time.Duration
	firstByte time.Duration
	total     time.Duration
	status    int
	reason    string
	// incomplete is set if no complete response was received.
	incomplete bool
}

// Runner runs scenarios. Its zero value is ready for use.
type Runner struct {
	client  *http.Client
	wg      sync.WaitGroup
	mu      sync.Mutex
	samples []sample
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
	r.samples = nil
	measureStart := time.Now().Add(s.Warmup.Duration)
	var streams sync.WaitGroup
	for i := range s.Streams {
		streams.Add(1)
		go func() {
			defer streams.Done()
			r.sendStream(ctx, s, &s.Streams[i], measureStart, uint64(i))
		}()
	}
	eventResults := r.sendEvents(ctx, s, measureStart)
	streams.Wait()
	r.wg.Wait()
	r.client.CloseIdleConnections()
	return newResult(s, r.samples, <-eventResults), ctx.Err()
}

// sendStream sends the requests of one stream at exponentially distributed
// intervals.
func (r *Runner) sendStream(ctx context.Context, s *Scenario, st *Stream, measureStart time.Time, streamIndex uint64) {
	rng := rand.New(rand.NewPCG(s.Seed, streamIndex))
	next := measureStart.Add(-s.Warmup.Duration)
	end := measureStart.Add(s.Length.Duration)
	targets := s.targets(st)
	prefixes := make([]string, st.PrefixCount)
	for i := range prefixes {
		prefixes[i] = randomLetters(rng, st.PrefixSize)
	}
	for count := 0; next.Before(end); count++ {
		if sleepUntil(ctx, next) != nil {
			return
		}
		target := targets[rng.IntN(len(targets))]
		body := st.Body
		if body == "" {
			body = randomBody(rng, st)
			if len(prefixes) > 0 {
				body = prefixes[rng.IntN(len(prefixes))] + body
			}
		}
		req, err := http.NewRequestWithContext(ctx, firstNonEmpty(st.Method, http.MethodPost), "http://"+target.String()+st.Path, strings.NewReader(body))
		if err != nil {
			return
		}
		for k, v := range st.Headers {
			req.Header.Set(k, v)
		}
		if st.IdempotencyKeys {
			req.Header.Set("Idempotency-Key", fmt.Sprintf("%s-%d-%d-%d", st.Name, s.Seed, measureStart.UnixNano(), count))
		}
		planned := next
		r.wg.Add(1)
		go func() {
			defer r.wg.Done()
			r.sendRequest(req, st.Name, planned, measureStart)
		}()
		next = next.Add(time.Duration(rng.ExpFloat64() / st.Rate * float64(time.Second)))
	}
}

func firstNonEmpty(a, b string) string {
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

func randomBody(rng *rand.Rand, st *Stream) string {
	n := float64(max(st.Size, 1))
	if !st.FixedSize {
		n = math.Min(20*n, n*rng.ExpFloat64())
	}
	return randomLetters(rng, max(1, int(n)))
}

func randomLetters(rng *rand.Rand, n int) string {
	b := make([]byte, n)
	for i := range b {
		b[i] = 'a' + byte(rng.IntN(26))
	}
	return string(b)
}

// sendRequest sends a request and records its outcome unless it belongs to the
// warm-up.
func (r *Runner) sendRequest(req *http.Request, stream string, planned, measureStart time.Time) {
	result := sample{stream: stream, start: planned.Sub(measureStart)}
	resp, err := r.client.Do(req)
	if err != nil {
		result.incomplete = true
		result.reason = "connection"
	} else {
		r.readResponse(resp, planned, &result)
	}
	result.total = time.Since(planned)
	if result.start < 0 {
		return
	}
	r.mu.Lock()
	r.samples = append(r.samples, result)
	r.mu.Unlock()
}

func (r *Runner) readResponse(resp *http.Response, planned time.Time, result *sample) {
	defer func() { _ = resp.Body.Close() }()
	result.status = resp.StatusCode
	buf := make([]byte, 32<<10)
	var errorBody bytes.Buffer
	for {
		n, err := resp.Body.Read(buf)
		if n > 0 && result.firstByte == 0 {
			result.firstByte = time.Since(planned)
		}
		if result.status >= 400 && errorBody.Len() < 4096 {
			errorBody.Write(buf[:n])
		}
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			result.incomplete = true
			result.reason = "cut"
			return
		}
	}
	if result.status >= 400 {
		var errorResponse struct {
			Error struct {
				Reason string `json:"reason"`
			} `json:"error"`
		}
		_ = json.Unmarshal(errorBody.Bytes(), &errorResponse)
		result.reason = firstNonEmpty(errorResponse.Error.Reason, fmt.Sprintf("status_%d", result.status))
	}
}

// sendEvents sends the events of the scenario at their times. The channel
// delivers the results after the last event.
func (r *Runner) sendEvents(ctx context.Context, s *Scenario, measureStart time.Time) <-chan []EventResult {
	done := make(chan []EventResult, 1)
	go func() {
		var results []EventResult
		for _, e := range s.Events {
			if sleepUntil(ctx, measureStart.Add(e.At.Duration)) != nil {
				break
			}
			result := EventResult{Name: e.Name, At: time.Since(measureStart).Seconds()}
			result.Status, result.Error = r.sendEvent(ctx, &e)
			results = append(results, result)
		}
		done <- results
	}()
	return done
}

func (r *Runner) sendEvent(ctx context.Context, e *Event) (status int, errText string) {
	req, err := http.NewRequestWithContext(ctx, firstNonEmpty(e.Method, http.MethodPost), e.URL, strings.NewReader(e.Body))
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
