package core

import "time"

// Candidate is an upstream that may take a request, as the entry knows it.
type Candidate struct {
	Name  string
	Zone  string
	Limit int
	// OwnInflight is the entry's own number of requests in flight there.
	OwnInflight int
	// Load is the last report; its zero value means that none came yet.
	Load Load
	// Affinity is the share of the prompt's prefix that the engine's cache
	// is believed to hold, in [0, 1].
	Affinity float64
}

// Picker chooses among candidates.
type Picker interface {
	// Pick returns the index of the chosen candidate, or -1 if none has
	// credit left.
	Pick(now time.Time, candidates []Candidate) int
}
