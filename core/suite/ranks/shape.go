package ranks

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
	"github.com/gravitational/trace"

	"parsleyroute.example/core"
)

// Shape is the size of a group.
type Shape struct {
	Layers       int `json:"layers"`
	Ranks        int `json:"ranks"`
	SlotsPerRank int `json:"slots_per_rank"`
	Experts      int `json:"experts"`
}

func (s Shape) check() error {
	if s.Layers < 1 || s.Ranks < 1 || s.SlotsPerRank < 1 || s.Experts < 1 || s.Ranks*s.SlotsPerRank < s.Experts {
		return trace.BadParameter("the group has too few layers, ranks, slots or experts: %+v", s)
	}
	return nil
}

// InitialMap returns the map with which a group starts: epoch 1, and the experts
// dealt out in turn.
func (s Shape) InitialMap() *core.ExpertMap {
	m := &core.ExpertMap{Epoch: 1, Layers: s.Layers, Ranks: s.Ranks, SlotsPerRank: s.SlotsPerRank, Experts: s.Experts}
	n := s.Ranks * s.SlotsPerRank
	m.Slots = make([]uint32, s.Layers*n)
	for i := range m.Slots {
		m.Slots[i] = uint32(i % n % s.Experts)
	}
	return m
}

// placed is a map with what is computed from it once.
type placed struct {
	*core.ExpertMap
	// replicas has shape Layers x Experts.
	replicas [][]float64
	// hash tells maps of one epoch apart.
	hash uint64
}

// place checks a map against the shape.
func (s Shape) place(m *core.ExpertMap) (*placed, error) {
	if m == nil || m.Layers != s.Layers || m.Ranks != s.Ranks || m.SlotsPerRank != s.SlotsPerRank || m.Experts != s.Experts || len(m.Slots) != s.Layers*s.Ranks*s.SlotsPerRank {
		return nil, trace.BadParameter("the map does not have the shape of the group")
	}
	p := &placed{ExpertMap: m.Clone(), replicas: make([][]float64, s.Layers)}
	d := xxhash.New()
	var b [4]byte
	per := s.Ranks * s.SlotsPerRank
	for l := range p.replicas {
		p.replicas[l] = make([]float64, s.Experts)
		for _, e := range m.Slots[l*per : (l+1)*per] {
			if int(e) >= s.Experts {
				return nil, trace.BadParameter("the map places the expert %d of %d", e, s.Experts)
			}
			p.replicas[l][e]++
			binary.LittleEndian.PutUint32(b[:], e)
			_, _ = d.Write(b[:])
		}
		for e, n := range p.replicas[l] {
			if n == 0 {
				return nil, trace.BadParameter("the map leaves out the expert %d of layer %d", e, l)
			}
		}
	}
	p.hash = d.Sum64()
	return p, nil
}

// rank returns the experts of a rank in a layer.
func (p *placed) rank(layer, rank int) []uint32 {
	i := (layer*p.Ranks + rank) * p.SlotsPerRank
	return p.Slots[i : i+p.SlotsPerRank]
}
