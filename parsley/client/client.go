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
	"parsleyroute.example/core/conn/strict"
	"parsleyroute.example/core/process/admin"
)

// maxRounds is the number of times that each entry is tried.
const maxRounds = 3

// maxResponseSize limits a response body, in bytes. A list of 8,700 teams takes
// about 4 MB.
const maxResponseSize = 256 << 20

// retryableReasons holds the reasons for which a refused call is retried.
// Another entry may reach the store when this one cannot.
var retryableReasons = map[core.Reason]bool{
	core.ReasonRateLimited: true, core.ReasonNotReady: true, core.ReasonStoreUnavailable: true,
}

// Client calls the operators' API. Its fields must be set before the first call.
type Client struct {
	// Entries are the entries' addresses, as "host:port" or as URLs.
	Entries []string
	// Key is the operator's key.
	Key string
	// Timeout limits one attempt at one entry; zero means 10 s.
	Timeout time.Duration
	// RetryDelay is the time between two rounds over all entries; zero means
	// 200 ms.
	RetryDelay time.Duration

	initOnce   sync.Once
	httpClient fasthttp.Client
}

// Error is a failed call.
type Error struct {
	admin.ErrorDetail
	// Status is the HTTP status; zero if no response was received.
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

// Objects returns all declarations of a kind, read from the store or from the
// entry's local snapshot.
func (c *Client) Objects(ctx context.Context, kind core.Kind, fromStore bool) (admin.ObjectList, error) {
	q := url.Values{}
	if fromStore {
		q.Set("source", "store")
	}
	var l admin.ObjectList
	return l, c.call(ctx, request{method: fasthttp.MethodGet, path: "/objects/" + string(kind), query: q}, &l)
}

// Apply writes a declaration if its object has the given version. Version 0
// requires that the object does not exist.
func (c *Client) Apply(ctx context.Context, key core.Key, value []byte, version uint64, dryRun bool) (admin.WriteResult, error) {
	return c.write(ctx, request{
		method: fasthttp.MethodPut, path: objectPath(key), query: writeQuery(version, dryRun), body: value,
	})
}

// Delete deletes an object if it has the given version.
func (c *Client) Delete(ctx context.Context, key core.Key, version uint64, dryRun bool) (admin.WriteResult, error) {
	return c.write(ctx, request{method: fasthttp.MethodDelete, path: objectPath(key), query: writeQuery(version, dryRun)})
}

// SetOut creates the rule that takes a zone or an upstream out of service, or
// deletes that rule.
func (c *Client) SetOut(ctx context.Context, key core.Key, out bool) (admin.WriteResult, error) {
	method := fasthttp.MethodDelete
	if out {
		method = fasthttp.MethodPost
	}
	return c.write(ctx, request{method: method, path: "/out/" + string(key.Kind) + "/" + url.PathEscape(key.Name)})
}

// Select returns the names of the objects that a selector matches.
func (c *Client) Select(ctx context.Context, kind core.Kind, selector string) (admin.Selection, error) {
	var s admin.Selection
	return s, c.call(ctx, request{
		method: fasthttp.MethodGet, path: "/select/" + string(kind), query: url.Values{"selector": {selector}},
	}, &s)
}

// Status returns the status of the instances that q lists, or of all instances
// if it lists none.
func (c *Client) Status(ctx context.Context, q admin.StatusQuery) (admin.Status, error) {
	var s admin.Status
	body, err := json.Marshal(q)
	if err != nil {
		return s, trace.Wrap(err)
	}
	return s, c.call(ctx, request{method: fasthttp.MethodPost, path: "/status", body: body}, &s)
}

// Explain returns the record of a request. Each entry records only the requests
// that it received, so the entries are asked one after another.
func (c *Client) Explain(ctx context.Context, id string) (json.RawMessage, error) {
	var err error
	for i := range c.Entries {
		var v json.RawMessage
		single := &Client{Entries: c.Entries[i : i+1], Key: c.Key, Timeout: c.Timeout, RetryDelay: c.RetryDelay}
		entryErr := single.call(ctx, request{method: fasthttp.MethodGet, path: "/explain/" + url.PathEscape(id)}, &v)
		if entryErr == nil {
			return v, nil
		}
		// An unreachable entry may hold the record, so its error takes
		// precedence over "not found" from the other entries.
		var callErr *Error
		if err == nil || errors.As(entryErr, &callErr) && callErr.Reason != core.ReasonNotFound {
			err = entryErr
		}
	}
	return nil, err
}

func objectPath(key core.Key) string {
	return "/objects/" + string(key.Kind) + "/" + url.PathEscape(key.Name)
}

func writeQuery(version uint64, dryRun bool) url.Values {
	return url.Values{"version": {strconv.FormatUint(version, 10)}, "dry_run": {strconv.FormatBool(dryRun)}}
}

type request struct {
	method, path string
	query        url.Values
	body         []byte
	nonce        string
}

func (c *Client) write(ctx context.Context, r request) (admin.WriteResult, error) {
	var w admin.WriteResult
	r.nonce = ulid.Make().String()
	return w, c.call(ctx, r, &w)
}

// call tries the entries in turn until one of them returns a result or an error
// that is not retryable. Once it is unknown whether an attempt of a write was
// executed, e.g. because no response arrived, all later errors carry
// ExecutionUnknown; only a later success resolves it.
func (c *Client) call(ctx context.Context, r request, v any) error {
	if len(c.Entries) == 0 {
		return trace.BadParameter("no entry address: set entries in the settings or use --entry")
	}
	execution := core.NotExecuted
	var lastErr error
	for round := range maxRounds {
		if round > 0 && sleep(ctx, c.retryDelay(lastErr)) != nil {
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
			lastErr = err
			var callErr *Error
			if !errors.As(err, &callErr) {
				return err
			}
			if r.nonce != "" && callErr.Run == core.ExecutionUnknown {
				execution = core.ExecutionUnknown
			}
			callErr.Run = execution
			if callErr.Status != 0 && !retryableReasons[callErr.Reason] {
				return err
			}
		}
	}
	if lastErr == nil {
		return &Error{ErrorDetail: admin.ErrorDetail{
			Reason: core.ReasonCanceled, Message: "canceled before the first request to an entry", Run: execution,
		}}
	}
	return lastErr
}

func (c *Client) retryDelay(lastErr error) time.Duration {
	delay := c.RetryDelay
	if delay == 0 {
		delay = 200 * time.Millisecond
	}
	var callErr *Error
	if errors.As(lastErr, &callErr) && callErr.RetryAfterMs > 0 {
		delay = time.Duration(callErr.RetryAfterMs) * time.Millisecond
	}
	return delay
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

// attempt sends the call to one entry. It returns as soon as ctx is done; the
// connection stays open until the deadline at most.
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
	c.initOnce.Do(func() {
		c.httpClient.MaxResponseBodySize = maxResponseSize
		c.httpClient.Dial = func(addr string) (net.Conn, error) {
			conn, err := fasthttp.Dial(addr)
			if err != nil {
				return nil, err
			}
			return strict.NewConn(conn), nil
		}
		// Retries by the library would hide that a response was lost.
		c.httpClient.MaxIdemponentCallAttempts = 1
	})
	done := make(chan response, 1)
	go func() { done <- c.roundTrip(uri, r, deadline) }()
	select {
	case <-ctx.Done():
		return &Error{ErrorDetail: admin.ErrorDetail{
			Reason: core.ReasonCanceled, Message: fmt.Sprintf("entry %s: %s", entry, ctx.Err()), Run: core.ExecutionUnknown,
		}}
	case resp := <-done:
		return resp.decode(entry, v)
	}
}

// response is the HTTP response of an entry, or the error of the request.
type response struct {
	status int
	body   []byte
	err    error
}

func (c *Client) roundTrip(uri string, r request, deadline time.Time) response {
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
	if err := c.httpClient.DoDeadline(req, resp, deadline); err != nil {
		return response{err: err}
	}
	return response{status: resp.StatusCode(), body: append([]byte(nil), resp.Body()...)}
}

func (r response) decode(entry string, v any) error {
	if r.err != nil {
		return &Error{ErrorDetail: admin.ErrorDetail{
			Reason: core.ReasonUpstreamLost, Message: fmt.Sprintf("entry %s: %s", entry, r.err), Run: executionOf(r.err),
		}}
	}
	var errorBody admin.ErrorResponse
	if r.status != fasthttp.StatusOK && json.Unmarshal(r.body, &errorBody) == nil && errorBody.Error.Reason != "" {
		return &Error{Status: r.status, ErrorDetail: errorBody.Error}
	}
	err := trace.BadParameter("HTTP status %d without an error reason", r.status)
	if r.status == fasthttp.StatusOK {
		if err := json.Unmarshal(r.body, v); err == nil {
			return nil
		}
		err = trace.BadParameter("the response body is not the expected JSON")
	}
	return &Error{Status: r.status, ErrorDetail: admin.ErrorDetail{
		Reason: core.ReasonCorruptAnswer, Message: fmt.Sprintf("entry %s: %s", entry, trace.UserMessage(err)),
		Run: core.ExecutionUnknown,
	}}
}

// executionOf returns whether a call without a response was executed. It was
// certainly not executed if no connection was established.
func executionOf(err error) core.Execution {
	var opErr *net.OpError
	if errors.Is(err, fasthttp.ErrDialTimeout) || errors.As(err, &opErr) && opErr.Op == "dial" {
		return core.NotExecuted
	}
	return core.ExecutionUnknown
}
