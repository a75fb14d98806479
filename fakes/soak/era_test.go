package soak_test

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"
	"time"

	"parsleyroute.example/fakes/process/meta"
	"parsleyroute.example/fakes/process/worker"
)

// comeBack makes the store go away for a moment and come back from its last copy.
func (s *system) comeBack(away time.Duration) {
	s.store.SetFaults(meta.Faults{Status: 503})
	time.Sleep(away)
	s.store.Restore()
	s.store.SetFaults(meta.Faults{})
}

// stored reports whether the store has objects of a kind.
func (s *system) stored(t *testing.T, kind string) bool {
	t.Helper()
	resp, err := http.Get("http://" + s.store.Addr().String() + "/-/objects/" + kind)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return strings.Contains(string(body), "metadata")
}

// Guards against gates that go on by what the store has lost: they ignore what is written
// after it has come back from a copy, use workers that have left, or lose those that are
// not in the copy; and against a registration, a lease and a record that stay lost.
func TestStoreComesBackFromCopy(t *testing.T) {
	t.Parallel()
	s := startSystem(t, rand.New(rand.NewPCG(17, 7)))
	defer s.copyLogs(t, 0)
	left, late := s.workers[0], s.workers[2]
	s.store.Remove("servers", late.ID)
	s.waitServing(t, recoveryTimeout)
	s.store.Copy()
	for range 60 {
		s.writeEntries()
	}
	s.configure("/a/", "/lost/")
	s.store.Remove("servers", left.ID)
	time.Sleep(applyTime)
	served := map[string]int{}
	for _, w := range s.workers {
		w.SetScript(func(c *worker.Conn, req *worker.ReceivedRequest) { c.WriteResponse(req, 200, w.ID) })
	}
	ask := func(prefix string, n int) (ok int) {
		for i := range n {
			g := s.gates[i%len(s.gates)]
			status, body, err := s.send(g, "safe", prefix, fmt.Sprintf("era-%d", time.Now().UnixNano()))
			if err == nil && status == http.StatusOK {
				ok++
				served[body]++
			}
		}
		return ok
	}
	if n := ask("/lost/", 30); n != 30 || served[left.ID] > 0 {
		t.Fatalf("%d of 30 requests are served before, by %v", n, served)
	}
	s.comeBack(800 * time.Millisecond)
	// Until the operator has written the configuration again, and the workers their entries,
	// requests go by the newest configuration that was in force.
	clear(served)
	if n := ask("/lost/", 60); n != 60 || served[left.ID] > 0 {
		t.Errorf("%d of 60 requests are served at once, by %v", n, served)
	}
	for _, w := range s.workers {
		if w != left {
			s.writeEntry(w)
		}
	}
	s.configure("/a/", "/lost/", "/new/")
	time.Sleep(applyTime)
	clear(served)
	if n := ask("/new/", 60); n != 60 || served[left.ID] > 0 || served[late.ID] == 0 {
		t.Errorf("%d of 60 requests are served by the next configuration, by %v", n, served)
	}
	for _, kind := range []string{"parsleyroute-instance", "parsleyroute-lease"} {
		for n := 0; !s.stored(t, kind); n++ {
			if n > 100 {
				t.Fatalf("the store has no %s again", kind)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	for _, g := range s.gates {
		if !g.running() {
			t.Errorf("%s has ended", g.name)
		}
	}
}
