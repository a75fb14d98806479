package serve

import (
	"crypto/sha256"
	"encoding/hex"
	"net/netip"

	"github.com/gravitational/trace"

	"parsleyroute.example/core"
	"parsleyroute.example/core/process/conf"
	"parsleyroute.example/core/request/picker"
)

// Settings are the settings of an entry.
type Settings struct {
	conf.Node
	// Listen is the address for callers and operators.
	Listen netip.AddrPort `toml:"listen"`
	// Peer is the address for other processes of the system.
	Peer netip.AddrPort `toml:"peer"`
	// Operators maps the names of operators to the hexadecimal SHA-256 hashes of
	// their keys.
	Operators map[string]string `toml:"operators"`
	// Subset is the number of upstreams of each service to which the entry
	// keeps connections; default 16.
	Subset int `toml:"subset"`
	// Picker is choices (the default, power of two choices), or a baseline for
	// experiments: robin (round robin), random or least (least loaded).
	Picker string `toml:"picker"`
	// Affinity is on (default) or off. If on, requests prefer upstreams that have
	// the prefix of the prompt in their caches.
	Affinity string `toml:"affinity"`
}

// Check reports the first setting that is missing or out of range.
func (s *Settings) Check() error {
	if err := s.Node.Check(); err != nil {
		return err
	}
	if err := conf.Address("listen", s.Listen); err != nil {
		return err
	}
	if err := conf.Address("peer", s.Peer); err != nil {
		return err
	}
	for name, key := range s.Operators {
		if b, err := hex.DecodeString(key); err != nil || len(b) != sha256.Size {
			return trace.BadParameter("setting operators.%s: %q is not a hexadecimal SHA-256 hash", name, key)
		}
	}
	if s.Subset < 0 {
		return trace.BadParameter("setting subset must not be negative")
	}
	if s.Affinity != "" && s.Affinity != "on" && s.Affinity != "off" {
		return trace.BadParameter("setting affinity: %q is not on or off", s.Affinity)
	}
	_, err := newPicker(s.Picker, s.Zone)
	return err
}

func newPicker(name, zone string) (core.Picker, error) {
	switch name {
	case "", "choices":
		return &picker.TwoChoices{Zone: zone}, nil
	case "robin":
		return &picker.RoundRobin{}, nil
	case "random":
		return &picker.Random{}, nil
	case "least":
		return &picker.LeastLoaded{}, nil
	}
	return nil, trace.BadParameter("setting picker: %q is not choices, robin, random or least", name)
}
