package client

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/oklog/ulid/v2"
	"github.com/valyala/fasthttp"

	"parsleyroute.example/core"
	"parsleyroute.example/core/process/admin"
)

// rounds is how often each entry is tried.
const rounds = 3

// maxAnswer bounds an answer; a list of 8,700 teams has about 4 MB.
const maxAnswer = 256 << 20

// passing holds the reasons for which a call is repeated. Another entry may
// reach the store when this one cannot.
var passing = map[core.Reason]bool{
	core.ReasonRateLimited: true, core.ReasonNotReady: true, core.ReasonStoreUnavailable: true,
}

// Client calls the operators' API. Its fields are set before the first call.
type Client struct {
	// Entries are the entries' addresses, as "host:port" or as URLs.
	Entries []string
	// Key is the operator's key.
	Key string
	// Timeout bounds one attempt at one entry; zero means 10 s.
	Timeout time.Duration
	// Pause is the time between two rounds over the entries; zero means 200 ms.
	Pause time.Duration

	once sync.Once
	http fasthttp.Client
}

// Error is a failed call.
type Error struct {
	admin.FailureDetail
	// Status is the HTTP status; zero if no entry answered.
	Status int
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("%s (%s; took effect: %s)", e.Message, e.Reason, e.Run)
}

// Object returns one declaration from the store.
func (c *Client) Object(ctx context.Context, key core.Key) (admin.Object, error) {
	var o admin.Object
	return o, c.call(ctx, request{method: fasthttp.MethodGet, path: objectPath(key)}, &o)
}

// Objects returns all declarations of a kind, from the store or from the
// entry's snapshot.
func (c *Client) Objects(ctx context.Context, kind core.Kind, fromStore bool) (admin.List, error) {
	q := url.Values{}
	if fromStore {
		q.Set("source", "store")
	}
	var l admin.List
	return l, c.call(ctx, request{method: fasthttp.MethodGet, path: "/objects/" + string(kind), query: q}, &l)
}

// Apply writes a declaration if its object is at the version; 0 means that
// there must be none.
func (c *Client) Apply(ctx context.Context, key core.Key, value []byte, version uint64, dry bool) (admin.Written, error) {
	return c.write(ctx, request{
		method: fasthttp.MethodPut, path: objectPath(key), query: condition(version, dry), body: value,
	})
}

// Delete deletes an object if it is at the version.
func (c *Client) Delete(ctx context.Context, key core.Key, version uint64, dry bool) (admin.Written, error) {
	return c.write(ctx, request{method: fasthttp.MethodDelete, path: objectPath(key), query: condition(version, dry)})
}

// Out takes a zone or an upstream out, or removes the rule that does so.
func (c *Client) Out(ctx context.Context, key core.Key, out bool) (admin.Written, error) {
	method := fasthttp.MethodDelete
	if out {
		method = fasthttp.MethodPost
	}
	return c.write(ctx, request{method: method, path: "/out/" + string(key.Kind) + "/" + url.PathEscape(key.Name)})
}

// Select returns the names of the objects that a selector matches.
func (c *Client) Select(ctx context.Context, kind core.Kind, selector string) (admin.Selected, error) {
	var s admin.Selected
	return s, c.call(ctx, request{
		method: fasthttp.MethodGet, path: "/select/" + string(kind), query: url.Values{"selector": {selector}},
	}, &s)
}

// Status asks the listed instances.
func (c *Client) Status(ctx context.Context, q admin.StatusQuery) (admin.Status, error) {
	var s admin.Status
	body, err := json.Marshal(q)
	if err != nil {
		return s, trace.Wrap(err)
	}
	return s, c.call(ctx, request{method: fasthttp.MethodPost, path: "/status", body: body}, &s)
}

// Explain returns what an entry keeps of a request. Each entry keeps only its
// own requests, so all of them are asked.
func (c *Client) Explain(ctx context.Context, id string) (json.RawMessage, error) {
	var err error
	for i := range c.Entries {
		var v json.RawMessage
		one := &Client{Entries: c.Entries[i : i+1], Key: c.Key, Timeout: c.Timeout, Pause: c.Pause}
		e := one.call(ctx, request{method: fasthttp.MethodGet, path: "/explain/" + url.PathEscape(id)}, &v)
		if e == nil {
			return v, nil
		}
		// An entry that cannot be reached may be the one that keeps the
		// request, so its failure says more than another's "not found".
		var failure *Error
		if err == nil || errors.As(e, &failure) && failure.Reason != core.ReasonNotFound {
			err = e
		}
	}
	return nil, err
}

func objectPath(key core.Key) string {
	return "/objects/" + string(key.Kind) + "/" + url.PathEscape(key.Name)
}

func condition(version uint64, dry bool) url.Values {
	return url.Values{"version": {strconv.FormatUint(version, 10)}, "dry_run": {strconv.FormatBool(dry)}}
}

type request struct {
	method, path string
	query        url.Values
	body         []byte
	nonce        string
}

