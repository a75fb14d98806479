package spread

import (
	"bytes"
	"cmp"
	"compress/flate"
	"io"
	"math/rand/v2"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/gravitational/trace"
	"github.com/samber/lo"
	"google.golang.org/protobuf/proto"

	"parsleyroute.example/core"
	"parsleyroute.example/core/wire"
)

const (
	// maxRelaysPerZone lets a zone lose two watchers and still get changes.
	maxRelaysPerZone = 3
	// pushTargetsPerZone is the number of instances of every other zone to which
	// a watcher pushes.
	pushTargetsPerZone = 2
	maxRosterBytes     = 16 << 20
)

var rosterKey = core.Key{Kind: core.KindRoster, Name: "instances"}

// roster is the instance list as one node sees it. It is immutable.
type roster struct {
	revision  uint64
	instances []core.Instance
	// sameZone and otherZones are the peers in and outside the node's zone,
	// without the node itself.
	sameZone, otherZones []netip.AddrPort
	// remoteZones holds the relays and the other peers of each other zone.
	remoteZones []zonePeers
	// isWatcher is set if the node is to watch the store, isRelay if it forwards
	// changes from other zones within its own.
	isWatcher, isRelay bool
}

type zonePeers struct {
	relays, others []netip.AddrPort
}

// newRoster groups the instances by zone and determines whether the node is a
// watcher or relay. The node counts as listed because the list lags: an entry
// that has just started may be the only one in its zone.
func newRoster(self core.Instance, revision uint64, instances []core.Instance) *roster {
	r := &roster{revision: revision, instances: instances}
	zones := map[string][]core.Instance{}
	for _, inst := range instances {
		if inst.Name == self.Name {
			self.Leaving = self.Leaving || inst.Leaving
			continue
		}
		if inst.PeerAddr == self.PeerAddr {
			continue // an earlier process at this node's address
		}
		zones[inst.Zone] = append(zones[inst.Zone], inst)
		if inst.Zone == self.Zone {
			r.sameZone = append(r.sameZone, inst.PeerAddr)
		} else {
			r.otherZones = append(r.otherZones, inst.PeerAddr)
		}
	}
	zones[self.Zone] = append(zones[self.Zone], self)
	names := lo.Keys(zones)
	slices.Sort(names)
	for _, zone := range names {
		relays := selectRelays(zone, zones[zone])
		if zone == self.Zone {
			r.isRelay = slices.ContainsFunc(relays, func(inst core.Instance) bool { return inst.Name == self.Name })
			r.isWatcher = r.isRelay && self.Role == core.RoleEntry
			continue
		}
		var z zonePeers
		for _, inst := range zones[zone] {
			if slices.ContainsFunc(relays, func(relay core.Instance) bool { return relay.Name == inst.Name }) {
				z.relays = append(z.relays, inst.PeerAddr)
			} else {
				z.others = append(z.others, inst.PeerAddr)
			}
		}
		r.remoteZones = append(r.remoteZones, z)
	}
	return r
}

// selectRelays returns the instances that forward changes within a zone: its
// watchers or, in a zone without entries, agents. They are chosen by rendezvous
// hashing (Thaler and Ravishankar 1998), so that one change of the list
// replaces at most one of them.
func selectRelays(zone string, instances []core.Instance) []core.Instance {
	remaining := lo.Reject(instances, func(inst core.Instance, _ int) bool { return inst.Leaving })
	candidates := lo.Filter(remaining, func(inst core.Instance, _ int) bool { return inst.Role == core.RoleEntry })
	if len(candidates) == 0 {
		candidates = remaining
	}
	score := func(inst core.Instance) uint64 { return xxhash.Sum64String(zone + "\x00" + inst.Name) }
	slices.SortFunc(candidates, func(a, b core.Instance) int {
		return cmp.Or(cmp.Compare(score(b), score(a)), cmp.Compare(a.Name, b.Name))
	})
	return candidates[:min(len(candidates), maxRelaysPerZone)]
}

// pushTargets returns the instances of a zone to which a change is pushed:
// random relays, and other instances only if there are too few relays.
func (z *zonePeers) pushTargets(rng *rand.Rand) []netip.AddrPort {
	var targets []netip.AddrPort
	for i := range pushTargetsPerZone {
		switch k := i - len(z.relays); {
		case k < 0:
			continue
		case k < len(z.others):
			targets = append(targets, z.others[rng.IntN(len(z.others))])
		}
	}
	for _, i := range rng.Perm(len(z.relays))[:min(len(z.relays), pushTargetsPerZone)] {
		targets = append(targets, z.relays[i])
	}
	return lo.Uniq(targets)
}

// encodeRoster returns the value of the roster object: a wire.Roster compressed
// by DEFLATE. Instance names and zones repeat, so compression makes it several
// times smaller.
func encodeRoster(instances []core.Instance) ([]byte, error) {
	instances = slices.Clone(instances)
	slices.SortFunc(instances, func(a, b core.Instance) int { return cmp.Compare(a.Name, b.Name) })
	msg := &wire.Roster{}
	for _, inst := range instances {
		peer, err := inst.PeerAddr.MarshalBinary()
		if err != nil {
			return nil, trace.Wrap(err)
		}
		msg.Instances = append(msg.Instances, &wire.RosterInstance{
			Name: inst.Name, Role: string(inst.Role), Zone: inst.Zone, Peer: peer, Leaving: inst.Leaving,
		})
	}
	raw, err := proto.Marshal(msg)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.DefaultCompression)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if _, err := w.Write(raw); err != nil {
		return nil, trace.Wrap(err)
	}
	if err := w.Close(); err != nil {
		return nil, trace.Wrap(err)
	}
	return b.Bytes(), nil
}

// decodeRoster decodes a value of encodeRoster. Its errors are
// trace.BadParameter.
func decodeRoster(value []byte) ([]core.Instance, error) {
	raw, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(value)), maxRosterBytes+1))
	if err != nil {
		return nil, trace.BadParameter("roster: %v", err)
	}
	if len(raw) > maxRosterBytes {
		return nil, trace.BadParameter("roster: longer than %d bytes", maxRosterBytes)
	}
	var msg wire.Roster
	if err := proto.Unmarshal(raw, &msg); err != nil {
		return nil, trace.BadParameter("roster: %v", err)
	}
	instances := make([]core.Instance, 0, len(msg.GetInstances()))
	for _, inst := range msg.GetInstances() {
		var peer netip.AddrPort
		if err := peer.UnmarshalBinary(inst.GetPeer()); err != nil {
			return nil, trace.BadParameter("roster: address of %q: %v", inst.GetName(), err)
		}
		instances = append(instances, core.Instance{
			Name: inst.GetName(), Role: core.Role(inst.GetRole()), Zone: inst.GetZone(),
			PeerAddr: peer, Leaving: inst.GetLeaving(),
		})
	}
	return instances, nil
}
