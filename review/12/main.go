// Command 12 shows that gates go on sending to a worker that has left for longer than drain_ms,
// because another gate was cut off from the store shortly before.
package main

import (
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"

	stand "parsleyroute.example/review/stand-3"
)

// The bounds of the pages for a small deployment.
const (
	drain  = 2000 * time.Millisecond // drain_ms
	stable = 3000 * time.Millisecond // stable_window_ms
	cutFor = 3000 * time.Millisecond // core_cut: at most 5.5 s
	rounds = 9
	calm   = 4 * time.Second
	// After the removal of its entry a worker serves for drain_ms and a little longer.
	servesOn = 2350 * time.Millisecond
	host     = "desk.example"
)

func main() {
	trouble := os.Getenv("TROUBLE") != "0"
	dir, err := os.MkdirTemp("", "case12")
	if err != nil {
		os.Exit(stand.ExitSkipped)
	}

	code := run(trouble, dir)
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(dir)
	} else {
		fmt.Println(dir)
	}
	os.Exit(code)
}

// arrival is a request that has reached a worker.
type arrival struct {
	id, worker string
	at         time.Time
}

type state struct {
	mu       sync.Mutex
	arrivals []arrival
	// sentBy holds the gate to which a client has sent a request, and when.
	sentBy map[string]sent
}

type sent struct {
	gate string
	at   time.Time
}

