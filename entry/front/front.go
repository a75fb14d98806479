package front

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/json"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/oklog/ulid/v2"

	"parsleyroute.example/core"
	"parsleyroute.example/core/conn/probe"
	"parsleyroute.example/core/request/frame"
	"parsleyroute.example/entry/flow"
)

// Request headers that the entry reads.
const (
	headerIdempotencyKey = "Idempotency-Key"
	headerDeadline       = "X-Deadline-Ms"
	headerPriority       = "X-Priority"
	headerRequestID      = "X-Request-Id"
)

const (
	// servicesPath is the path prefix of all services.
	servicesPath = "/v1/services/"
	// maxKeyLength is the maximum length of an idempotency key in bytes.
	maxKeyLength = 256
	// maxRequestIDLength is the maximum length of a request ID in bytes.
	maxRequestIDLength = 128
	// maxDiscardedBody is the maximum number of bytes that are read and discarded
	// of a body over the limit.
	maxDiscardedBody = 32 << 20
	// maxPriority is the highest priority that a caller may request.
	maxPriority = 9
	// findTimeout limits the search for the record of a request.
	findTimeout = 2 * time.Second
	// maxDeadline is the maximum timeout that a caller may request.
	maxDeadline = 24 * time.Hour
)

// Handler serves authenticated requests.
type Handler interface {
	Serve(ctx context.Context, req *flow.Request) (*flow.Response, error)
}

// Finder finds the records of requests.
type Finder interface {
	Find(ctx context.Context, id string) (*flow.Record, error)
}

// Frontend serves the callers' HTTP interface. Exported fields must be set before
// use.
type Frontend struct {
	Handler Handler
	Finder  Finder
	Table   func() *core.Table
	Clock   core.Clock
	// Ready reports whether the entry accepts requests. It is false while the entry
	// is draining.
	Ready func() bool
	// BaseContext is the parent context of all requests. It ends after the
	// process has drained.
	BaseContext context.Context
}

// FiberConfig returns the fiber configuration for the callers' interface.
func FiberConfig() fiber.Config {
	return fiber.Config{
		AppName:   "parsleyroute entry",
		BodyLimit: frame.MaxBodyBytes,
		// The handler receives a body over the limit as a stream, so that it can
		// read the rest and respond instead of resetting the connection.
		StreamRequestBody: true,
		Immutable:         true,
		ErrorHandler:      handleFiberError,
		ReadBufferSize:    16 << 10,
		ReadTimeout:       time.Minute,
		IdleTimeout:       time.Minute,
	}
}

// Register registers the callers' routes.
func (f *Frontend) Register(r fiber.Router) {
	r.All(servicesPath+":service/*", f.serve)
	r.All(servicesPath+":service", f.serve)
	r.Get("/v1/requests/:id", f.requestStatus)
	r.Get("/healthz", func(c fiber.Ctx) error { return c.SendString("ok\n") })
	r.Get("/readyz", f.ready)
}

func (f *Frontend) ready(c fiber.Ctx) error {
	if !f.Ready() {
		// Not counted as a refusal, because load balancers poll this path.
		return c.Status(fiber.StatusServiceUnavailable).JSON(newErrorResponse("", core.NewRefusal(core.ReasonNotReady, "the entry does not accept requests")))
	}
	return c.SendString("ready\n")
}

// requestStatus returns the record of a request to the team that sent it.
func (f *Frontend) requestStatus(c fiber.Ctx) error {
	id := c.Params("id")
	team, err := f.authenticate(c)
	if err != nil {
		return refuse(c, id, err)
	}
	ctx, cancel := context.WithTimeout(f.BaseContext, findTimeout)
	defer cancel()
	rec, err := f.Finder.Find(ctx, id)
	if err != nil || rec.Team != team.Name {
		return refuse(c, id, core.NewRefusal(core.ReasonNotFound, "no entry has a record of the request"))
	}
	return c.JSON(rec)
}

func (f *Frontend) serve(c fiber.Ctx) error {
	id := requestID(c)
	c.Set(headerRequestID, id)
	req, err := f.parseRequest(c, id)
	if err != nil {
		return refuse(c, id, flow.RefusalBeforeLookup(c.Get(headerIdempotencyKey), err))
	}
	ctx, cancel := context.WithCancel(f.BaseContext)
	conn := c.RequestCtx().Conn()
	go probe.Watch(ctx, conn, cancel)
	resp, err := f.Handler.Serve(ctx, req)
	if err != nil {
		cancel()
		return refuse(c, id, err)
	}
	return sendResponse(c, id, resp, cancel)
}

// sendResponse sends the response and calls cancel when the body is complete.
func sendResponse(c fiber.Ctx, id string, resp *flow.Response, cancel context.CancelFunc) error {
	contentType := ""
	for _, h := range resp.Headers {
		if isForwardedResponseHeader(h.Name) {
			c.Response().Header.Add(h.Name, h.Value)
		}
		if strings.EqualFold(h.Name, fiber.HeaderContentType) {
			contentType = h.Value
		}
	}
	c.Status(resp.Status)
	if resp.Stream == nil {
		cancel()
		return c.Send(resp.Body)
	}
	s := &responseStream{src: resp.Stream, id: id, isEventStream: strings.HasPrefix(contentType, "text/event-stream"), cancel: cancel}
	return c.SendStream(s)
}

