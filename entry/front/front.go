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

// The callers' headers.
const (
	headerKey      = "Idempotency-Key"
	headerDeadline = "X-Deadline-Ms"
	headerPriority = "X-Priority"
	headerRequest  = "X-Request-Id"
)

const (
	// prefix is the path below which services are called.
	prefix = "/v1/services/"
	// maxKey and maxID bound the idempotency key and the request id in bytes.
	maxKey = 256
	maxID  = 128
	// maxDiscard bounds what is read of a body that is over the limit.
	maxDiscard = 32 << 20
	// maxPriority is the highest priority.
	maxPriority = 9
	// statusTimeout bounds the search for a request's record.
	statusTimeout = 2 * time.Second
	// maxDeadline bounds the deadline that a caller may ask for.
	maxDeadline = 24 * time.Hour
)

// Handler runs requests.
type Handler interface {
	Serve(ctx context.Context, req *flow.Request) (*flow.Answer, error)
}

// Finder finds the records of requests.
type Finder interface {
	Find(ctx context.Context, id string) (*flow.Record, error)
}

// Front serves callers. Exported fields are set before use.
type Front struct {
	Handler Handler
	Finder  Finder
	Table   func() *core.Table
	Clock   core.Clock
	// Ready reports whether the entry can serve; a drained entry is not ready.
	Ready func() bool
	// Base ends when the process is about to end.
	Base context.Context
}

// Settings returns the fiber settings that the front needs.
func Settings() fiber.Config {
	return fiber.Config{
		AppName:   "parsleyroute entry",
		BodyLimit: frame.MaxBodyBytes,
		// A body over the limit reaches the handler as a stream, which lets it
		// read the rest and answer instead of resetting the connection.
		StreamRequestBody: true,
		Immutable:         true,
		ErrorHandler:      protocolError,
		ReadBufferSize:    16 << 10,
		ReadTimeout:       time.Minute,
		IdleTimeout:       time.Minute,
	}
}

// Register adds the callers' routes.
func (f *Front) Register(r fiber.Router) {
	r.All(prefix+":service/*", f.serve)
	r.All(prefix+":service", f.serve)
	r.Get("/v1/requests/:id", f.status)
	r.Get("/healthz", func(c fiber.Ctx) error { return c.SendString("ok\n") })
	r.Get("/readyz", f.ready)
}

func (f *Front) ready(c fiber.Ctx) error {
	if !f.Ready() {
		// Not counted: the balancer asks all the time.
		return c.Status(fiber.StatusServiceUnavailable).JSON(detail("", core.NewRefusal(core.ReasonNotReady, "the entry takes no requests")))
	}
	return c.SendString("ready\n")
}

// status describes a request to the team that sent it.
func (f *Front) status(c fiber.Ctx) error {
	id := c.Params("id")
	team, err := f.team(c)
	if err != nil {
		return refuse(c, id, err)
	}
	ctx, cancel := context.WithTimeout(f.Base, statusTimeout)
	defer cancel()
	rec, err := f.Finder.Find(ctx, id)
	if err != nil || rec.Team != team.Name {
		return refuse(c, id, core.NewRefusal(core.ReasonNotFound, "no entry remembers the request"))
	}
	return c.JSON(rec)
}

func (f *Front) serve(c fiber.Ctx) error {
	id := requestID(c)
	c.Set(headerRequest, id)
	req, err := f.parse(c, id)
	if err != nil {
		return refuse(c, id, flow.Unproven(c.Get(headerKey), err))
	}
	ctx, cancel := context.WithCancel(f.Base)
	conn := c.RequestCtx().Conn()
	go probe.Watch(ctx, conn, cancel)
	answer, err := f.Handler.Serve(ctx, req)
	if err != nil {
		cancel()
		return refuse(c, id, err)
	}
	return send(c, id, answer, cancel)
}

// send writes the answer. cancel ends the work once the body is done.
func send(c fiber.Ctx, id string, a *flow.Answer, cancel context.CancelFunc) error {
	contentType := ""
	for _, h := range a.Headers {
		if responseHeader(h.Name) {
			c.Response().Header.Add(h.Name, h.Value)
		}
		if strings.EqualFold(h.Name, fiber.HeaderContentType) {
			contentType = h.Value
		}
	}
	c.Status(a.Status)
	if a.Stream == nil {
		cancel()
		return c.Send(a.Body)
	}
	s := &stream{src: a.Stream, id: id, events: strings.HasPrefix(contentType, "text/event-stream"), cancel: cancel}
	return c.SendStream(s)
}

