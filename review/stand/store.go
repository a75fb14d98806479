package stand

import (
	"bytes"
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	objectsPath = "/-/objects/"
	// pageSize and pageBytes limit one page of a list.
	pageSize  = 500
	pageBytes = 1 << 20
)

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
	Status   json.RawMessage `json:"status"`
}

type event struct {
	kind    string
	Deleted bool   `json:"deleted"`
	Object  object `json:"object"`
}

// Store is a stand-in for the platform's metadata store.
type Store struct {
	// CutWatch, if set, returns after which part of its wait a watch is cut off, and
	// false for a watch that is not.
	CutWatch func(kind string) (part float64, cut bool)
	// OnCut is called when a watch has been cut off.
	OnCut func(kind, caller string)

	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]*object
	history  []event
	changed  chan struct{}
	ln       net.Listener
	server   *http.Server
}

// Start serves on a free loopback port.
func (s *Store) Start() error {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	s.ln, s.objects, s.changed, s.revision = ln, map[string]map[string]*object{}, make(chan struct{}), 100
	s.server = &http.Server{Handler: s}
	go func() { _ = s.server.Serve(ln) }()
	return nil
}

// Addr returns the address of the store.
func (s *Store) Addr() string { return s.ln.Addr().String() }

// Close ends the store.
func (s *Store) Close() { _ = s.server.Close() }

// Put writes an object as an operator or a worker does, and returns its revision. A
// write that changes nothing but the sequence of an entry is no change.
func (s *Store) Put(kind, name string, spec map[string]any) uint64 {
	data, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if old := s.objects[kind][name]; old != nil && sameButSequence(old.Spec, spec) {
		old.Spec = data
		return old.Metadata.Revision
	}
	return s.put(kind, name, data).Metadata.Revision
}

func sameButSequence(old json.RawMessage, spec map[string]any) bool {
	var o map[string]any
	if json.Unmarshal(old, &o) != nil {
		return false
	}
	without := map[string]any{}
	for k, v := range spec {
		if k != "sequence" {
			without[k] = v
		}
	}
	delete(o, "sequence")
	a, _ := json.Marshal(o)
	b, _ := json.Marshal(without)
	return bytes.Equal(a, b)
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

func (s *Store) remove(kind, name string) bool {
	o := s.objects[kind][name]
	if o == nil {
		return false
	}
	s.revision++
	delete(s.objects[kind], name)
	gone := *o
	gone.Metadata.Revision = s.revision
	s.history = append(s.history, event{kind: kind, Deleted: true, Object: gone})
	s.notify()
	return true
}

func (s *Store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, objectsPath), "/")
	switch {
	case r.Method == http.MethodGet && r.URL.Query().Get("watch") != "":
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && name == "":
		s.list(w, r, kind)
	case r.Method == http.MethodGet:
		s.mu.Lock()
		o, at := s.objects[kind][name], s.revision
		s.mu.Unlock()
		if o == nil {
			reply(w, http.StatusNotFound, map[string]any{"at": at})
			return
		}
		reply(w, http.StatusOK, o)
	default:
		s.write(w, r, kind, name)
	}
}

func (s *Store) list(w http.ResponseWriter, r *http.Request, kind string) {
	s.mu.Lock()
	after := r.URL.Query().Get("after")
	names := []string{}
	for n := range s.objects[kind] {
		if n > after {
			names = append(names, n)
		}
	}
	sort.Strings(names)
	entries, size := []object{}, 0
	for _, n := range names[:min(len(names), pageSize)] {
		o := *s.objects[kind][n]
		if size += len(o.Spec); size > pageBytes && len(entries) > 0 {
			break
		}
		entries = append(entries, o)
	}
	answer := map[string]any{"entries": entries, "has_more": len(names) > len(entries), "at": s.revision}
	s.mu.Unlock()
	reply(w, http.StatusOK, answer)
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	from, err := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	ms, err2 := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	if err != nil || err2 != nil {
		reply(w, http.StatusBadRequest, map[string]any{})
		return
	}
	wait := time.Duration(ms) * time.Millisecond
	end := time.After(wait)
	var cut <-chan time.Time
	if s.CutWatch != nil && wait > 0 {
		if part, ok := s.CutWatch(kind); ok {
			cut = time.After(time.Duration(part * float64(wait)))
		}
	}
	for ended := false; ; {
		s.mu.Lock()
		events := []event{}
		for _, e := range s.history {
			if e.kind == kind && e.Object.Metadata.Revision > from {
				events = append(events, e)
			}
		}
		at, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 || ended {
			reply(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-end:
			ended = true
		case <-cut:
			if s.OnCut != nil {
				s.OnCut(kind, r.RemoteAddr)
			}
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) write(w http.ResponseWriter, r *http.Request, kind, name string) {
	var in object
	if r.Method != http.MethodDelete && json.NewDecoder(r.Body).Decode(&in) != nil {
		reply(w, http.StatusBadRequest, map[string]any{})
		return
	}
	s.mu.Lock()
	status, out := s.apply(r, kind, name, in)
	s.mu.Unlock()
	reply(w, status, out)
}

func (s *Store) apply(r *http.Request, kind, name string, in object) (int, any) {
	if r.Method == http.MethodPost {
		if o := s.objects[kind][in.Metadata.Name]; o != nil {
			return http.StatusConflict, *o
		}
		return http.StatusOK, *s.put(kind, in.Metadata.Name, in.Spec)
	}
	o := s.objects[kind][name]
	if o == nil {
		return http.StatusNotFound, map[string]any{"at": s.revision}
	}
	want := in.Metadata.Revision
	if q := r.URL.Query().Get("revision"); q != "" {
		want, _ = strconv.ParseUint(q, 10, 64)
	}
	switch {
	case want != 0 && want != o.Metadata.Revision:
		return http.StatusConflict, *o
	case r.Method == http.MethodDelete:
		s.remove(kind, name)
		return http.StatusOK, map[string]any{"at": s.revision}
	}
	return http.StatusOK, *s.put(kind, name, in.Spec)
}

func reply(w http.ResponseWriter, status int, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}
