package soak_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"parsleyroute.example/fakes/process/meta"
	"parsleyroute.example/fakes/process/proxy"
	"parsleyroute.example/fakes/process/worker"
)

// failedSeeds lists the seeds that have ever failed, with the cause.
var failedSeeds = []uint64{}

const (
	defaultSeeds   = 2
	defaultSeconds = 8
	callerCount    = 8
	// recoveryTimeout is the time within which requests must be served again
	// after the last fault.
	recoveryTimeout = 12 * time.Second
	// maxCopyAge is the age up to which the store comes back from a copy.
	maxCopyAge = 5 * time.Second
	// settlingTime is how long the store and a gate must have been free of faults
	// before applyTime is required.
	settlingTime = 3 * time.Second
	// applyTime is the time within which a gate must apply a change and stop
	// sending requests to a leaving worker.
	applyTime = 2500 * time.Millisecond
)

func envInt(name string, def int) int {
	n, err := strconv.Atoi(os.Getenv(name))
	if err != nil {
		return def
	}
	return n
}

// TestSoak checks the guarantees to callers and workers under random faults:
// a response comes from the worker that ran the request, belongs to that request
// and is complete, an unsafe request runs at most once, a refusal that says that
// nothing ran is true, streams have no gap, requests in flight survive SIGTERM,
// no gate exits by itself, changes take effect, and service recovers.
func TestSoak(t *testing.T) {
	seeds := append([]uint64{}, failedSeeds...)
	from := uint64(envInt("SOAK_FROM", 1))
	for i := range envInt("SOAK_SEEDS", defaultSeeds) {
		seeds = append(seeds, from+uint64(i))
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) { runSeed(t, seed) })
	}
}

func runSeed(t *testing.T, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 3))
	s := startSystem(t, rng)
	defer s.copyLogs(t, seed)
	s.waitServing(t, recoveryTimeout)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(entryInterval):
				s.writeEntries()
			}
		}
	})
	for i := range callerCount {
		r := rand.New(rand.NewPCG(seed, uint64(100+i)))
		wg.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
					s.sendAndCheck(r, fmt.Sprintf("%d-%d-%d", seed, i, n))
				}
			}
		})
	}
	deadline := time.Now().Add(time.Duration(envInt("SOAK_SECONDS", defaultSeconds)) * time.Second)
	for time.Now().Before(deadline) {
		s.injectFault(rng)
		time.Sleep(time.Duration(100+rng.IntN(500)) * time.Millisecond)
	}
	s.clearFaults()
	s.waitServing(t, recoveryTimeout)
	s.checkConfigChange(t)
	close(stop)
	wg.Wait()
	s.checks.mu.Lock()
	defer s.checks.mu.Unlock()
	t.Logf("seed %d: %d requests, %d served", seed, s.checks.sent.Load(), s.checks.served.Load())
	for _, v := range s.checks.violations {
		t.Error(v)
	}
}

// copyLogs copies the gates' logs of a failed run.
func (s *system) copyLogs(t *testing.T, seed uint64) {
	if !t.Failed() {
		return
	}
	keep, err := os.MkdirTemp("", fmt.Sprintf("soak-%d-", seed))
	if err == nil {
		err = os.CopyFS(keep, os.DirFS(s.dir))
	}
	t.Logf("the gates' logs are in %s (%v)", keep, err)
}

