package flow

import (
	"sync"
	"time"

	"parsleyroute.example/core"
)

// journalSize is the number of requests that an entry remembers.
const journalSize = 4096

// Record describes a request that the entry serves or has served.
type Record struct {
	ID      string    `json:"id"`
	Entry   string    `json:"entry"`
	Team    string    `json:"team"`
	Service string    `json:"service"`
	Started time.Time `json:"started"`
	// State is running, answered or refused.
	State    string         `json:"state"`
	Status   int            `json:"status,omitempty"`
	Reason   core.Reason    `json:"reason,omitempty"`
	Run      core.Execution `json:"run,omitempty"`
	Attempts []Attempt      `json:"attempts"`
}

// Attempt describes one dispatch and why its upstream was chosen.
type Attempt struct {
	Number     int         `json:"number"`
	Upstream   string      `json:"upstream"`
	Zone       string      `json:"zone"`
	Candidates int         `json:"candidates"`
	Waited     string      `json:"waited"`
	Outcome    core.Reason `json:"outcome,omitempty"`
	Detail     string      `json:"detail,omitempty"`
}

// Journal remembers the last requests. It is safe for concurrent use.
type Journal struct {
	mu    sync.Mutex
	byID  map[string]*Record
	order []string
	next  int
}

// begin adds a request. A later request with the same id replaces the earlier.
func (j *Journal) begin(r *Record) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.byID == nil {
		j.byID = map[string]*Record{}
		j.order = make([]string, journalSize)
	}
	if old := j.order[j.next]; old != "" {
		delete(j.byID, old)
	}
	j.order[j.next] = r.ID
	j.next = (j.next + 1) % journalSize
	j.byID[r.ID] = r
}

// update changes a record.
func (j *Journal) update(r *Record, change func(*Record)) {
	j.mu.Lock()
	defer j.mu.Unlock()
	change(r)
}

// Get returns a copy of the record.
func (j *Journal) Get(id string) (Record, bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	r := j.byID[id]
	if r == nil {
		return Record{}, false
	}
	c := *r
	c.Attempts = append([]Attempt(nil), r.Attempts...)
	return c, true
}
