package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// The figures of the sheet's group.
const (
	rankCount   = 12
	setCount    = 4
	expertCount = 72
	placeCount  = 8
	spareCount  = 3
	copyTime    = 98 * time.Millisecond // expert_mb x 8 / link_mbps
	passTime    = 25 * time.Millisecond
	hotWeight   = 6
)

// group is a stand-in for the model workers of one group, which run each pass together.
type group struct {
	record *record
	// onHold, if set, is called when a hold has been carried out, before its answer.
	onHold func()

	mu    sync.Mutex
	ranks []*rank
	step  uint64
	// hot is the rank on which most experts in demand are in map 0.
	hot     int
	streams map[*stream]bool
	// mixed holds the passes that began while two ranks had different maps.
	mixed []string
}

type rank struct {
	group    *group
	number   int
	id, addr string
	born     int64
	fence    uint64
	accepted uint64
	// highest is the highest version that the rank has had.
	highest  uint64
	current  version
	prepared *version
	// copiedAt is the time at which the copy of the prepared version is complete.
	copiedAt time.Time
	armed    *armed
	held     uint64
	counts   []uint64
}

type version struct {
	number uint64
	// experts are those of the rank by set, and all those of all ranks, as text.
	experts [][]int
	all     string
}

type armed struct {
	version uint64
	step    uint64
}

type stream struct {
	rank   *rank
	events chan uint64
}

// startGroup starts the ranks at addresses of their own, so that their sidecars can have
// the same port.
func startGroup(r *record) (*group, error) {
	g := &group{record: r, streams: map[*stream]bool{}}
	placement := make([][][]int, setCount)
	for s := range placement {
		placement[s] = make([][]int, rankCount)
		for e := range expertCount {
			placement[s][e%rankCount] = append(placement[s][e%rankCount], e)
		}
	}
	for i := range rankCount {
		k := &rank{group: g, number: i, id: fmt.Sprintf("i-rank-%d", i), born: time.Now().UnixMilli(), counts: make([]uint64, setCount*expertCount)}
		k.current = newVersion(0, placement, i)
		ln, err := net.Listen("tcp", fmt.Sprintf("127.0.7.%d:0", 10+i))
		if err != nil {
			return nil, err
		}
		k.addr = ln.Addr().String()
		g.ranks = append(g.ranks, k)
		go func() { _ = (&http.Server{Handler: k}).Serve(ln) }()
	}
	go g.run()
	return g, nil
}

func newVersion(number uint64, placement [][][]int, rank int) version {
	v := version{number: number, all: fmt.Sprint(placement)}
	for _, set := range placement {
		v.experts = append(v.experts, set[rank])
	}
	return v
}

// run runs the passes while there are streams.
func (g *group) run() {
	for {
		if !g.pass() {
			time.Sleep(time.Millisecond)
			continue
		}
		time.Sleep(passTime)
	}
}

// pass begins a pass and reports whether it has.
func (g *group) pass() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.streams) == 0 {
		return false
	}
	for _, k := range g.ranks {
		if k.held == g.step+1 {
			return false
		}
	}
	g.step++
	for _, k := range g.ranks {
		if k.armed != nil && k.armed.step == g.step {
			k.current, k.prepared, k.armed = *k.prepared, nil, nil
		}
	}
	var maps []string
	differ := false
	for _, k := range g.ranks {
		maps = append(maps, fmt.Sprintf("%d:%x", k.number, k.current.number))
		differ = differ || k.current.number != g.ranks[0].current.number || k.current.all != g.ranks[0].current.all
	}
	if differ {
		g.mixed = append(g.mixed, fmt.Sprintf("pass %d begins with the maps %s", g.step, strings.Join(maps, " ")))
		if len(g.mixed) <= 5 {
			g.record.printf("MAP: %s", g.mixed[len(g.mixed)-1])
		}
	}
	for s := range g.streams {
		select {
		case s.events <- g.step:
		default:
		}
		for e := range expertCount {
			n := uint64(1)
			if e%rankCount == g.hot {
				n = hotWeight
			}
			for set := range setCount {
				s.rank.counts[set*expertCount+e] += n
			}
		}
	}
	return true
}

// shift changes which experts are in demand.
func (g *group) shift() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.hot = (g.hot + 5) % rankCount
	g.record.printf("other experts are in demand: those of rank %d in map 0", g.hot)
}

func (g *group) mixedPasses() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.mixed)
}

// lastMixed describes the last pass that began with different maps.
func (g *group) lastMixed() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.mixed) == 0 {
		return "none"
	}
	return g.mixed[len(g.mixed)-1]
}

// ServeHTTP implements http.Handler.
func (k *rank) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if expect := r.Header.Get(headerExpect); expect != "" && expect != k.id {
		w.Header().Set("X-Parsleyroute-Instance-Id", k.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/-/report":
		respond(w, http.StatusOK, k.report())
	case "/-/picked":
		respond(w, http.StatusOK, k.picked(r.URL.Query().Has("lists")))
	case "/-/order":
		k.serveOrder(w, r)
	default:
		k.serveStream(w, r)
	}
}

