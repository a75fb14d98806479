package relay

import (
	"context"
	"errors"
	"io"
	"slices"
	"time"

	"github.com/gravitational/trace"
	"github.com/valyala/fasthttp"

	"parsleyroute.example/core"
	"parsleyroute.example/core/process/meter"
	"parsleyroute.example/gate/process/fleet"
)

const (
	// maxBufferedBody is the number of body bytes that are buffered before a
	// response is forwarded. A request can be retried if its response is
	// interrupted before that.
	maxBufferedBody = 1 << 20
	// minBodyBuffer is the size in bytes of the buffer for the body of a response, which
	// doubles up to maxBufferedBody. Plain responses of the sites have 800 bytes.
	minBodyBuffer = 2 << 10
	// maxStaleResponses is the maximum number of responses to earlier requests
	// that are skipped on one connection.
	maxStaleResponses = 4
	// maxStaleBody is the number of body bytes of such a response that are read to
	// reach the next one.
	maxStaleBody = 256 << 10
	// copyBufferSize is the size in bytes of the buffer that copies the rest of a
	// larger body.
	copyBufferSize = 16 << 10
)

// response is a complete response of an upstream.
type response struct {
	status int
	// header holds the encoded header fields for the caller.
	header []byte
	body   []byte
}

// receive reads the response to the request that was sent on the connection. It
// forwards the response, or returns a status after which the request may be
// retried.
func (t *transaction) receive(ctx context.Context, c *call, w *watchdog) attemptResult {
	var err error
	if c.info, err = t.readHeader(c); err != nil {
		return attemptResult{status: attemptLost, outcome: lostOutcome(ctx), err: err}
	}
	h, info := &c.header, c.info
	t.observeHeader(c.upstream, h, info)
	if t.inbound.HeaderWritten() && !info.NotExecuted && !t.continuesStream(h, info) {
		return attemptResult{status: attemptFailed, outcome: fleet.Failed, err: trace.BadParameter("the response does not continue the stream: status %d", h.StatusCode())}
	}
	body := c.conn.Body(h, t.method)
	if t.route.Kind == core.RouteStream && h.StatusCode() == fasthttp.StatusOK && t.authentic(h, info) {
		start := time.Now()
		res := t.forwardEvents(ctx, h, t.newEventReader(body), w)
		res.responding = time.Since(start)
		return res
	}
	w.recordHeader()
	data, more, err := t.readBody(body)
	if err != nil {
		return attemptResult{status: attemptLost, outcome: lostOutcome(ctx), err: err}
	}
	// A response that is not forwarded leaves the standby as it is.
	if t.endsRequest(h, info) && !w.claim() {
		return attemptResult{status: attemptLost, outcome: fleet.Inconclusive, err: errReplaced}
	}
	if more {
		return t.forwardLarge(h, info, data, body)
	}
	res := t.handleResponse(c.upstream, h, info, data)
	// A request that was refused because of another upstream may be sent to this one
	// again. It must not find a second copy of the refusal on the connection.
	res.complete = !info.NotExecuted || info.FailedUpstream == ""
	return res
}

// errReplaced is the error of an attempt whose place a standby has taken.
var errReplaced = trace.CompareFailed("another attempt has taken the place of this one")

// endsRequest reports whether handleResponse forwards the response.
func (t *transaction) endsRequest(h *fasthttp.ResponseHeader, info core.ResponseInfo) bool {
	status := h.StatusCode()
	switch {
	case info.NotExecuted, impliesNotRun(status), status/100 == 2 && !t.authentic(h, info):
		return false
	}
	return status < fasthttp.StatusInternalServerError || !t.repeatable()
}

// authentic reports whether the response is signed by the upstream, echoes this
// request's id and has no content encoding. The id is called AttemptID, but all
// attempts of a request have the same.
func (t *transaction) authentic(h *fasthttp.ResponseHeader, info core.ResponseInfo) bool {
	return info.Signed && info.AttemptID == t.info.AttemptID && len(h.ContentEncoding()) == 0
}