// injectFault starts or ends one random fault.
func (s *system) injectFault(rng *rand.Rand) {
	g := s.gates[rng.IntN(len(s.gates))]
	w := s.workers[rng.IntN(len(s.workers))]
	switch rng.IntN(17) {
	case 0:
		s.restartGate(g, syscall.SIGTERM, rng.IntN(3) == 0)
	case 1:
		g.kill()
		g.start(s.t, s.dir)
	case 2:
		g.signal(syscall.SIGSTOP)
		time.Sleep(time.Duration(rng.IntN(1500)) * time.Millisecond)
		g.signal(syscall.SIGCONT)
	case 3:
		g.signal(syscall.SIGHUP)
	case 4:
		s.store.SetFaults([]meta.Faults{{Status: 503}, {Hang: true}, {LoseWriteResponses: true}, {Status: 429}}[rng.IntN(4)])
	case 5, 6:
		s.store.SetFaults(meta.Faults{})
	case 7:
		s.store.CompactHistory()
	case 8:
		s.faults.level.Store(int64(rng.IntN(300)))
	case 9:
		f := []proxy.Fault{{Down: true}, {Freeze: proxy.FreezeToTarget}, {Freeze: proxy.FreezeToClient}, {DelayMs: 200}, {HalfOpen: true}}[rng.IntN(5)]
		s.setLink(w, f)
	case 10:
		s.setLink(w, proxy.Fault{})
	case 11:
		s.configure("/a/", fmt.Sprintf("/x%d/", rng.IntN(3)))
	case 12:
		w.SetLimit([]string{"", "2", "20", "1e999", "-1", "x"}[rng.IntN(6)])
	case 13:
		w.SetRetryAfter([]string{"", "0.4", "2", "0", "-3", "x"}[rng.IntN(6)])
	case 15:
		s.store.Copy()
		s.copiedAt = time.Now()
	case 16:
		// The copy is some seconds old, and the operator and the workers write again.
		if age := time.Since(s.copiedAt); age < maxCopyAge {
			s.comeBack(time.Duration(rng.IntN(1000)) * time.Millisecond)
			time.AfterFunc(time.Duration(rng.IntN(1500))*time.Millisecond, s.rewriteConfig)
		}
	case 14:
		s.replaceLeaving(w, time.Duration(rng.IntN(2000))*time.Millisecond)
	}
}

// replaceLeaving makes a worker say that it leaves, while its entry says that it is ready,
// and puts a later process with the same id and address in its place after d.
func (s *system) replaceLeaving(w *proxiedWorker, d time.Duration) {
	w.SetLeaving(true)
	time.AfterFunc(d, func() { w.startAgain() })
}

func (s *system) setLink(w *proxiedWorker, f proxy.Fault) {
	if err := s.proxy.SetFault(w.link, func(p *proxy.Fault) error { *p = f; return nil }); err != nil {
		s.t.Error(err)
	}
}

// restartGate shuts a gate down as the platform does and starts it again.
func (s *system) restartGate(g *gate, sig syscall.Signal, signalTwice bool) {
	g.signal(sig)
	if signalTwice {
		g.signal(sig)
	}
	select {
	case <-g.done:
	case <-time.After(grace + time.Second):
		s.checks.fail("%s had not exited within %s after SIGTERM", g.name, grace)
		g.kill()
	}
	if code := g.cmd.ProcessState.ExitCode(); code != 0 {
		s.checks.fail("%s exited with code %d", g.name, code)
	}
	g.start(s.t, s.dir)
}

// clearFaults ends all faults.
func (s *system) clearFaults() {
	s.faults.level.Store(0)
	for _, w := range s.workers {
		w.SetLimit("")
		w.SetRetryAfter("")
		w.startAgain()
		s.setLink(w, proxy.Fault{})
	}
	s.store.SetFaults(meta.Faults{})
	s.rewriteConfig()
	for _, g := range s.gates {
		g.signal(syscall.SIGCONT)
		if !g.running() {
			s.checks.fail("%s exited by itself", g.name)
			g.start(s.t, s.dir)
		}
	}
}

