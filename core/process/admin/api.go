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

// API is the operators' API. Its fields are set before Register.
type API struct {
	Store core.Store
	// Objects returns the instance's own objects with tombstones, of all kinds.
	Objects func() []core.Object
	// Table returns the configuration in force; nil before the first one.
	Table func() *core.Table
	// Instances returns the instance list.
	Instances func() []core.Instance
	// StatusOf asks one instance. It returns when ctx ends.
	StatusOf func(ctx context.Context, in core.Instance, refs []*wire.ObjectRef) (*wire.StatusResponse, error)
	// Explain returns what is known of a request; nil if nothing is kept.
	Explain func(id string) (any, bool)
	// Keys maps the operators' names to the SHA-256 of their keys in
	// hexadecimal.
	Keys   map[string]string
	Logger log.Logger
	Clock  core.Clock

	// StoreTimeout bounds the store calls of one write with its repetitions;
	// zero means 5 s.
	StoreTimeout time.Duration
	// StatusTimeout bounds the answer of one instance and StatusTotal that of
	// all; zero means 1 s and 5 s. StatusParallel is the greatest number of
	// instances asked at once; zero means 256.
	StatusTimeout  time.Duration
	StatusTotal    time.Duration
	StatusParallel int
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
	g.Get("/objects/:kind", a.handle(a.list))
	g.Get("/objects/:kind/:name", a.handle(a.get))
	g.Put("/objects/:kind/:name", a.handle(a.apply))
	g.Delete("/objects/:kind/:name", a.handle(a.remove))
	g.Post("/out/:kind/:name", a.handle(a.takeOut))
	g.Delete("/out/:kind/:name", a.handle(a.takeIn))
	g.Get("/select/:kind", a.handle(a.selectNames))
	g.Post("/status", a.handle(a.status))
	g.Get("/explain/:id", a.handle(a.explain))
	g.Use(a.handle(func(*call) (any, error) {
		return nil, core.NewRefusal(core.ReasonNotFound, "no such call of the operators' API")
	}))
}

// call is one authenticated call. Its strings are copies, because fiber reuses
// the memory of a request.
type call struct {
	ctx      context.Context
	operator string
	kind     core.Kind
	name     string
	nonce    string
	query    func(key string) string
	body     func() []byte
	id       string
}

func (a *API) handle(f func(*call) (any, error)) fiber.Handler {
	return func(c fiber.Ctx) error {
		answer, err := a.serve(c, f)
		if err != nil {
			status, body := a.failure(err)
			if body.Error.RetryAfterMs > 0 {
				c.Set(fiber.HeaderRetryAfter, retryAfter(body.Error.RetryAfterMs))
			}
			return c.Status(status).JSON(body)
		}
		return c.JSON(answer)
	}
}

func (a *API) serve(c fiber.Ctx, f func(*call) (any, error)) (any, error) {
	operator, ok := a.operator(c.Get(fiber.HeaderAuthorization))
	if !ok {
		return nil, core.NewRefusal(core.ReasonOperatorUnverified, "the call carries no valid operator key")
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(c.Context()), cmp.Or(a.StoreTimeout, 5*time.Second))
	defer cancel()
	return f(&call{
		ctx:      ctx,
		operator: operator,
		kind:     core.Kind(strings.Clone(c.Params("kind"))),
		name:     strings.Clone(c.Params("name")),
		nonce:    strings.Clone(c.Get("X-Nonce")),
		query:    func(key string) string { return strings.Clone(c.Query(key)) },
		body:     func() []byte { return append([]byte(nil), c.Body()...) },
		id:       strings.Clone(c.Params("id")),
	})
}

// operator returns the name of the operator whose key the header carries. All
// keys are compared, so that the time taken does not tell which one is near.
func (a *API) operator(header string) (string, bool) {
	key, ok := strings.CutPrefix(header, "Bearer ")
	if !ok || key == "" {
		return "", false
	}
	sum := sha256.Sum256([]byte(key))
	digest := []byte(hex.EncodeToString(sum[:]))
	found := ""
	for name, k := range a.Keys {
		if subtle.ConstantTimeCompare(digest, []byte(strings.ToLower(k))) == 1 {
			found = name
		}
	}
	return found, found != ""
}

// target returns the key that a call names.
func (c *call) target() (core.Key, error) {
	if err := c.checkKind(); err != nil {
		return core.Key{}, err
	}
	if !decl.ValidName(c.name) {
		return core.Key{}, trace.BadParameter("%q is not the name of a declaration", c.name)
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

func (c *call) flag(key string) (bool, error) {
	switch v := c.query(key); v {
	case "", "false":
		return false, nil
	case "true":
		return true, nil
	default:
		return false, trace.BadParameter("%s=%q is not true or false", key, v)
	}
}

func (a *API) log(c *call, action string, o core.Object, err error) {
	if err != nil {
		level.Warn(a.Logger).Log("msg", "write refused", "action", action, "kind", o.Kind, "name", o.Name,
			"operator", c.operator, "err", err)
		return
	}
	meter.Event("admin_" + action)
	level.Info(a.Logger).Log("msg", "write accepted", "action", action, "kind", o.Kind, "name", o.Name,
		"operator", c.operator, "version", o.Version)
}