// continuesStream reports whether the response can follow the events that the caller
// has received from another upstream.
func (t *transaction) continuesStream(h *fasthttp.ResponseHeader, info core.ResponseInfo) bool {
	return h.StatusCode() == fasthttp.StatusOK && t.authentic(h, info) && string(h.ContentType()) == t.stream.contentType
}

// readHeader reads the header of the response that echoes the request's id. It skips
// late responses to earlier requests on the connection. A response without an id is
// accepted only on a new connection, since it may otherwise be a second response to
// an earlier request.
func (t *transaction) readHeader(c *call) (core.ResponseInfo, error) {
	h := &c.header
	for range maxStaleResponses {
		if err := c.conn.ReadHeader(h); err != nil {
			return core.ResponseInfo{}, err
		}
		info := t.relay.Protocol.ResponseInfo(h)
		if info.AttemptID == t.info.AttemptID || info.AttemptID == "" && c.isNew {
			return info, nil
		}
		if info.AttemptID == "" {
			meter.Event("stale_answers")
			return core.ResponseInfo{}, trace.BadParameter("the response on a reused connection has no id: status %d", h.StatusCode())
		}
		meter.Event("stale_answers")
		t.observeNotice(c.upstream, h, info)
		// "answers" is the id of the request that the response answers.
		t.log("stale_answer", "answers", info.AttemptID)
		n, err := io.Copy(io.Discard, io.LimitReader(c.conn.Body(h, t.method), maxStaleBody))
		switch {
		case err != nil:
			return core.ResponseInfo{}, err
		case n == maxStaleBody:
			return core.ResponseInfo{}, trace.LimitExceeded("the body of a response to another request exceeds %d bytes", maxStaleBody)
		}
	}
	return core.ResponseInfo{}, trace.BadParameter("the connection returned only responses to other requests")
}

// reserve reserves memory for n bytes of a response until the end of the request, and
// reports whether there is room.
func (t *transaction) reserve(n int) bool {
	if !t.relay.Responses.Take(n) {
		meter.Event("responses_unbuffered")
		return false
	}
	t.buffered.Add(int64(n))
	return true
}

// readBody reads up to maxBufferedBody bytes, or fewer if there is no memory for them.
// more is set if it stopped at that limit.
func (t *transaction) readBody(body io.Reader) (data []byte, more bool, err error) {
	for len(data) < maxBufferedBody {
		if len(data) == cap(data) {
			size := max(minBodyBuffer, 2*cap(data))
			if !t.reserve(size - cap(data)) {
				return data, true, nil
			}
			data = append(make([]byte, 0, size), data...)
		}
		n, err := body.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		switch {
		case errors.Is(err, io.EOF):
			return data, false, nil
		case err != nil:
			return data, false, err
		}
	}
	return data, true, nil
}

// handleResponse handles a complete response: it forwards it, keeps it in
// errorResponse or discards it.
func (t *transaction) handleResponse(u *fleet.Upstream, h *fasthttp.ResponseHeader, info core.ResponseInfo, data []byte) attemptResult {
	status := h.StatusCode()
	resp := &response{status: status, header: t.responseHeader(h), body: data}
	switch {
	case info.NotExecuted:
		t.observeRefusal(u, status, info)
		if status != fasthttp.StatusMisdirectedRequest && info.FailedUpstream != "" && info.FailedUpstream != u.Conns.Addr.String() {
			// The upstream itself is healthy and may be tried again.
			t.tried = slices.DeleteFunc(t.tried, func(tried *fleet.Upstream) bool { return tried == u })
		}
		return attemptResult{status: attemptNotRun, outcome: fleet.Inconclusive, err: trace.LimitExceeded("the upstream did not run the request: status %d", status)}
	case status/100 == 2 && !t.authentic(h, info):
		return attemptResult{status: attemptLost, outcome: fleet.Failed, err: trace.BadParameter("the response is not authentic: status %d, signed %t, id %q", status, info.Signed, info.AttemptID)}
	case impliesNotRun(status):
		// The caller would conclude from the status that the request has not
		// run, but the upstream does not state that.
		return attemptResult{status: attemptLost, outcome: fleet.Failed, err: trace.BadParameter("the upstream returned status %d and may have run the request", status)}
	case status >= fasthttp.StatusInternalServerError && t.repeatable():
		t.errorResponse = resp
		return attemptResult{status: attemptFailed, outcome: fleet.Failed, err: trace.Errorf("the upstream returned status %d", status)}
	case status >= fasthttp.StatusInternalServerError:
		t.forwardResponse(resp)
		return attemptResult{outcome: fleet.Failed}
	}
	if status/100 == 2 && h.ContentLength() != unframedLength {
		t.recordSuccess(time.Now())
	}
	t.forwardResponse(resp)
	return attemptResult{outcome: fleet.Succeeded, unframed: h.ContentLength() == unframedLength}
}