// waitServing waits until each gate is ready and serves each kind of request.
func (s *system) waitServing(t *testing.T, d time.Duration) {
	t.Helper()
	deadline := time.Now().Add(d)
	for i, g := range s.gates {
		for n := 0; ; n++ {
			r, err := http.Get("http://" + g.ready.String() + "/-/readyz")
			if err == nil {
				_ = r.Body.Close()
			}
			if err == nil && r.StatusCode == 200 && s.serves(g, "safe", i, n) && s.serves(g, "streaming", i, n) && s.serves(g, "unsafe", i, n) {
				break
			}
			if time.Now().After(deadline) {
				t.Fatalf("%s does not serve requests %s after the last fault", g.name, d)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

func (s *system) serves(g *gate, kind string, i, n int) bool {
	status, _, err := s.send(g, kind, "/a/", fmt.Sprintf("await-%d-%d-%d-%s", time.Now().UnixNano(), i, n, kind))
	return err == nil && status == 200
}

// checkConfigChange checks that a removed route and a leaving worker get no more requests.
func (s *system) checkConfigChange(t *testing.T) {
	t.Helper()
	time.Sleep(settlingTime)
	s.configure("/b/")
	leaving := s.workers[0]
	leaving.mu.Lock()
	leaving.draining = time.Now()
	leaving.mu.Unlock()
	s.writeEntries()
	time.Sleep(applyTime)
	for _, g := range s.gates {
		if status, _, err := s.send(g, "safe", "/a/", "removed-"+g.name); err != nil || status != 404 {
			t.Errorf("%s responds to a removed route with status %d, error %v", g.name, status, err)
		}
		if status, _, err := s.send(g, "safe", "/b/", "added-"+g.name); err != nil || status != 200 {
			t.Errorf("%s responds to a new route with status %d, error %v", g.name, status, err)
		}
	}
	time.Sleep(500 * time.Millisecond)
}

// send sends one request and reads the complete response.
func (s *system) send(g *gate, kind, prefix, attempt string) (int, string, error) {
	c, err := net.DialTimeout("tcp", g.callers.String(), time.Second)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	method := map[string]string{"safe": "GET", "unsafe": "POST", "streaming": "POST"}[kind]
	request := fmt.Sprintf("%s %s%s/x HTTP/1.1\r\nHost: h\r\n%s: %s\r\n%s: 3000\r\n", method, prefix, kind, worker.HeaderAttemptID, attempt, worker.HeaderDeadlineMs)
	if method == "POST" {
		request += "Content-Length: 4\r\n\r\nbody"
	} else {
		request += "\r\n"
	}
	if _, err := io.WriteString(c, request); err != nil {
		return 0, "", err
	}
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, "", err
	}
	body, err := io.ReadAll(r.Body)
	if err == nil && r.StatusCode == 200 && (r.Header.Get(worker.HeaderAttemptID) != attempt || r.Header.Get(worker.HeaderSignature) == "") {
		s.checks.fail("request %s got the response to %q, signature %q", attempt, r.Header.Get(worker.HeaderAttemptID), r.Header.Get(worker.HeaderSignature))
	}
	return r.StatusCode, string(body), err
}

// sendAndCheck sends one request of a random kind and checks its response and runs.
func (s *system) sendAndCheck(rng *rand.Rand, attempt string) {
	kind := []string{"safe", "unsafe", "streaming", "streaming"}[rng.IntN(4)]
	g := s.gates[rng.IntN(len(s.gates))]
	s.checks.sent.Add(1)
	status, body, err := s.send(g, kind, "/a/", attempt)
	switch {
	case err == nil && status == 200:
		s.checks.served.Add(1)
		s.checkBody(kind, attempt, body)
	case err == nil && (status == 503 || status == 429 || status == 408) && kind == "unsafe":
		// Check later, since a delayed duplicate of the request may still arrive and run.
		time.AfterFunc(2*time.Second, func() {
			if n := s.checks.runCount(attempt); n > 0 {
				s.checks.fail("request %s was refused with status %d but ran %d times", attempt, status, n)
			}
		})
	}
	if kind == "unsafe" {
		if n := s.checks.runCount(attempt); n > 1 {
			s.checks.fail("unsafe request %s ran %d times", attempt, n)
		}
	}
	if err != nil && !errors.Is(err, syscall.ECONNREFUSED) {
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(time.Duration(rng.IntN(20)) * time.Millisecond)
}

// checkBody checks that the body of a successful response is complete.
func (s *system) checkBody(kind, attempt, body string) {
	if kind != "streaming" {
		if body != "ran "+attempt {
			s.checks.fail("request %s got the wrong body %q", attempt, body)
		}
		return
	}
	var want strings.Builder
	for i := 1; i <= eventsPerStream; i++ {
		fmt.Fprintf(&want, "id: %d\ndata: e%d\n\n", i, i)
	}
	if body != want.String() {
		s.checks.fail("stream %s ended successfully with the wrong body %q", attempt, body)
	}
}