func (f *Frontend) parseRequest(c fiber.Ctx, id string) (*flow.Request, error) {
	table := f.Table()
	if table == nil {
		return nil, core.NewRefusal(core.ReasonNotReady, "the entry has no configuration yet")
	}
	team, err := f.authenticate(c)
	if err != nil {
		return nil, err
	}
	service := table.Services[c.Params("service")]
	if service == nil {
		return nil, core.NewRefusal(core.ReasonNotFound, "the service does not exist")
	}
	req := &flow.Request{
		ID: id, Team: team, Service: service, Method: c.Method(),
		Path:           servicePath(c.OriginalURL(), service.Name),
		Headers:        forwardedRequestHeaders(c),
		IdempotencyKey: c.Get(headerIdempotencyKey),
		Priority:       team.Priority,
	}
	if len(req.IdempotencyKey) > maxKeyLength {
		return nil, core.NewRefusal(core.ReasonBadRequest, "the idempotency key is longer than 256 bytes")
	}
	if err := f.parseLimits(c, req); err != nil {
		return nil, err
	}
	if req.Body, err = readBody(c); err != nil {
		return nil, err
	}
	req.Repeatable = repeatable(service, req.Method, req.Path)
	return req, nil
}

// readBody reads a body up to the limit. Up to maxDiscardedBody more bytes are read
// and discarded, because a caller that is still sending would not read the
// response.
func readBody(c fiber.Ctx) ([]byte, error) {
	stream := c.Request().BodyStream()
	if stream == nil {
		return c.Body(), nil
	}
	body, err := io.ReadAll(io.LimitReader(stream, frame.MaxBodyBytes+1))
	if err != nil {
		return nil, core.NewRefusal(core.ReasonBadRequest, "the body could not be read: "+err.Error())
	}
	if len(body) > frame.MaxBodyBytes {
		_, _ = io.CopyN(io.Discard, stream, maxDiscardedBody)
		c.RequestCtx().SetConnectionClose()
		return nil, core.NewRefusal(core.ReasonTooLarge, "the body exceeds 8 MB")
	}
	return body, nil
}

// parseLimits sets the deadline and the priority of the request. A caller may lower
// the priority of its team but not raise it.
func (f *Frontend) parseLimits(c fiber.Ctx, req *flow.Request) error {
	timeout := req.Service.Timeout
	if text := c.Get(headerDeadline); text != "" {
		ms, err := strconv.ParseInt(text, 10, 64)
		if err != nil || ms <= 0 || time.Duration(ms) > maxDeadline/time.Millisecond {
			return core.NewRefusal(core.ReasonBadRequest, "X-Deadline-Ms must be a positive number of milliseconds up to 24 h")
		}
		timeout = time.Duration(ms) * time.Millisecond
	}
	if timeout > 0 {
		req.Deadline = f.Clock.Now().Add(timeout)
	}
	if text := c.Get(headerPriority); text != "" {
		p, err := strconv.Atoi(text)
		if err != nil || p < 0 || p > maxPriority {
			return core.NewRefusal(core.ReasonBadRequest, "X-Priority must be a number from 0 to 9")
		}
		req.Priority = min(p, req.Team.Priority)
	}
	return nil
}

// authenticate returns the team whose credential the request has.
func (f *Frontend) authenticate(c fiber.Ctx) (*core.TeamState, error) {
	credential, ok := strings.CutPrefix(c.Get(fiber.HeaderAuthorization), "Bearer ")
	table := f.Table()
	if table == nil {
		return nil, core.NewRefusal(core.ReasonNotReady, "the entry has no configuration yet")
	}
	if team := table.Keys[sha256.Sum256([]byte(credential))]; ok && team != nil {
		return team, nil
	}
	return nil, core.NewRefusal(core.ReasonUnauthenticated, "the team credential is missing or wrong")
}

// requestID returns the caller's request ID if it is valid, or a new one.
func requestID(c fiber.Ctx) string {
	if id := c.Get(headerRequestID); id != "" && len(id) <= maxRequestIDLength && printable(id) {
		return id
	}
	return ulid.MustNew(ulid.Now(), rand.Reader).String()
}

// printable reports whether s has only printable ASCII characters other than the
// space.
func printable(s string) bool {
	for i := range len(s) {
		if s[i] <= ' ' || s[i] > '~' {
			return false
		}
	}
	return true
}

func servicePath(url, service string) string {
	path := strings.TrimPrefix(url, servicesPath+service)
	if !strings.HasPrefix(path, "/") {
		return "/" + path
	}
	return path
}

// repeatable reports whether the request may run more than once. The matching route
// with the longest prefix decides. Without one, all methods but POST and PATCH are
// repeatable.
func repeatable(s *core.ServiceState, method, path string) bool {
	path, _, _ = strings.Cut(path, "?")
	longest := -1
	result := method != fiber.MethodPost && method != fiber.MethodPatch
	for _, r := range s.Routes {
		if (r.Method == "" || r.Method == method) && strings.HasPrefix(path, r.Prefix) && len(r.Prefix) > longest {
			longest = len(r.Prefix)
			result = r.Repeatable
		}
	}
	return result
}

// marshal encodes an error response. Encoding its types cannot fail.
func marshal(body errorResponse) []byte {
	p, _ := json.Marshal(body)
	return p
}
