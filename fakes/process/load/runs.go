package load

import "sync"

// Runs holds the number of runs by idempotency key and by request ID.
type Runs struct {
	Keys     map[string]int `json:"keys"`
	Requests map[string]int `json:"requests"`
	// Repeated holds the keys that ran more than once.
	Repeated []string `json:"repeated"`
}

// RunCounter counts the runs of each idempotency key and each request ID. Its
// zero value is ready for use.
type RunCounter struct {
	mu       sync.Mutex
	keys     map[string]int
	requests map[string]int
	repeated []string
}

// Record counts a run and returns the number of runs of the key, or of the
// request ID if there is no key.
func (t *RunCounter) Record(key, requestID string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.keys == nil {
		t.keys, t.requests = map[string]int{}, map[string]int{}
	}
	t.requests[requestID]++
	if key == "" {
		return t.requests[requestID]
	}
	t.keys[key]++
	if t.keys[key] == 2 {
		t.repeated = append(t.repeated, key)
	}
	return t.keys[key]
}

// Runs returns the counts of the given key and request ID, or all counts if
// both are empty.
func (t *RunCounter) Runs(key, requestID string) Runs {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := Runs{Keys: map[string]int{}, Requests: map[string]int{}, Repeated: append([]string{}, t.repeated...)}
	if key != "" || requestID != "" {
		r.Keys[key], r.Requests[requestID] = t.keys[key], t.requests[requestID]
		return r
	}
	for k, n := range t.keys {
		r.Keys[k] = n
	}
	for k, n := range t.requests {
		r.Requests[k] = n
	}
	return r
}
