package system_test

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"parsleyroute.example/core/suite/answer"
	"parsleyroute.example/fakes/process/load"
)

// errWrongBody is the error of a response that appears complete but is not the
// response to its request.
var errWrongBody = errors.New("the response appears complete but has wrong bytes")

// sample is one request of a loader with its result.
type sample struct {
	result
	id         string
	entry      *node
	start, end time.Time
}

func (s sample) ok() bool { return s.err == nil && s.status == 200 }

// inFlightAt reports whether the request was in flight at t. The 50 ms allow for a
// caller that had chosen its entry just before.
func (s sample) inFlightAt(t time.Time) bool {
	return s.start.Before(t.Add(50*time.Millisecond)) && s.end.After(t)
}

// loader is a closed loop of callers that distribute their requests over the
// entries in rotation.
type loader struct {
	stop    chan struct{}
	callers sync.WaitGroup
	count   atomic.Int64
	mu      sync.Mutex
	samples []sample
}

// startLoad starts the callers. They stop at the end of the spec at the latest.
func (c *cluster) startLoad(callers int, send func(e *node, id string) result) *loader {
	l := &loader{stop: make(chan struct{})}
	for range callers {
		l.callers.Add(1)
		go func() {
			defer GinkgoRecover()
			defer l.callers.Done()
			l.run(c, send)
		}()
	}
	DeferCleanup(l.end)
	return l
}

func (l *loader) run(c *cluster, send func(e *node, id string) result) {
	for {
		select {
		case <-l.stop:
			return
		default:
		}
		n := int(l.count.Add(1))
		targets := slices.DeleteFunc(slices.Clone(c.entries), func(e *node) bool { return e.outOfRotation.Load() })
		s := sample{id: fmt.Sprintf("load-%d", n), entry: targets[n%len(targets)], start: time.Now()}
		s.result = send(s.entry, s.id)
		s.end = time.Now()
		l.mu.Lock()
		l.samples = append(l.samples, s)
		l.mu.Unlock()
	}
}

// end stops the callers after their current requests and returns all samples.
func (l *loader) end() []sample {
	l.mu.Lock()
	select {
	case <-l.stop:
	default:
		close(l.stop)
	}
	l.mu.Unlock()
	l.callers.Wait()
	return l.samples
}

// expectNoWrongBodies checks that no response that appears complete has wrong bytes.
func expectNoWrongBodies(samples []sample) {
	GinkgoHelper()
	for _, s := range samples {
		Expect(errors.Is(s.err, errWrongBody)).To(BeFalse(), "%s: %v", s.id, s.err)
	}
}

// failures describes the samples that failed.
func failures(samples []sample) []string {
	var out []string
	for _, s := range samples {
		if !s.ok() {
			out = append(out, fmt.Sprintf("%s through %s at %s after %s: status %d, reason %s, run %s, %v",
				s.id, s.entry.name, s.start.Sub(samples[0].start), s.took, s.status, s.reason, s.run, s.err))
		}
	}
	return out
}

// requestDocument requests a document from the model service and checks every byte.
func (c *cluster) requestDocument(e *node, id string, tokens int) result {
	body := fmt.Sprintf(`{"tokens":%d,"stream":false}`, tokens)
	r := c.do(call{
		entry: e, team: "large", method: http.MethodPost, path: "model/generate", body: body,
		headers: map[string]string{"X-Request-Id": id},
	})
	if want := answer.NewSeed([]byte(body), "", id).JSON(tokens); r.err == nil && r.status == 200 && !bytes.Equal(r.body, want) {
		r.err = fmt.Errorf("%w: %d instead of %d", errWrongBody, len(r.body), len(want))
	}
	return r
}

// upstreams returns the agents of a service in a zone, or in all zones if zone is
// empty.
func (c *cluster) upstreams(service, zone string) []*node {
	var out []*node
	for _, a := range c.agents {
		if (zone == "" || a.zone == zone) && a.upstream[:len(service)] == service {
			out = append(out, a)
		}
	}
	return out
}

// entriesIn returns the entries of a zone.
func (c *cluster) entriesIn(zone string) []*node {
	return slices.DeleteFunc(slices.Clone(c.entries), func(e *node) bool { return e.zone != zone })
}

func (c *cluster) upstreamStats(a *node) load.Stats {
	var s load.Stats
	c.getJSON(a.backend, "/control/stats", &s)
	return s
}

// startedRequests returns the number of requests that the upstreams have started.
func (c *cluster) startedRequests(upstreams []*node) int {
	n := 0
	for _, a := range upstreams {
		n += c.upstreamStats(a).Started
	}
	return n
}

// violations returns the number of requests that reached an upstream when it was
// already at its capacity.
func (c *cluster) violations(upstreams []*node) int {
	n := 0
	for _, a := range upstreams {
		n += c.upstreamStats(a).Violations
	}
	return n
}

// waitWarm waits until the upstreams have their full capacity.
func (c *cluster) waitWarm(upstreams []*node) {
	for _, a := range upstreams {
		Eventually(func() int { return c.upstreamStats(a).Limit }, "30s", "50ms").Should(Equal(c.config.limit), func() string { return c.describe(upstreams) })
	}
}

// describe returns what upstreams have done and what their agents have refused. The limit
// of a stand-in grows with the requests that it completes.
func (c *cluster) describe(upstreams []*node) string {
	var b strings.Builder
	for _, a := range upstreams {
		var vars struct {
			Events   map[string]int `json:"events"`
			Refusals map[string]int `json:"refusals"`
		}
		c.getJSON(a.listen, "/debug/vars", &vars)
		fmt.Fprintf(&b, "%s: upstream %+v, agent events %v, refusals %v\n", a.name, c.upstreamStats(a), vars.Events, vars.Refusals)
	}
	return b.String()
}

// refusals returns how often the agents have refused a request for the reason.
func (c *cluster) refusals(agents []*node, reason string) int {
	n := 0
	for _, a := range agents {
		var vars struct {
			Refusals map[string]int `json:"refusals"`
		}
		c.getJSON(a.listen, "/debug/vars", &vars)
		n += vars.Refusals[reason]
	}
	return n
}

// expectNoNewWork checks that the upstreams start no request during d.
func (c *cluster) expectNoNewWork(upstreams []*node, d time.Duration) {
	GinkgoHelper()
	before := c.startedRequests(upstreams)
	Consistently(func() int { return c.startedRequests(upstreams) }, d, "50ms").Should(Equal(before), "new work")
}
