package core

import "time"

// Candidate is what an entry knows about an upstream that can serve a request.
type Candidate struct {
	Name  string
	Zone  string
	Limit int
	// OwnInflight is the number of this entry's requests in flight at the
	// upstream.
	OwnInflight int
	// Load is the last report; its zero value means that there is none yet.
	Load Load
	// Affinity is the estimated fraction of the prompt's prefix that is in the
	// engine's cache, in [0, 1].
	Affinity float64
}

// Picker chooses an upstream for a request.
type Picker interface {
	// Pick returns the index of the chosen candidate, or -1 if none has
	// credit left.
	Pick(now time.Time, candidates []Candidate) int
}