func run(trouble bool, dir string) int {
	rec := stand.NewRecord(os.Args[1])
	store := stand.NewStore()
	st := &state{sentBy: map[string]sent{}}
	serve := func(c *stand.Conn, r *stand.Request) {
		st.mu.Lock()
		st.arrivals = append(st.arrivals, arrival{r.ID, c.W.ID, r.At})
		st.mu.Unlock()
		rec.Log("worker %s runs %s", c.W.ID, r.ID)
		time.Sleep(60 * time.Millisecond)
		_ = c.Answer(r, http.StatusOK, "", "deposit taken")
	}
	store.Put("config", "main", stand.Map{
		"version": 3, "limits": stand.Limits,
		"backends": []any{stand.Map{"name": "desk", "max_connections": 96}},
		"routes":   []any{stand.Route("deposit-confirm", host, "/deposit/", "unsafe", "desk", 1500, 300, 1, nil)},
	})
	started := 0
	zones := []string{"plateau", "medina", "yoff", "plateau", "medina", "yoff"}
	start := func(zone string) *stand.Worker {
		started++
		w := stand.StartWorker(fmt.Sprintf("i-%d", started), "127.0.0.1:0", serve)
		store.Put("servers", w.ID, stand.Entry(w, "desk", zone, 6, time.Now().UnixMilli(), 1, nil))
		rec.Log("worker %s starts at %s", w.ID, w.Addr)
		return w
	}
	var workers []*stand.Worker
	for _, z := range zones {
		workers = append(workers, start(z))
	}

	// Eight gates in three zones, each with an address of its own at the store.
	gateZones := []string{"plateau", "plateau", "plateau", "medina", "medina", "medina", "yoff", "yoff"}
	var gates []*stand.Gate
	var doors []*stand.Door
	for i, z := range gateZones {
		d := store.Door()
		doors = append(doors, d)
		gates = append(gates, stand.NewGate(fmt.Sprintf("edge-%s-%d", z, i+1), z, d.Addr, dir))
	}
	seeds := []string{gates[0].Peers, gates[3].Peers, gates[6].Peers}
	defer func() {
		for _, g := range gates {
			g.Kill()
		}
	}()
	for _, g := range gates {
		g.Seeds = seeds
		g.Start()
		rec.Log("gate %s starts, clients at %s, peers at %s", g.Name, g.Callers, g.Peers)
	}
	for _, g := range gates {
		if !g.AwaitReady(10 * time.Second) {
			rec.Log("gate %s isn't ready", g.Name)
			return stand.ExitSkipped
		}
	}

	// Clients: some 140 deposits a second, on any gate, over kept connections.
	stop := make(chan struct{})
	var clients sync.WaitGroup
	results := map[int]int{}
	const clientCount = 80
	for i := range clientCount {
		clients.Go(func() {
			g := gates[i%len(gates)]
			var c *stand.Client
			time.Sleep(time.Duration(i) * 500 * time.Millisecond / clientCount)
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(500 * time.Millisecond):
				}
				if c == nil {
					if c, _ = stand.Dial(g.Callers); c == nil {
						continue
					}
				}
				id := fmt.Sprintf("c%d-%d", i, n)
				st.mu.Lock()
				st.sentBy[id] = sent{g.Name, time.Now()}
				st.mu.Unlock()
				rec.Log("client sends %s to %s", id, g.Name)
				_, _ = fmt.Fprintf(c, "%sContent-Length: 2\r\n\r\nok", stand.Head(http.MethodPost, host, "/deposit/1", id, 3*time.Second))
				a := c.Read(http.MethodPost, 4*time.Second)
				st.mu.Lock()
				results[a.Status]++
				st.mu.Unlock()
				rec.Log("client: request %s at %s ends with %d, %v", id, g.Name, a.Status, a.Err)
				if a.Err != nil {
					_ = c.Close()
					c = nil
				}
			}
		})
	}
	// Traffic, and calm for stable_window_ms, before the first cut.
	time.Sleep(stable + time.Second)

	broken := 0
	for n := range rounds {
		// The gate of the zone with the lowest address is the one that watches for it.
		cut := lowest(gates[:3])
		if trouble {
			rec.Log("round %d: %s is partitioned from the store for %v", n+1, gates[cut].Name, cutFor)
			doors[cut].SetShut(true)
		}
		time.Sleep(cutFor)
		back := make(chan struct{})
		if trouble {
			var once sync.Once
			doors[cut].OnAnswer(func(kind string) {
				if kind == "servers" {
					once.Do(func() { close(back) })
				}
			})
			doors[cut].SetShut(false)
			rec.Log("round %d: the cut heals", n+1)
			select {
			case <-back:
			case <-time.After(6 * time.Second):
				rec.Log("%s does not come back", gates[cut].Name)
				return stand.ExitSkipped
			}
			doors[cut].OnAnswer(nil)
			rec.Log("round %d: the store answers %s again", n+1, gates[cut].Name)
		}
		// Soon after it is back two workers of its zone are replaced. They leave without
		// having reported draining.
		leaving := []*stand.Worker{workers[0], workers[3]}
		workers[0], workers[3] = start(zones[0]), start(zones[3])
		removed := make([]time.Time, len(leaving))
		for i, w := range leaving {
			time.Sleep(150 * time.Millisecond)
			store.Remove("servers", w.ID)
			removed[i] = time.Now()
			rec.Log("round %d: the store accepts that worker %s is gone", n+1, w.ID)
		}
		for i, w := range leaving {
			time.Sleep(time.Until(removed[i].Add(servesOn)))
			w.Crash()
			rec.Log("round %d: worker %s ends", n+1, w.ID)
			broken += st.late(rec, w.ID, removed[i], gates[cut].Name, trouble)
		}
		if broken > 0 {
			break
		}
		// Calm, so that the next round begins as the first one did.
		time.Sleep(calm)
	}
	close(stop)
	clients.Wait()
	rec.Log("answers to clients by status, 502 for those that a worker was running when it ended: %v", results)
	rec.Log("requests that reached a worker later than %v after the store accepted that it is gone, by machines in touch: %d", drain, broken)
	if broken > 0 {
		rec.Log("DRAIN is broken")
		return 1
	}
	return 0
}

// late logs the requests that reached the worker later than drain_ms after its removal, and
// returns how many came by gates other than the one that was cut off.
func (st *state) late(rec *stand.Record, worker string, removed time.Time, cut string, trouble bool) int {
	st.mu.Lock()
	defer st.mu.Unlock()
	n := 0
	for _, a := range st.arrivals {
		after := a.at.Sub(removed)
		if a.worker != worker || after < 0 {
			continue
		}
		s := st.sentBy[a.id]
		note := ""
		if after > drain {
			note = " LATE"
			if trouble && s.gate == cut {
				note = " late, but this gate was cut off"
			} else {
				n++
			}
		}
		rec.Log("worker %s: request %s, sent to %s %.3f s after the removal, arrives %.3f s after it%s", worker, a.id, s.gate, s.at.Sub(removed).Seconds(), after.Seconds(), note)
	}
	return n
}

// lowest returns the index of the gate with the lowest address for other gates.
func lowest(gates []*stand.Gate) int {
	best := 0
	for i, g := range gates {
		if port(g.Peers) < port(gates[best].Peers) {
			best = i
		}
	}
	return best
}

func port(addr string) int {
	var p int
	_, _ = fmt.Sscanf(addr, "127.0.0.1:%d", &p)
	return p
}
