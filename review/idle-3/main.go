// Command idle-3 shows that a gate refuses requests that may run only once although their worker
// is idle. It is no case: refusals are honest. It prints the answers by status.
package main

import (
	"fmt"
	"net/http"
	"os"
	"time"

	stand "parsleyroute.example/review/stand-3"
)

const host = "desk.example"

func main() {
	dir, err := os.MkdirTemp("", "idle3")
	if err != nil {
		os.Exit(stand.ExitSkipped)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	store := stand.NewStore()
	w := stand.StartWorker("i-1", "127.0.0.1:0", func(c *stand.Conn, r *stand.Request) {
		time.Sleep(60 * time.Millisecond)
		_ = c.Answer(r, http.StatusOK, "Keep-Alive: timeout=60\r\n", "deposit taken")
	})
	store.Put("servers", w.ID, stand.Entry(w, "desk", "plateau", 6, time.Now().UnixMilli(), 1, nil))
	store.Put("config", "main", stand.Map{
		"version": 3, "limits": stand.Limits,
		"backends": []any{stand.Map{"name": "desk", "max_connections": 16}},
		"routes":   []any{stand.Route("deposit-confirm", host, "/deposit/", "unsafe", "desk", 1500, 300, 1, nil)},
	})
	g := stand.NewGate("edge-1", "plateau", store.Door().Addr, dir)
	g.Start()
	defer g.Kill()
	if !g.AwaitReady(10 * time.Second) {
		return
	}
	results := map[int]int{}
	for i := range 60 {
		results[stand.Do(g.Callers, http.MethodPost, host, "/deposit/1", fmt.Sprintf("r%d", i), 3*time.Second, "x").Status]++
		time.Sleep(450 * time.Millisecond)
	}
	fmt.Println("answers by status:", results)
}
