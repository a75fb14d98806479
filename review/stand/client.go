package stand

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"
)

// Answer is how a request of a client ended.
type Answer struct {
	Status int
	Signed bool
	Body   string
	Err    error
	// RetryAfter is the time after which the client is asked to come back.
	RetryAfter time.Duration
	// SentAt is when the request was sent, and Took how long it took.
	SentAt time.Time
	Took   time.Duration
}

// Client sends requests on kept connections.
type Client struct {
	Host, Key string
	transport http.Transport
}

// NewClient returns a client.
func NewClient(host, key string) *Client {
	return &Client{Host: host, Key: key, transport: http.Transport{MaxIdleConnsPerHost: 100, IdleConnTimeout: 5 * time.Second, DisableCompression: true}}
}

// Send sends one request to a gate and waits for the whole answer. fields alternates
// between the names and values of further header fields.
func (c *Client) Send(gate, method, path, attempt string, deadline time.Duration, body io.Reader, fields ...string) Answer {
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	a := Answer{SentAt: time.Now()}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+gate+path, body)
	if err != nil {
		a.Err = err
		return a
	}
	r.Host = c.Host
	r.Header.Set(HeaderAttempt, attempt)
	r.Header.Set(HeaderDeadline, strconv.FormatInt(deadline.Milliseconds(), 10))
	r.Header.Set("Authorization", "Bearer "+c.Key)
	for i := 0; i+1 < len(fields); i += 2 {
		r.Header.Set(fields[i], fields[i+1])
	}
	res, err := c.transport.RoundTrip(r)
	if err != nil {
		a.Err, a.Took = err, time.Since(a.SentAt)
		return a
	}
	defer func() { _ = res.Body.Close() }()
	if seconds, err := strconv.ParseFloat(res.Header.Get("Retry-After"), 64); err == nil {
		a.RetryAfter = time.Duration(seconds * float64(time.Second))
	}
	data, err := io.ReadAll(res.Body)
	a.Status, a.Signed, a.Body, a.Err, a.Took = res.StatusCode, res.Header.Get(HeaderSigned) != "", string(data), err, time.Since(a.SentAt)
	return a
}
