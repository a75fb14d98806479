package flow

import (
	"sync"
	"time"

	"parsleyroute.example/core"
)

// journalSize is the number of requests whose records an entry keeps.
const journalSize = 4096

// Record describes a request that the entry is serving or has served.
type Record struct {
	ID      string    `json:"id"`
	Entry   string    `json:"entry"`
	Team    string    `json:"team"`
	Service string    `json:"service"`
	Started time.Time `json:"started"`
	// State is running, answered or refused.
	State     string         `json:"state"`
	Status    int            `json:"status,omitempty"`
	Reason    core.Reason    `json:"reason,omitempty"`
	Execution core.Execution `json:"run,omitempty"`
	Attempts  []Attempt      `json:"attempts"`
}

// Attempt describes one dispatch of a request and the choice of its upstream.
type Attempt struct {
	Number   int    `json:"number"`
	Upstream string `json:"upstream"`
	Zone     string `json:"zone"`
	// Candidates is the number of upstreams among which the picker chose.
	Candidates int `json:"candidates"`
	// Waited is the time in the queue, as formatted by time.Duration.
	Waited string `json:"waited"`
	// Outcome is the reason of the failure; empty if the attempt did not fail.
	Outcome core.Reason `json:"outcome,omitempty"`
	Detail  string      `json:"detail,omitempty"`
}

// Journal keeps the records of the last journalSize requests. It is safe for
// concurrent use.
type Journal struct {
	mu   sync.Mutex
	byID map[string]*Record
	ids  []string // ring buffer of request IDs
	next int      // position of the next ID in ids
}

// add adds a record. It replaces the record of an earlier request with the same
// ID.
func (j *Journal) add(r *Record) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.byID == nil {
		j.byID = map[string]*Record{}
		j.ids = make([]string, journalSize)
	}
	if old := j.ids[j.next]; old != "" {
		delete(j.byID, old)
	}
	j.ids[j.next] = r.ID
	j.next = (j.next + 1) % journalSize
	j.byID[r.ID] = r
}

// update calls change on the record with the journal locked.
func (j *Journal) update(r *Record, change func(*Record)) {
	j.mu.Lock()
	defer j.mu.Unlock()
	change(r)
}

// Get returns a copy of the record of a request, and false if there is none.
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
