package proxy

import (
	"maps"
	"net/netip"
	"slices"
	"sync"

	"github.com/gofiber/fiber/v3"
	"github.com/gravitational/trace"

	"parsleyroute.example/fakes/process/serve"
)

// Server runs links and their control endpoints. The exported fields are set
// before Start.
type Server struct {
	// Listen is the address of the control endpoints; the default is a free
	// port.
	Listen netip.AddrPort
	// LinkConfigs configures the initial links.
	LinkConfigs []LinkConfig

	http *serve.Server

	mu    sync.Mutex
	links map[string]*link
}

// Start serves until Close.
func (s *Server) Start() error {
	s.links = map[string]*link{}
	for _, cfg := range s.LinkConfigs {
		if _, err := s.Add(cfg); err != nil {
			s.closeLinks()
			return err
		}
	}
	h, err := serve.Start(s.Listen, s.addRoutes)
	if err != nil {
		s.closeLinks()
	}
	s.http = h
	return err
}

// Addr returns the address of the control endpoints.
func (s *Server) Addr() netip.AddrPort { return s.http.Addr() }

// Close closes all connections and stops the server.
func (s *Server) Close() error {
	s.closeLinks()
	return s.http.Close()
}

func (s *Server) closeLinks() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.links {
		l.close()
	}
}

// Add starts a link. Port zero selects a free one.
func (s *Server) Add(cfg LinkConfig) (Status, error) {
	if cfg.Name == "" {
		return Status{}, trace.BadParameter("a link needs a name")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.links[cfg.Name] != nil {
		return Status{}, trace.AlreadyExists("the link %q already exists", cfg.Name)
	}
	l, err := openLink(cfg)
	if err != nil {
		return Status{}, err
	}
	s.links[cfg.Name] = l
	return l.status(), nil
}

// SetFault changes the faults of a link, or of all links if the name is "*".
func (s *Server) SetFault(name string, change func(*Fault) error) error {
	s.mu.Lock()
	links := slices.Collect(maps.Values(s.links))
	if name != "*" {
		links = []*link{s.links[name]}
	}
	s.mu.Unlock()
	for _, l := range links {
		if l == nil {
			return trace.NotFound("the link %q does not exist", name)
		}
		f, _ := l.state()
		if err := change(&f); err != nil {
			return err
		}
		if err := l.set(f); err != nil {
			return err
		}
	}
	return nil
}

// Links returns the status of all links by name.
func (s *Server) Links() map[string]Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[string]Status{}
	for n, l := range s.links {
		out[n] = l.status()
	}
	return out
}

func (s *Server) addRoutes(app *fiber.App) {
	app.Get("/control/links", func(c fiber.Ctx) error { return c.JSON(s.Links()) })
	app.Post("/control/links", func(c fiber.Ctx) error {
		var cfg LinkConfig
		if err := serve.DecodeBody(c, &cfg); err != nil {
			return err
		}
		st, err := s.Add(cfg)
		if err != nil {
			return err
		}
		return c.JSON(st)
	})
	// Keys that are absent from the body keep their value.
	app.Put("/control/links", func(c fiber.Ctx) error {
		if err := s.SetFault(c.Query("name"), func(f *Fault) error { return serve.DecodeBody(c, f) }); err != nil {
			return err
		}
		return c.JSON(s.Links())
	})
}
