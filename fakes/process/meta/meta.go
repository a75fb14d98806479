// Package meta is a stand-in for the platform's metadata store as gates use it:
// objects by kind and name, with lists, watches, conditional writes and injected
// faults, over HTTP. Package objsrv is the stand-in that entries and agents use.
package meta

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

const pathPrefix = "/-/objects/"

// pageSize is the number of objects on one page of a list. It is small so that
// tests read several pages.
const pageSize = 5

// Faults selects the faults of the store.
type Faults struct {
	// Status is the status code returned for all requests, unless it is zero.
	Status int
	// Hang leaves all requests without a response.
	Hang bool
	// LoseWriteResponses executes writes and closes the connection without a
	// response.
	LoseWriteResponses bool
	// LoseWatchResponses leaves watches without a response once there are changes.
	// Their connections stay open.
	LoseWatchResponses bool
}

// Server is the store. Its zero value is ready for Start.
type Server struct {
	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]*object
	history  []event
	// compactedTo is the revision up to which the history has been deleted.
	compactedTo uint64
	// era is the number of times that the store has come back from a copy, and copied the
	// copy that was taken last.
	era          uint64
	copied       *content
	changed      chan struct{}
	faults       Faults
	requestCount int
	// odd holds specs that encoding/json cannot write, by the string that stands for
	// each of them in objects.
	odd map[string][]byte

	http *http.Server
	ln   net.Listener
}

// headerEra names the store's era in all responses, once there is one.
const headerEra = "Store-Era"

// content is what the store loses when it comes back from a copy.
type content struct {
	revision, compactedTo uint64
	objects               map[string]map[string]*object
	history               []event
}

// Copy takes a copy of the store.
func (s *Server) Copy() {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := &content{revision: s.revision, compactedTo: s.compactedTo, objects: map[string]map[string]*object{}, history: slices.Clone(s.history)}
	for kind, objects := range s.objects {
		c.objects[kind] = maps.Clone(objects)
	}
	s.copied = c
}

// Restore brings the store back from the last copy, in the next era. Waiting watches are cut
// off.
func (s *Server) Restore() {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.copied
	s.era++
	s.revision, s.compactedTo, s.history = c.revision, c.compactedTo, slices.Clone(c.history)
	s.objects = map[string]map[string]*object{}
	for kind, objects := range c.objects {
		s.objects[kind] = maps.Clone(objects)
	}
	s.notifyWatches()
}

// Era returns the store's era.
func (s *Server) Era() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
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

type event struct {
	kind    string
	Deleted bool   `json:"deleted"`
	Object  object `json:"object"`
}

// Start listens on a free port of the loopback address and serves in the
// background.
func (s *Server) Start() error {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	s.ln, s.objects, s.changed = ln, map[string]map[string]*object{}, make(chan struct{})
	s.http = &http.Server{Handler: s}
	go func() { _ = s.http.Serve(ln) }()
	return nil
}

// Addr returns the store's address.
func (s *Server) Addr() netip.AddrPort { return netip.MustParseAddrPort(s.ln.Addr().String()) }

// Close closes the listener and all connections.
func (s *Server) Close() { _ = s.http.Close() }

// SetFaults changes the faults and wakes the waiting watches.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.notifyWatches()
}

// RequestCount returns the number of requests received.
func (s *Server) RequestCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.requestCount
}

// CompactHistory deletes the history, so that watches from an older revision fail
// with 410.
func (s *Server) CompactHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.compactedTo = nil, s.revision
	s.notifyWatches()
}

// Put writes an object, as an operator or a worker does, and returns its revision.
func (s *Server) Put(kind, name string, spec any) uint64 {
	data, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	return s.PutRaw(kind, name, data)
}

// PutRaw writes an object whose spec is raw JSON and returns its revision.
func (s *Server) PutRaw(kind, name string, spec json.RawMessage) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.put(kind, name, spec).Metadata.Revision
}

// PutOdd writes an object whose spec is sent as it is, even if it is nested too deeply
// for encoding/json.
func (s *Server) PutOdd(kind, name, spec string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.odd == nil {
		s.odd = map[string][]byte{}
	}
	token := fmt.Sprintf(`"odd spec %d"`, len(s.odd))
	s.odd[token] = []byte(spec)
	s.put(kind, name, json.RawMessage(token))
}

// Remove deletes an object.
func (s *Server) Remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(kind, name)
}

func (s *Server) put(kind, name string, spec json.RawMessage) *object {
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
	s.notifyWatches()
	return o
}

