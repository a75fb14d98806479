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
func (c *RunCounter) Record(key, requestID string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.keys == nil {
		c.keys, c.requests = map[string]int{}, map[string]int{}
	}
	c.requests[requestID]++
	if key == "" {
		return c.requests[requestID]
	}
	c.keys[key]++
	if c.keys[key] == 2 {
		c.repeated = append(c.repeated, key)
	}
	return c.keys[key]
}

// Runs returns the counts of the given key and request ID, or all counts if
// both are empty.
func (c *RunCounter) Runs(key, requestID string) Runs {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := Runs{Keys: map[string]int{}, Requests: map[string]int{}, Repeated: append([]string{}, c.repeated...)}
	if key != "" || requestID != "" {
		r.Keys[key], r.Requests[requestID] = c.keys[key], c.requests[requestID]
		return r
	}
	for k, n := range c.keys {
		r.Keys[k] = n
	}
	for k, n := range c.requests {
		r.Requests[k] = n
	}
	return r
}