func (f *Front) parse(c fiber.Ctx, id string) (*flow.Request, error) {
	table := f.Table()
	if table == nil {
		return nil, core.NewRefusal(core.ReasonNotReady, "the entry has no configuration yet")
	}
	team, err := f.team(c)
	if err != nil {
		return nil, err
	}
	service := table.Services[c.Params("service")]
	if service == nil {
		return nil, core.NewRefusal(core.ReasonNotFound, "there is no such service")
	}
	req := &flow.Request{
		ID: id, Team: team, Service: service, Method: c.Method(),
		Path:     servicePath(c.OriginalURL(), service.Name),
		Headers:  requestHeaders(c),
		Key:      c.Get(headerKey),
		Priority: team.Priority,
	}
	if len(req.Key) > maxKey {
		return nil, core.NewRefusal(core.ReasonBadRequest, "the idempotency key is longer than 256 bytes")
	}
	if err := f.limits(c, req); err != nil {
		return nil, err
	}
	if req.Body, err = readBody(c); err != nil {
		return nil, err
	}
	req.Repeatable = repeatable(service, req.Method, req.Path)
	return req, nil
}

// readBody reads the body up to its limit. A longer one is read on for a while,
// because a caller that is still sending would not see the answer.
func readBody(c fiber.Ctx) ([]byte, error) {
	src := c.Request().BodyStream()
	if src == nil {
		return c.Body(), nil
	}
	body, err := io.ReadAll(io.LimitReader(src, frame.MaxBodyBytes+1))
	if err != nil {
		return nil, core.NewRefusal(core.ReasonBadRequest, "the body could not be read: "+err.Error())
	}
	if len(body) > frame.MaxBodyBytes {
		_, _ = io.CopyN(io.Discard, src, maxDiscard)
		c.RequestCtx().SetConnectionClose()
		return nil, core.NewRefusal(core.ReasonTooLarge, "the body is over 8 MB")
	}
	return body, nil
}

// limits reads the deadline and the priority. A caller may lower its team's
// priority but not raise it.
func (f *Front) limits(c fiber.Ctx, req *flow.Request) error {
	timeout := req.Service.Timeout
	if text := c.Get(headerDeadline); text != "" {
		ms, err := strconv.ParseInt(text, 10, 64)
		if err != nil || ms <= 0 || time.Duration(ms) > maxDeadline/time.Millisecond {
			return core.NewRefusal(core.ReasonBadRequest, "X-Deadline-Ms is not a number of milliseconds up to 24 h")
		}
		timeout = time.Duration(ms) * time.Millisecond
	}
	if timeout > 0 {
		req.Deadline = f.Clock.Now().Add(timeout)
	}
	if text := c.Get(headerPriority); text != "" {
		p, err := strconv.Atoi(text)
		if err != nil || p < 0 || p > maxPriority {
			return core.NewRefusal(core.ReasonBadRequest, "X-Priority is not a number from 0 to 9")
		}
		req.Priority = min(p, req.Team.Priority)
	}
	return nil
}

func (f *Front) team(c fiber.Ctx) (*core.TeamState, error) {
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

// requestID returns the caller's request id if it is well formed, or a new one.
func requestID(c fiber.Ctx) string {
	if id := c.Get(headerRequest); id != "" && len(id) <= maxID && printable(id) {
		return id
	}
	return ulid.MustNew(ulid.Now(), rand.Reader).String()
}

func printable(s string) bool {
	for i := range len(s) {
		if s[i] <= ' ' || s[i] > '~' {
			return false
		}
	}
	return true
}

func servicePath(url, service string) string {
	path := strings.TrimPrefix(url, prefix+service)
	if !strings.HasPrefix(path, "/") {
		return "/" + path
	}
	return path
}

// repeatable applies the longest route that matches; without one the method
// decides.
func repeatable(s *core.ServiceState, method, path string) bool {
	path, _, _ = strings.Cut(path, "?")
	best := -1
	answer := method != fiber.MethodPost && method != fiber.MethodPatch
	for _, r := range s.Routes {
		if (r.Method == "" || r.Method == method) && strings.HasPrefix(path, r.Prefix) && len(r.Prefix) > best {
			best = len(r.Prefix)
			answer = r.Repeatable
		}
	}
	return answer
}

// marshal encodes an error body; its types cannot fail to encode.
func marshal(body errorBody) []byte {
	p, _ := json.Marshal(body)
	return p
}