func (s *Server) remove(kind, name string) {
	o := s.objects[kind][name]
	if o == nil {
		return
	}
	s.revision++
	delete(s.objects[kind], name)
	deleted := *o
	deleted.Metadata.Revision = s.revision
	s.history = append(s.history, event{kind: kind, Deleted: true, Object: deleted})
	s.notifyWatches()
}

func (s *Server) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.requestCount++
	f := s.faults
	if s.era > 0 {
		w.Header().Set(headerEra, strconv.FormatUint(s.era, 10))
	}
	s.mu.Unlock()
	if f.Hang {
		<-r.Context().Done()
		return
	}
	if f.Status != 0 {
		w.WriteHeader(f.Status)
		return
	}
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.EscapedPath(), pathPrefix), "/")
	switch r.Method {
	case http.MethodGet:
		s.get(w, r, kind, name)
	case http.MethodPost, http.MethodPut, http.MethodDelete:
		s.write(w, r, kind, name, f)
	default:
		w.WriteHeader(http.StatusBadRequest)
	}
}

func (s *Server) get(w http.ResponseWriter, r *http.Request, kind, name string) {
	q := r.URL.Query()
	if from := q.Get("watch"); from != "" {
		s.watch(w, r, kind, from, q.Get("wait_ms"))
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if name != "" {
		if o := s.objects[kind][name]; o != nil {
			s.writeJSON(w, http.StatusOK, o)
			return
		}
		s.writeJSON(w, http.StatusNotFound, map[string]any{"at": s.revision})
		return
	}
	names := make([]string, 0, len(s.objects[kind]))
	for n := range s.objects[kind] {
		if n > q.Get("after") {
			names = append(names, n)
		}
	}
	sort.Strings(names)
	entries := []*object{}
	for _, n := range names[:min(len(names), pageSize)] {
		entries = append(entries, s.objects[kind][n])
	}
	s.writeJSON(w, http.StatusOK, map[string]any{"entries": entries, "has_more": len(names) > pageSize, "at": s.revision})
}

func (s *Server) watch(w http.ResponseWriter, r *http.Request, kind, from, wait string) {
	after, err := strconv.ParseUint(from, 10, 64)
	ms, err2 := strconv.Atoi(wait)
	if err != nil || err2 != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timeout := time.After(time.Duration(ms) * time.Millisecond)
	era := s.Era()
	for timedOut := false; ; {
		s.mu.Lock()
		if s.era != era {
			s.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		if after < s.compactedTo || after > s.revision {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		events := []event{}
		for _, e := range s.history {
			if e.kind == kind && e.Object.Metadata.Revision > after {
				events = append(events, e)
			}
		}
		revision, changed, faults := s.revision, s.changed, s.faults
		s.mu.Unlock()
		if faults.Status != 0 || faults.Hang {
			// Close the connection of a waiting watch without a response.
			panic(http.ErrAbortHandler)
		}
		if faults.LoseWatchResponses && len(events) > 0 {
			<-r.Context().Done()
			return
		}
		if len(events) > 0 || timedOut {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.writeJSON(w, http.StatusOK, map[string]any{"events": events, "at": revision})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			timedOut = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Server) write(w http.ResponseWriter, r *http.Request, kind, name string, f Faults) {
	var in object
	if r.Method != http.MethodDelete {
		if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	status, out := s.applyWrite(r, kind, name, in)
	if f.LoseWriteResponses {
		panic(http.ErrAbortHandler)
	}
	s.writeJSON(w, status, out)
}

func (s *Server) applyWrite(r *http.Request, kind, name string, in object) (int, any) {
	if r.Method == http.MethodPost {
		name = in.Metadata.Name
		if o := s.objects[kind][name]; o != nil {
			return http.StatusConflict, o
		}
		return http.StatusOK, s.put(kind, name, in.Spec)
	}
	o := s.objects[kind][name]
	if o == nil {
		return http.StatusNotFound, map[string]any{"at": s.revision}
	}
	wantRevision := in.Metadata.Revision
	if q := r.URL.Query().Get("revision"); q != "" {
		wantRevision, _ = strconv.ParseUint(q, 10, 64)
	}
	if wantRevision != 0 && wantRevision != o.Metadata.Revision {
		return http.StatusConflict, o
	}
	if r.Method == http.MethodDelete {
		s.remove(kind, name)
		return http.StatusOK, map[string]any{"at": s.revision}
	}
	return http.StatusOK, s.put(kind, name, in.Spec)
}

// writeJSON must be called with s.mu locked.
func (s *Server) writeJSON(w http.ResponseWriter, status int, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	for token, spec := range s.odd {
		data = bytes.ReplaceAll(data, []byte(token), spec)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}
