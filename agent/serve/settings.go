package serve

import (
	"net/netip"

	"github.com/gravitational/trace"

	"parsleyroute.example/core/process/conf"
)

// Settings are the settings of an agent.
type Settings struct {
	conf.Node
	// Listen is the address for entries and other agents.
	Listen netip.AddrPort `toml:"listen"`
	// Upstream is the name of the agent's upstream.
	Upstream string `toml:"upstream"`
	Engine   Engine `toml:"engine"`
}

// Engine selects the adapter for the upstream.
type Engine struct {
	// Kind is engine (a model engine) or plain (a plain service).
	Kind    string         `toml:"kind"`
	Address netip.AddrPort `toml:"address"`
	// ControlAddr is the address of the rank's control interface; empty if the
	// upstream is not a rank.
	ControlAddr netip.AddrPort `toml:"group"`
	// Rank is the rank's number at that interface.
	Rank int `toml:"rank"`
}

// Check reports the first setting that is missing or out of range.
func (s *Settings) Check() error {
	if err := s.Node.Check(); err != nil {
		return err
	}
	if err := conf.CheckAddress("listen", s.Listen); err != nil {
		return err
	}
	if s.Upstream == "" {
		return trace.BadParameter("setting upstream is missing")
	}
	if s.Engine.Kind != "engine" && s.Engine.Kind != "plain" {
		return trace.BadParameter("setting engine.kind: %q is not engine or plain", s.Engine.Kind)
	}
	return conf.CheckAddress("engine.address", s.Engine.Address)
}
