// Command entry-3 shows that one entry of another writer stops a group of ranks that is well. It
// is no case: refusals are honest. It prints the answers by status.
package main

import (
	"fmt"
	"net/http"
	"os"
	"time"

	stand "parsleyroute.example/review/stand-3"
)

const (
	host  = "draft.example"
	group = "g1"
	ranks = 3
	phase = 8 * time.Second
)

func membership(rank int) stand.Map {
	return stand.Map{"name": group, "epoch": 1, "rank": rank, "state": "open"}
}

func main() {
	dir, err := os.MkdirTemp("", "entry3")
	if err != nil {
		os.Exit(stand.ExitSkipped)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	store := stand.NewStore()
	born := time.Now().UnixMilli()
	for rank := range ranks {
		w := stand.StartWorker(fmt.Sprintf("i-%d", rank), "127.0.0.1:0", func(c *stand.Conn, r *stand.Request) {
			if r.URL.Path == "/-/report" {
				_ = c.Answer(r, http.StatusOK, "Content-Type: application/json\r\n", fmt.Sprintf(
					`{"phase":"combined","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"sequence":1,"queued":0,"active":0,"kv_used":0,"kv_total":1000,"born":%d,"group":{"name":%q,"epoch":1,"rank":%d,"state":"open"},"size":%d,"pace":1,"step":7,"mapping":0}`,
					born, group, rank, ranks))
				return
			}
			time.Sleep(20 * time.Millisecond)
			_ = c.Answer(r, http.StatusOK, "", "lettering")
		})
		store.Put("servers", w.ID, stand.Entry(w, "lettering", "plateau", 12, born, 1, stand.Map{"group": membership(rank), "size": ranks}))
	}
	store.Put("config", "main", stand.Map{
		"version": 3, "limits": stand.Limits,
		"backends": []any{stand.Map{"name": "lettering", "max_connections": 96}},
		"routes":   []any{stand.Route("draft", host, "/draft/", "safe", "lettering", 1500, 300, 2, nil)},
	})
	g := stand.NewGate("edge-1", "plateau", store.Door().Addr, dir)
	g.Start()
	defer g.Kill()
	if !g.AwaitReady(10 * time.Second) {
		fmt.Println("the gate is not ready")
		return
	}
	sent := 0
	measure := func(label string) {
		results := map[int]int{}
		for until := time.Now().Add(phase); time.Now().Before(until); time.Sleep(400 * time.Millisecond) {
			sent++
			results[stand.Do(g.Callers, http.MethodPost, host, "/draft/1", fmt.Sprintf("r%d", sent), 3*time.Second, "x").Status]++
		}
		fmt.Printf("%-42s answers by status: %v\n", label, results)
	}
	measure("before")
	// Nothing listens at the address of the entry, and its group has no state.
	incomplete := membership(1)
	delete(incomplete, "state")
	store.Put("servers", "odd-1", stand.Map{
		"backend": "lettering", "address": stand.FreeAddr(), "zone": "plateau", "version": "v1", "slots": 12, "state": "ready",
		"cold_remaining_ms": 0, "sequence": 1, "born": born, "group": incomplete, "size": ranks,
	})
	measure("beside an entry whose group has no state")
	store.Remove("servers", "odd-1")
	measure("after its removal")
}