func (c *Client) write(ctx context.Context, r request) (admin.Written, error) {
	var w admin.Written
	r.nonce = ulid.Make().String()
	return w, c.call(ctx, r, &w)
}

// call tries the entries in turn until one answers. An entry that does not
// answer may have served the call; run is unknown from then on, unless a later
// answer settles it.
func (c *Client) call(ctx context.Context, r request, v any) error {
	if len(c.Entries) == 0 {
		return trace.BadParameter("no entry address: set entries in the settings or use --entry")
	}
	run := core.NotExecuted
	var last error
	for round := range rounds {
		if round > 0 && sleep(ctx, c.pause(last)) != nil {
			break
		}
		for _, entry := range c.Entries {
			if ctx.Err() != nil {
				break
			}
			err := c.attempt(ctx, entry, r, v)
			if err == nil {
				return nil
			}
			last = err
			var failure *Error
			if !errors.As(err, &failure) {
				return err
			}
			if r.nonce != "" && failure.Run == core.ExecutionUnknown {
				run = core.ExecutionUnknown
			}
			failure.Run = run
			if failure.Status != 0 && !passing[failure.Reason] {
				return err
			}
		}
	}
	if last == nil {
		return &Error{FailureDetail: admin.FailureDetail{
			Reason: core.ReasonCanceled, Message: "canceled before an entry was asked", Run: run,
		}}
	}
	return last
}

func (c *Client) pause(last error) time.Duration {
	pause := c.Pause
	if pause == 0 {
		pause = 200 * time.Millisecond
	}
	var failure *Error
	if errors.As(last, &failure) && failure.RetryAfterMs > 0 {
		pause = time.Duration(failure.RetryAfterMs) * time.Millisecond
	}
	return pause
}

func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}

// attempt makes one call to one entry. It returns at once when ctx ends; the
// connection is closed at the deadline.
func (c *Client) attempt(ctx context.Context, entry string, r request, v any) error {
	if !strings.Contains(entry, "://") {
		entry = "http://" + entry
	}
	uri := strings.TrimSuffix(entry, "/") + "/v1/admin" + r.path
	if len(r.query) > 0 {
		uri += "?" + r.query.Encode()
	}
	timeout := c.Timeout
	if timeout == 0 {
		timeout = 10 * time.Second
	}
	deadline := time.Now().Add(timeout)
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		deadline = d
	}
	c.once.Do(func() {
		c.http.MaxResponseBodySize = maxAnswer
		// The library's own repetitions would hide that an answer was lost.
		c.http.MaxIdemponentCallAttempts = 1
	})
	done := make(chan answer, 1)
	go func() { done <- c.exchange(uri, r, deadline) }()
	select {
	case <-ctx.Done():
		return &Error{FailureDetail: admin.FailureDetail{
			Reason: core.ReasonCanceled, Message: fmt.Sprintf("entry %s: %s", entry, ctx.Err()), Run: core.ExecutionUnknown,
		}}
	case a := <-done:
		return a.decode(entry, v)
	}
}

// answer is what came back from an entry.
type answer struct {
	status int
	body   []byte
	err    error
}

func (c *Client) exchange(uri string, r request, deadline time.Time) answer {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI(uri)
	req.Header.SetMethod(r.method)
	req.Header.Set("Authorization", "Bearer "+c.Key)
	if r.nonce != "" {
		req.Header.Set("X-Nonce", r.nonce)
	}
	req.SetBody(r.body)
	if err := c.http.DoDeadline(req, resp, deadline); err != nil {
		return answer{err: err}
	}
	return answer{status: resp.StatusCode(), body: append([]byte(nil), resp.Body()...)}
}

func (a answer) decode(entry string, v any) error {
	if a.err != nil {
		return &Error{FailureDetail: admin.FailureDetail{
			Reason: core.ReasonUpstreamLost, Message: fmt.Sprintf("entry %s: %s", entry, a.err), Run: runOf(a.err),
		}}
	}
	var f admin.Failure
	if a.status != fasthttp.StatusOK && json.Unmarshal(a.body, &f) == nil && f.Error.Reason != "" {
		return &Error{Status: a.status, FailureDetail: f.Error}
	}
	err := trace.BadParameter("status %d without a reason", a.status)
	if a.status == fasthttp.StatusOK {
		if err := json.Unmarshal(a.body, v); err == nil {
			return nil
		}
		err = trace.BadParameter("the answer is not the expected JSON")
	}
	return &Error{Status: a.status, FailureDetail: admin.FailureDetail{
		Reason: core.ReasonCorruptAnswer, Message: fmt.Sprintf("entry %s: %s", entry, trace.UserMessage(err)),
		Run: core.ExecutionUnknown,
	}}
}

// runOf tells whether a call without an answer was served: certainly not if no
// connection was made.
func runOf(err error) core.Execution {
	var op *net.OpError
	if errors.Is(err, fasthttp.ErrDialTimeout) || errors.As(err, &op) && op.Op == "dial" {
		return core.NotExecuted
	}
	return core.ExecutionUnknown
}
