package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a small stand-in for the platform's metadata store.
type store struct {
	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]*object
	history  []change
	changed  chan struct{}
	listener net.Listener
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
	Status   json.RawMessage `json:"status"`
}

type change struct {
	kind    string
	Deleted bool   `json:"deleted"`
	Object  object `json:"object"`
}

const (
	objectsPath = "/-/objects/"
	pageSize    = 500
	maxWait     = 30 * time.Second
)

// startStore serves an empty store on a free loopback port.
func startStore() (*store, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{objects: map[string]map[string]*object{}, changed: make(chan struct{}), listener: ln, revision: 100}
	go func() { _ = (&http.Server{Handler: s}).Serve(ln) }()
	return s, nil
}

func (s *store) addr() string { return s.listener.Addr().String() }

// put writes an object, as the operator or a worker does.
func (s *store) put(kind, name string, spec any) {
	data, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.set(kind, name, data)
}

// remove deletes an object.
func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unset(kind, name)
}

func (s *store) set(kind, name string, spec json.RawMessage) *object {
	s.revision++
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]*object{}
	}
	o := &object{Metadata: metadata{Name: name, Revision: s.revision, Created: s.revision, Finalizers: []string{}}, Spec: spec}
	if old := s.objects[kind][name]; old != nil {
		o.Metadata.Created = old.Metadata.Created
	}
	s.objects[kind][name] = o
	s.record(change{kind: kind, Object: *o})
	return o
}

func (s *store) unset(kind, name string) *object {
	o := s.objects[kind][name]
	if o == nil {
		return nil
	}
	s.revision++
	delete(s.objects[kind], name)
	deleted := *o
	deleted.Metadata.Revision = s.revision
	s.record(change{kind: kind, Deleted: true, Object: deleted})
	return &deleted
}

func (s *store) record(c change) {
	s.history = append(s.history, c)
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	rest, ok := strings.CutPrefix(r.URL.Path, objectsPath)
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	kind, name, named := strings.Cut(rest, "/")
	query := r.URL.Query()
	switch {
	case r.Method == http.MethodGet && query.Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && !named:
		s.list(w, kind, query.Get("after"))
	case r.Method == http.MethodGet:
		s.mu.Lock()
		o := s.objects[kind][name]
		s.mu.Unlock()
		if o == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		respond(w, http.StatusOK, o)
	default:
		s.write(w, r, kind, name)
	}
}

func respond(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func (s *store) list(w http.ResponseWriter, kind, after string) {
	s.mu.Lock()
	names := make([]string, 0, len(s.objects[kind]))
	for name := range s.objects[kind] {
		if name > after {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	more := len(names) > pageSize
	names = names[:min(len(names), pageSize)]
	entries := make([]*object, 0, len(names))
	for _, name := range names {
		entries = append(entries, s.objects[kind][name])
	}
	at := s.revision
	s.mu.Unlock()
	respond(w, http.StatusOK, map[string]any{"entries": entries, "has_more": more, "at": at})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	from, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	end := time.After(min(maxWait, time.Duration(wait)*time.Millisecond))
	for {
		s.mu.Lock()
		events := []change{}
		for _, c := range s.history {
			if c.kind == kind && c.Object.Metadata.Revision > from {
				events = append(events, c)
			}
		}
		at, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			respond(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-end:
			respond(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		}
	}
}

func (s *store) write(w http.ResponseWriter, r *http.Request, kind, name string) {
	var in object
	if r.Method != http.MethodDelete {
		if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	expected := in.Metadata.Revision
	if v := r.URL.Query().Get("revision"); v != "" {
		expected, _ = strconv.ParseUint(v, 10, 64)
	}
	if r.Method == http.MethodPost {
		name = in.Metadata.Name
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.objects[kind][name]
	switch {
	case r.Method == http.MethodPost && current != nil, current != nil && expected != 0 && expected != current.Metadata.Revision:
		respond(w, http.StatusConflict, current)
	case r.Method != http.MethodPost && current == nil:
		w.WriteHeader(http.StatusNotFound)
	case r.Method == http.MethodDelete:
		respond(w, http.StatusOK, s.unset(kind, name))
	default:
		respond(w, http.StatusOK, s.set(kind, name, in.Spec))
	}
}
