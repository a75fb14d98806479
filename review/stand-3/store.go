package stand

import (
	"encoding/json"
	"math/rand/v2"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Store is a stand-in for the platform's metadata store, as PROTOCOL.md describes it: objects
// by kind and name, lists, watches and conditional writes.
type Store struct {
	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]*object
	history  []event
	changed  chan struct{}
}

// Door is an address at which one machine reaches the store. While it is shut, calls get no
// answer and connections stay open, as if the machine was partitioned from the store.
type Door struct {
	Addr string

	store *Store
	mu    sync.Mutex
	shut  bool
	// moved is closed when the door is shut or opened.
	moved chan struct{}
	// answered is called with the kind of each call that gets an answer.
	answered func(kind string)
}

// Door opens another address of the store.
func (s *Store) Door() *Door {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	d := &Door{Addr: ln.Addr().String(), store: s, moved: make(chan struct{})}
	go func() { _ = (&http.Server{Handler: d}).Serve(ln) }()
	return d
}

// SetShut shuts or opens the door.
func (d *Door) SetShut(shut bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.shut = shut
	close(d.moved)
	d.moved = make(chan struct{})
}

// OnAnswer sets the function that is called with the kind of each call that gets an answer.
func (d *Door) OnAnswer(f func(kind string)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.answered = f
}

func (d *Door) state() (shut bool, moved chan struct{}, answered func(string)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.shut, d.moved, d.answered
}

// ServeHTTP implements http.Handler. A call that arrives or waits while the door is shut never
// gets an answer.
func (d *Door) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	shut, moved, answered := d.state()
	if shut {
		<-r.Context().Done()
		return
	}
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/-/objects/"), "/")
	a := d.store.serve(r, kind, name, moved)
	if shut, _, _ := d.state(); shut || a.status == 0 {
		<-r.Context().Done()
		return
	}
	// An answer takes 4 ms, more or less.
	time.Sleep(time.Duration(2000+rand.IntN(4000)) * time.Microsecond)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", "0")
	w.WriteHeader(a.status)
	_, _ = w.Write(a.body)
	if answered != nil {
		answered(kind)
	}
}

// answer is the answer to a call, with the status 0 if it gets none.
type answer struct {
	status int
	body   []byte
}

type metadata struct {
	Name            string   `json:"name"`
	Revision        uint64   `json:"revision"`
	Created         uint64   `json:"created"`
	Finalizers      []string `json:"finalizers"`
	DeletionPending bool     `json:"deletion_pending"`
}

type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status,omitempty"`
}

type event struct {
	kind    string
	Deleted bool   `json:"deleted"`
	Object  object `json:"object"`
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{objects: map[string]map[string]*object{}, changed: make(chan struct{}), revision: 100}
}

// Put writes an object as the operator or a worker does, and returns its revision.
func (s *Store) Put(kind, name string, spec any) uint64 {
	data, err := json.Marshal(spec)
	check(err)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.put(kind, name, data).Metadata.Revision
}

// Remove deletes an object.
func (s *Store) Remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(kind, name)
}

func (s *Store) put(kind, name string, spec json.RawMessage) *object {
	s.revision++
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]*object{}
	}
	o := &object{Metadata: metadata{Name: name, Revision: s.revision, Created: s.revision, Finalizers: []string{}}, Spec: spec}
	if old := s.objects[kind][name]; old != nil {
		o.Metadata.Created = old.Metadata.Created
	}
	s.objects[kind][name] = o
	s.history = append(s.history, event{kind: kind, Object: *o})
	s.notify()
	return o
}

func (s *Store) remove(kind, name string) {
	o := s.objects[kind][name]
	if o == nil {
		return
	}
	s.revision++
	delete(s.objects[kind], name)
	gone := *o
	gone.Metadata.Revision = s.revision
	s.history = append(s.history, event{kind: kind, Deleted: true, Object: gone})
	s.notify()
}

func (s *Store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) serve(r *http.Request, kind, name string, moved chan struct{}) answer {
	switch {
	case r.Method == http.MethodGet && r.URL.Query().Has("watch"):
		return s.watch(r, kind, moved)
	case r.Method == http.MethodGet:
		return s.get(r, kind, name)
	}
	var in object
	if r.Method != http.MethodDelete {
		if json.NewDecoder(r.Body).Decode(&in) != nil {
			return answer{status: http.StatusBadRequest}
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return reply(s.write(r, kind, name, in))
}

func (s *Store) get(r *http.Request, kind, name string) answer {
	s.mu.Lock()
	defer s.mu.Unlock()
	if name != "" {
		if o := s.objects[kind][name]; o != nil {
			return reply(http.StatusOK, o)
		}
		return reply(http.StatusNotFound, map[string]any{"at": s.revision})
	}
	var names []string
	for n := range s.objects[kind] {
		if n > r.URL.Query().Get("after") {
			names = append(names, n)
		}
	}
	sort.Strings(names)
	const page = 500
	entries := []*object{}
	for _, n := range names[:min(len(names), page)] {
		entries = append(entries, s.objects[kind][n])
	}
	return reply(http.StatusOK, map[string]any{"entries": entries, "has_more": len(names) > page, "at": s.revision})
}

func (s *Store) watch(r *http.Request, kind string, moved chan struct{}) answer {
	after, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	ms, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	timeout := time.After(time.Duration(ms) * time.Millisecond)
	for timedOut := false; ; {
		s.mu.Lock()
		events := []event{}
		for _, e := range s.history {
			if e.kind == kind && e.Object.Metadata.Revision > after {
				events = append(events, e)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 || timedOut {
			return reply(http.StatusOK, map[string]any{"events": events, "at": revision})
		}
		select {
		case <-changed:
		case <-timeout:
			timedOut = true
		case <-moved:
			return answer{}
		case <-r.Context().Done():
			return answer{}
		}
	}
}

func (s *Store) write(r *http.Request, kind, name string, in object) (int, any) {
	if r.Method == http.MethodPost {
		if o := s.objects[kind][in.Metadata.Name]; o != nil {
			return http.StatusConflict, o
		}
		return http.StatusOK, s.put(kind, in.Metadata.Name, in.Spec)
	}
	o := s.objects[kind][name]
	if o == nil {
		return http.StatusNotFound, map[string]any{"at": s.revision}
	}
	want := in.Metadata.Revision
	if q := r.URL.Query().Get("revision"); q != "" {
		want, _ = strconv.ParseUint(q, 10, 64)
	}
	if want != 0 && want != o.Metadata.Revision {
		return http.StatusConflict, o
	}
	if r.Method == http.MethodDelete {
		s.remove(kind, name)
		return http.StatusOK, map[string]any{"at": s.revision}
	}
	return http.StatusOK, s.put(kind, name, in.Spec)
}

func reply(status int, v any) answer {
	data, err := json.Marshal(v)
	check(err)
	return answer{status, data}
}