// observeRefusal records what a response that states that the request was not run says of
// the upstream and its group.
func (t *transaction) observeRefusal(u *fleet.Upstream, status int, info core.ResponseInfo) {
	switch {
	case status == fasthttp.StatusMisdirectedRequest:
		u.MarkReplaced()
		t.relay.ConfirmCrash(u)
	case info.FailedUpstream != "":
		t.log("group_stalled", "upstream", u.ID, "culprit", info.FailedUpstream)
		t.relay.Picker.Fleet.MarkGroupDown(time.Now(), u, info.FailedUpstream)
	}
}

// impliesNotRun reports whether callers conclude from a status that the request
// has not run.
func impliesNotRun(status int) bool {
	switch status {
	case fasthttp.StatusRequestTimeout, fasthttp.StatusMisdirectedRequest, fasthttp.StatusTooManyRequests, fasthttp.StatusServiceUnavailable:
		return true
	}
	return false
}

// responseHeader encodes the header fields that are returned to the caller.
func (t *transaction) responseHeader(h *fasthttp.ResponseHeader) []byte {
	var b []byte
	for k, v := range h.All() {
		if t.relay.Protocol.ForwardsResponseField(k) {
			b = core.AppendField(b, k, v)
		}
	}
	return b
}

// forwardResponse writes an upstream's response to the caller.
func (t *transaction) forwardResponse(resp *response) {
	meter.Event("answers")
	t.log("answered", "status", resp.status, "bytes", len(resp.body), "sends", t.sends, "waited", t.queueWait)
	if err := t.inbound.Respond(resp.status, resp.header, resp.body); err != nil {
		t.log("caller_lost", "error", err)
	}
}

// forwardLarge forwards a response that exceeds maxBufferedBody. data is the part
// of its body that was already read.
func (t *transaction) forwardLarge(h *fasthttp.ResponseHeader, info core.ResponseInfo, data []byte, body io.Reader) attemptResult {
	if h.StatusCode()/100 == 2 && !t.authentic(h, info) || impliesNotRun(h.StatusCode()) {
		return attemptResult{status: attemptLost, outcome: fleet.Failed, err: trace.BadParameter("the response is not authentic, or its status implies that the request has not run")}
	}
	t.recordSuccess(time.Now())
	t.inbound.Body.Spare()
	err := errors.Join(t.inbound.WriteHeader(h.StatusCode(), t.responseHeader(h)), t.inbound.Write(data))
	buf := make([]byte, copyBufferSize)
	for err == nil {
		var n int
		n, err = body.Read(buf)
		if werr := t.inbound.Write(buf[:n]); werr != nil {
			t.abortCallerDisconnected()
			return attemptResult{outcome: fleet.Inconclusive, err: werr}
		}
	}
	if !errors.Is(err, io.EOF) {
		t.abort(core.ReasonUpstreamLost)
		return attemptResult{outcome: fleet.ConnectionLost, err: err}
	}
	if err := t.inbound.End(); err != nil {
		t.log("caller_lost", "error", err)
	}
	return attemptResult{outcome: fleet.Succeeded, complete: true}
}
