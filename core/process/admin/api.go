package admin

import (
	"cmp"
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"strings"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/gofiber/fiber/v3"
	"github.com/gravitational/trace"

	"parsleyroute.example/core"
	"parsleyroute.example/core/process/clock"
	"parsleyroute.example/core/process/meter"
	"parsleyroute.example/core/version/decl"
	"parsleyroute.example/core/wire"
)

// API serves the operators' API. Its fields must be set before Register.
type API struct {
	Store core.Store
	// Objects returns the objects of all kinds that this instance holds,
	// including tombstones.
	Objects func() []core.Object
	// Table returns the configuration in force, or nil if there is none yet.
	Table func() *core.Table
	// Instances returns the instance list.
	Instances func() []core.Instance
	// QueryStatus requests the status of one instance. It returns at the latest
	// when ctx ends.
	QueryStatus func(ctx context.Context, in core.Instance, refs []*wire.ObjectRef) (*wire.StatusResponse, error)
	// Explain returns the record of a request and whether there is one. If the
	// function is nil, no records are kept.
	Explain func(id string) (any, bool)
	// KeyHashes maps the operators' names to the hexadecimal SHA-256 hashes of
	// their keys.
	KeyHashes map[string]string
	Logger    log.Logger
	Clock     core.Clock

	// StoreTimeout bounds all store calls of one request including retries;
	// zero means 5 s.
	StoreTimeout time.Duration
	// StatusTimeout bounds the status call to one instance and
	// StatusTotalTimeout all calls of a query; zero means 1 s and 5 s.
	// StatusConcurrency is the maximum number of concurrent status calls; zero
	// means 256.
	StatusTimeout      time.Duration
	StatusTotalTimeout time.Duration
	StatusConcurrency  int
}

// Register adds the handlers below /v1/admin.
func (a *API) Register(router fiber.Router) {
	if a.Clock == nil {
		a.Clock = clock.Real{}
	}
	if a.Logger == nil {
		a.Logger = log.NewNopLogger()
	}
	g := router.Group("/v1/admin")
	g.Get("/objects/:kind", a.handle(a.handleList))
	g.Get("/objects/:kind/:name", a.handle(a.handleGet))
	g.Put("/objects/:kind/:name", a.handle(a.handlePut))
	g.Delete("/objects/:kind/:name", a.handle(a.handleDelete))
	g.Post("/out/:kind/:name", a.handle(a.handleTakeOut))
	g.Delete("/out/:kind/:name", a.handle(a.handleReinstate))
	g.Get("/select/:kind", a.handle(a.handleSelect))
	g.Post("/status", a.handle(a.handleStatus))
	g.Get("/explain/:id", a.handle(a.handleExplain))
	g.Use(a.handle(func(*call) (any, error) {
		return nil, core.NewRefusal(core.ReasonNotFound, "no such endpoint in the operators' API")
	}))
}

// call is one authenticated API call. Its strings are copies because fiber
// reuses the memory of a request.
type call struct {
	ctx         context.Context
	operator    string
	kind        core.Kind
	name        string
	nonce       string
	query       func(key string) string
	body        func() []byte
	explainedID string // ID of the request to explain
}

func (a *API) handle(f func(*call) (any, error)) fiber.Handler {
	return func(c fiber.Ctx) error {
		result, err := a.serve(c, f)
		if err != nil {
			status, body := a.errorResponse(err)
			if body.Error.RetryAfterMs > 0 {
				c.Set(fiber.HeaderRetryAfter, retryAfterSeconds(body.Error.RetryAfterMs))
			}
			return c.Status(status).JSON(body)
		}
		return c.JSON(result)
	}
}

func (a *API) serve(c fiber.Ctx, f func(*call) (any, error)) (any, error) {
	operator, ok := a.authenticate(c.Get(fiber.HeaderAuthorization))
	if !ok {
		return nil, core.NewRefusal(core.ReasonOperatorUnverified, "the request has no valid operator key")
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(c.Context()), cmp.Or(a.StoreTimeout, 5*time.Second))
	defer cancel()
	return f(&call{
		ctx:         ctx,
		operator:    operator,
		kind:        core.Kind(strings.Clone(c.Params("kind"))),
		name:        strings.Clone(c.Params("name")),
		nonce:       strings.Clone(c.Get("X-Nonce")),
		query:       func(key string) string { return strings.Clone(c.Query(key)) },
		body:        func() []byte { return append([]byte(nil), c.Body()...) },
		explainedID: strings.Clone(c.Params("id")),
	})
}

// authenticate returns the name of the operator whose key is in the
// Authorization header. It compares the key with all hashes so that its duration
// does not reveal which one matched.
func (a *API) authenticate(header string) (string, bool) {
	key, ok := strings.CutPrefix(header, "Bearer ")
	if !ok || key == "" {
		return "", false
	}
	sum := sha256.Sum256([]byte(key))
	digest := []byte(hex.EncodeToString(sum[:]))
	operator := ""
	for name, keyHash := range a.KeyHashes {
		if subtle.ConstantTimeCompare(digest, []byte(strings.ToLower(keyHash))) == 1 {
			operator = name
		}
	}
	return operator, operator != ""
}

// objectKey returns the object key from the path of the request.
func (c *call) objectKey() (core.Key, error) {
	if err := c.checkKind(); err != nil {
		return core.Key{}, err
	}
	if !decl.ValidName(c.name) {
		return core.Key{}, trace.BadParameter("%q is not a valid name for a declaration", c.name)
	}
	return core.Key{Kind: c.kind, Name: c.name}, nil
}

func (c *call) checkKind() error {
	for _, k := range core.DeclarationKinds {
		if c.kind == k {
			return nil
		}
	}
	return trace.BadParameter("kind %q is not one of %v", c.kind, core.DeclarationKinds)
}

func (c *call) boolQuery(key string) (bool, error) {
	switch v := c.query(key); v {
	case "", "false":
		return false, nil
	case "true":
		return true, nil
	default:
		return false, trace.BadParameter("%s=%q is not true or false", key, v)
	}
}

func (a *API) logWrite(c *call, action string, o core.Object, err error) {
	if err != nil {
		level.Warn(a.Logger).Log("msg", "write refused", "action", action, "kind", o.Kind, "name", o.Name,
			"operator", c.operator, "err", err)
		return
	}
	meter.Event("admin_" + action)
	level.Info(a.Logger).Log("msg", "write accepted", "action", action, "kind", o.Kind, "name", o.Name,
		"operator", c.operator, "version", o.Version)
}