func (k *rank) report() map[string]any {
	k.group.mu.Lock()
	defer k.group.mu.Unlock()
	m := map[string]any{
		"born": k.born, "phase": "combined", "models": []any{}, "busy": false, "sequence": k.accepted, "queued": 0, "active": 0, "pace": 1.0,
		"kv_used": 0, "kv_total": 280000, "handles": 0,
		"group": map[string]any{"name": "g", "epoch": 1, "rank": k.number, "state": "open"}, "size": rankCount,
		"step": k.group.step, "mapping": k.current.number,
	}
	if k.prepared != nil && time.Now().After(k.copiedAt) {
		m["prepared"] = k.prepared.number
	}
	if k.armed != nil {
		m["armed"] = map[string]any{"version": k.armed.version, "step": k.armed.step}
	}
	if k.held != 0 {
		m["held"] = k.held
	}
	return m
}

func (k *rank) picked(lists bool) map[string]any {
	k.group.mu.Lock()
	defer k.group.mu.Unlock()
	if lists {
		m := map[string]any{"mapping": map[string]any{"version": k.current.number, "experts": k.current.experts}}
		if k.prepared != nil {
			m["prepared"] = map[string]any{"version": k.prepared.number, "experts": k.prepared.experts}
		}
		return m
	}
	return map[string]any{"step": k.group.step, "epoch": 1, "counts": append([]uint64{}, k.counts...)}
}

// order is the body of an order.
type order struct {
	Operation string    `json:"operation"`
	Token     uint64    `json:"fencing_token"`
	Epoch     uint64    `json:"epoch"`
	Version   uint64    `json:"version"`
	Step      uint64    `json:"step"`
	Mapping   [][][]int `json:"mapping"`
}

func (o order) String() string {
	switch o.Operation {
	case "retention", "go":
		return fmt.Sprintf("%s step %d (token %d)", o.Operation, o.Step, o.Token)
	case "arm":
		return fmt.Sprintf("arm %x step %d (token %d)", o.Version, o.Step, o.Token)
	}
	return fmt.Sprintf("%s %x (token %d)", o.Operation, o.Version, o.Token)
}

func (k *rank) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	status := k.carryOut(o)
	k.group.record.printf("rank %d: %s: %d", k.number, o, status)
	if o.Operation == "retention" && status < 300 && k.group.onHold != nil {
		k.group.onHold()
	}
	w.WriteHeader(status)
}

// carryOut carries out an order and returns the status of its answer.
func (k *rank) carryOut(o order) int {
	g := k.group
	g.mu.Lock()
	defer g.mu.Unlock()
	if o.Token < k.fence && o.Token != 0 {
		return http.StatusPreconditionFailed
	}
	if o.Epoch != 1 {
		return http.StatusConflict
	}
	status := k.apply(o)
	if status < 300 {
		k.fence = max(k.fence, o.Token)
	}
	if status == http.StatusAccepted {
		k.accepted++
	}
	return status
}

func (k *rank) apply(o order) int {
	switch o.Operation {
	case "prepare":
		if o.Version <= k.highest || k.armed != nil || len(o.Mapping) != setCount {
			return http.StatusConflict
		}
		v := newVersion(o.Version, o.Mapping, k.number)
		copies := 0
		for s := range v.experts {
			n := countNew(k.current.experts[s], v.experts[s])
			if n > spareCount || len(v.experts[s]) > placeCount {
				return http.StatusConflict
			}
			copies += n
		}
		k.highest, k.prepared, k.copiedAt = o.Version, &v, time.Now().Add(time.Duration(copies)*copyTime)
	case "arm":
		switch {
		case k.armed != nil && *k.armed == armed{o.Version, o.Step}:
			return http.StatusOK
		case o.Step <= k.group.step || k.armed != nil || k.prepared == nil || k.prepared.number != o.Version || time.Now().Before(k.copiedAt):
			return http.StatusConflict
		}
		k.armed = &armed{o.Version, o.Step}
	case "disarm":
		switch {
		case k.current.number == o.Version:
			return http.StatusConflict
		case k.armed == nil || k.armed.version != o.Version:
			return http.StatusOK
		}
		k.armed = nil
	case "retention":
		switch {
		case k.held == o.Step:
			return http.StatusOK
		case k.held != 0 || o.Step <= k.group.step:
			return http.StatusConflict
		}
		k.held = o.Step
	case "go":
		if k.held != o.Step {
			return http.StatusOK
		}
		k.held = 0
	default:
		return http.StatusBadRequest
	}
	return http.StatusAccepted
}

func countNew(before, after []int) int {
	known := map[int]bool{}
	for _, e := range before {
		known[e] = true
	}
	n := 0
	for _, e := range after {
		if !known[e] {
			n++
		}
	}
	return n
}

// serveStream sends an event of a stream for each pass.
func (k *rank) serveStream(w http.ResponseWriter, r *http.Request) {
	first := 0
	_, _ = fmt.Sscanf(r.Header.Get("Last-Event-Id"), "%d", &first)
	s := &stream{rank: k, events: make(chan uint64, eventCount)}
	k.group.mu.Lock()
	k.group.streams[s] = true
	k.group.mu.Unlock()
	k.group.record.printf("rank %d runs %s after event %d", k.number, r.Header.Get(headerAttempt), first)
	defer func() {
		k.group.mu.Lock()
		delete(k.group.streams, s)
		k.group.mu.Unlock()
	}()
	w.Header().Set(headerAttempt, r.Header.Get(headerAttempt))
	w.Header().Set(headerSigned, k.id+"."+r.Header.Get(headerAttempt))
	w.Header().Set("Content-Type", "text/event-stream")
	for id := first + 1; id <= eventCount; id++ {
		select {
		case <-s.events:
		case <-r.Context().Done():
			return
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: piece %d of %d\n\n", id, id, eventCount)
		w.(http.Flusher).Flush()
	}
}
