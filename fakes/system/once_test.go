package system_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"parsleyroute.example/fakes/process/proxy"
)

// orderCall is one call with an idempotency key. ranBefore means that a request
// with the key had already run when the call was made.
type orderCall struct {
	result
	entry     string
	ranBefore bool
}

// callsByKey collects the calls of each idempotency key.
type callsByKey struct {
	mu    sync.Mutex
	calls map[string][]orderCall
}

func (k *callsByKey) add(key string, order orderCall) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.calls[key] = append(k.calls[key], order)
}

// placeWithRetries places an order through random entries, up to four times, until
// a call succeeds.
func (c *cluster) placeWithRetries(k *callsByKey, key string, rng *rand.Rand) {
	for range 4 {
		e := c.entries[rng.IntN(len(c.entries))]
		order := orderCall{entry: e.name, ranBefore: c.runCount(key) > 0}
		order.result = c.do(call{
			entry: e, team: "small", method: http.MethodPost, path: "desk/orders", body: "order " + key,
			headers: map[string]string{"Idempotency-Key": key, "X-Deadline-Ms": strconv.Itoa(1000 + rng.IntN(4000))},
		})
		k.add(key, order)
		if order.status == 200 {
			return
		}
		time.Sleep(time.Duration(20+rng.IntN(100)) * time.Millisecond)
	}
}

// injectFault causes one random fault. It ends the fault again, except for lost
// responses, which clearFaults ends.
func (f *proxiedCluster) injectFault(rng *rand.Rand) {
	a := f.agents[rng.IntN(len(f.agents))]
	e := f.entries[rng.IntN(len(f.entries))]
	d := time.Duration(50+rng.IntN(500)) * time.Millisecond
	faults := []proxy.Fault{{Down: true}, {Freeze: proxy.FreezeToTarget}, {Freeze: proxy.FreezeToClient}, {DelayMs: 150}, {HalfOpen: true}}
	breakLink := func(link string) {
		f.setLink(link, faults[rng.IntN(len(faults))])
		time.Sleep(d)
		f.setLink(link, proxy.Fault{})
	}
	switch rng.IntN(12) {
	case 0, 1:
		f.restart(a)
	case 2:
		f.restart(e)
	case 3:
		suspend(d, a)
	case 4:
		// Long enough for the entries to treat the agent as unreachable.
		suspend(d+2*time.Second, a)
	case 5:
		suspend(d, e)
	case 6:
		// Long enough for another entry to reassign its claims.
		suspend(d+2*time.Second, e)
	case 7:
		f.putFaults(map[string]any{"outage": true})
		time.Sleep(d)
		f.putFaults(map[string]any{"outage": false})
	case 8:
		f.putFaults(map[string]any{"lose_answers": 3, "lose_kind": "claim"})
	case 9:
		f.control(a.backend, http.MethodPut, "/control/settings", map[string]any{"lose_answers": 2})
	case 10:
		breakLink(agentLink(a))
	case 11:
		breakLink(backendLink(a))
	}
	time.Sleep(d / 4)
}

// clearFaults ends the faults that injectFault leaves behind.
func (f *proxiedCluster) clearFaults() {
	f.putFaults(map[string]any{"outage": false, "lose_answers": 0})
	for _, a := range f.agents {
		f.control(a.backend, http.MethodPut, "/control/settings", map[string]any{"lose_answers": 0})
	}
	f.waitReady()
}

// check compares the responses to the calls of a key with the number of its runs.
func (k *callsByKey) check(key string, runs int) []string {
	var out []string
	var first []byte
	succeeded, notRun := 0, 0
	for i, order := range k.calls[key] {
		switch {
		case order.status == 200:
			if succeeded++; succeeded == 1 {
				first = order.body
			} else if string(first) != string(order.body) {
				out = append(out, fmt.Sprintf("%s: call %d got a different response than the first successful call", key, i))
			}
		case order.run == "no":
			notRun++
			if order.ranBefore {
				out = append(out, fmt.Sprintf("%s: call %d through %s got run: no (%s) after the key had run", key, i, order.entry, order.reason))
			}
		}
	}
	switch {
	case runs > 1:
		out = append(out, fmt.Sprintf("%s ran %d times", key, runs))
	case succeeded > 0 && runs != 1:
		out = append(out, fmt.Sprintf("%s got a successful response and ran %d times", key, runs))
	case notRun == len(k.calls[key]) && runs != 0:
		out = append(out, fmt.Sprintf("%s got run: no for all calls and ran %d times", key, runs))
	}
	return out
}

var _ = Describe("requests that are not repeatable", func() {
	// Guards against second runs, and against refusals that wrongly say that the
	// request did not run, when entries, agents, the platform and the network
	// between them fail at any moment. The seed determines the order of the faults,
	// but not the times of the calls.
	It("run at most once, and their callers get correct statuses", func() {
		seed := uint64(GinkgoRandomSeed())
		GinkgoWriter.Printf("seed of the faults: -ginkgo.seed=%d\n", seed)
		f := newProxiedCluster(clusterConfig{
			zones: []string{"a", "b", "c"}, entries: 1, plainServers: 1, limit: 8, coldLimit: 4, limitStep: 2, seeds: true,
			plainArgs: []string{"--set", `{"cold":8,"max":8,"delay_ms":30}`},
		})
		f.client = &http.Client{Timeout: 8 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
		k := &callsByKey{calls: map[string][]orderCall{}}
		stop := make(chan struct{})
		var callers sync.WaitGroup
		for w := range 8 {
			callers.Add(1)
			go func() {
				defer GinkgoRecover()
				defer callers.Done()
				// Two callers share each key.
				rng := rand.New(rand.NewPCG(seed, uint64(w+1)))
				for n := 0; ; n++ {
					select {
					case <-stop:
						return
					default:
						f.placeWithRetries(k, fmt.Sprintf("key-%d-%d", w/2, n), rng)
					}
				}
			}()
		}
		rng := rand.New(rand.NewPCG(seed, 0))
		for begin := time.Now(); time.Since(begin) < 20*time.Second; {
			f.injectFault(rng)
		}
		close(stop)
		callers.Wait()
		f.clearFaults()

		By("repeating calls that succeeded")
		repeated, succeeded := 0, 0
		for key, calls := range k.calls {
			for _, order := range calls {
				if order.status == 200 {
					succeeded++
					if repeated < 60 {
						repeated++
						f.placeWithRetries(k, key, rng)
					}
					break
				}
			}
		}
		runs := f.runsByKey()
		var problems []string
		outcomes := map[string]int{}
		for key, calls := range k.calls {
			problems = append(problems, k.check(key, runs[key])...)
			for _, order := range calls {
				outcomes[fmt.Sprintf("%d %s %s", order.status, order.reason, order.run)]++
			}
		}
		GinkgoWriter.Printf("%d keys, %d succeeded, outcomes %v\n", len(k.calls), succeeded, outcomes)
		Expect(problems).To(BeEmpty(), "of %d keys, seed %d", len(k.calls), seed)
		Expect(succeeded).To(BeNumerically(">", 20), "too few successful keys for a meaningful check: %v", outcomes)
	})
})
