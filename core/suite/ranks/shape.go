package ranks

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
	"github.com/gravitational/trace"

	"parsleyroute.example/core"
)

// Shape holds the dimensions of a group and its expert maps.
type Shape struct {
	Layers       int `json:"layers"`
	Ranks        int `json:"ranks"`
	SlotsPerRank int `json:"slots_per_rank"`
	Experts      int `json:"experts"`
}

func (s Shape) validate() error {
	if s.Layers < 1 || s.Ranks < 1 || s.SlotsPerRank < 1 || s.Experts < 1 || s.Ranks*s.SlotsPerRank < s.Experts {
		return trace.BadParameter("each dimension of the group must be at least 1, with a slot for each expert: %+v", s)
	}
	return nil
}

// InitialMap returns the map with which a group starts. Its epoch is 1, and its
// experts are assigned to the slots of each layer in round-robin order.
func (s Shape) InitialMap() *core.ExpertMap {
	m := &core.ExpertMap{Epoch: 1, Layers: s.Layers, Ranks: s.Ranks, SlotsPerRank: s.SlotsPerRank, Experts: s.Experts}
	n := s.Ranks * s.SlotsPerRank
	m.Slots = make([]uint32, s.Layers*n)
	for i := range m.Slots {
		m.Slots[i] = uint32(i % n % s.Experts)
	}
	return m
}

// indexedMap is an expert map with values that are derived from it once.
type indexedMap struct {
	*core.ExpertMap
	// replicas is the number of slots of each expert, of shape Layers x Experts.
	replicas [][]float64
	// slotsHash distinguishes maps of the same epoch.
	slotsHash uint64
}

// indexMap validates a map against the shape and returns it with its derived
// values.
func (s Shape) indexMap(m *core.ExpertMap) (*indexedMap, error) {
	if m == nil || m.Layers != s.Layers || m.Ranks != s.Ranks || m.SlotsPerRank != s.SlotsPerRank || m.Experts != s.Experts || len(m.Slots) != s.Layers*s.Ranks*s.SlotsPerRank {
		return nil, trace.BadParameter("the expert map does not have the shape of the group")
	}
	indexed := &indexedMap{ExpertMap: m.Clone(), replicas: make([][]float64, s.Layers)}
	h := xxhash.New()
	var b [4]byte
	slotsPerLayer := s.Ranks * s.SlotsPerRank
	for l := range indexed.replicas {
		indexed.replicas[l] = make([]float64, s.Experts)
		for _, e := range m.Slots[l*slotsPerLayer : (l+1)*slotsPerLayer] {
			if int(e) >= s.Experts {
				return nil, trace.BadParameter("the expert map has expert %d; the group has only %d experts", e, s.Experts)
			}
			indexed.replicas[l][e]++
			binary.LittleEndian.PutUint32(b[:], e)
			_, _ = h.Write(b[:])
		}
		for e, n := range indexed.replicas[l] {
			if n == 0 {
				return nil, trace.BadParameter("the expert map has no slot for expert %d in layer %d", e, l)
			}
		}
	}
	indexed.slotsHash = h.Sum64()
	return indexed, nil
}

// rankExperts returns the experts in the slots of a rank in a layer.
func (m *indexedMap) rankExperts(layer, rank int) []uint32 {
	i := (layer*m.Ranks + rank) * m.SlotsPerRank
	return m.Slots[i : i+m.SlotsPerRank]
}
