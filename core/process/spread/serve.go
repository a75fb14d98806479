package spread

import (
	"context"
	"net/http"
	"time"

	"github.com/gravitational/trace"
	"github.com/samber/lo"
	"github.com/twitchtv/twirp"

	"parsleyroute.example/core/version/objset"
	"parsleyroute.example/core/wire"
)

// minRosterAgeGain is the minimum time by which a read of the instance list that a
// peer reports must be later than the last one known here. Other reports are not
// recorded.
const minRosterAgeGain = 500 * time.Millisecond

// configService implements wire.Config.
type configService struct{ n *Node }

// Handler returns the handler of the Config service. It serves paths below
// wire.ConfigPathPrefix and rejects calls without the peer key. Before Run it
// responds from the current state, and pushes block.
func (n *Node) Handler() http.Handler {
	n.init()
	return RequirePeerKey(n.PeerKey, countTraffic(wire.NewConfigServer(configService{n})))
}

// Push implements wire.Config.
func (s configService) Push(ctx context.Context, req *wire.PushRequest) (*wire.PushResponse, error) {
	objects := objectsFromWire(req.GetObjects())
	merged := 0
	err := s.n.runOnOwner(ctx, func(o *owner) { merged = o.merge(objects, origin{zone: req.GetZone()}) })
	if err != nil {
		return nil, twirp.Unavailable.Error(trace.UserMessage(err))
	}
	return &wire.PushResponse{Taken: uint32(merged)}, nil
}

// Exchange implements wire.Config.
func (s configService) Exchange(ctx context.Context, req *wire.ExchangeRequest) (*wire.ExchangeResponse, error) {
	st := s.n.current()
	peerDigest := req.GetDigest()
	readAt := s.n.Clock.Now().Add(-time.Duration(peerDigest.GetRosterAgeMs()) * time.Millisecond)
	if peerDigest.GetRoster() != 0 && peerDigest.GetRoster() == st.roster.revision && readAt.Sub(st.rosterReadAt) > minRosterAgeGain {
		_ = s.n.runOnOwner(ctx, func(o *owner) { o.recordRosterRead(peerDigest.GetRoster(), readAt) })
		st = s.n.current()
	}
	resp := &wire.ExchangeResponse{Digest: s.n.digest(st, false), Zone: s.n.Self.Zone}
	if buckets := peerDigest.GetBuckets(); len(buckets) > 0 {
		if len(buckets) != objset.BucketCount {
			return nil, twirp.InvalidArgument.Errorf("got %d bucket digests, want %d", len(buckets), objset.BucketCount)
		}
		for i, d := range st.set.BucketDigests() {
			if d != buckets[i] {
				resp.Buckets = append(resp.Buckets, uint32(i))
			}
		}
	}
	if len(req.GetBuckets()) > objset.BucketCount {
		return nil, twirp.InvalidArgument.Errorf("too many buckets requested: %d", len(req.GetBuckets()))
	}
	s.compareBuckets(st.set, req, resp)
	return resp, nil
}

// compareBuckets adds to resp the objects that are newer here than the versions
// in the request, and references to those that are older here.
func (s configService) compareBuckets(set *objset.Snapshot, req *wire.ExchangeRequest, resp *wire.ExchangeResponse) {
	if len(req.GetBuckets()) == 0 {
		return
	}
	peerVersions := lo.SliceToMap(req.GetRefs(), func(r *wire.ObjectRef) (string, uint64) {
		return r.GetKind() + "\x00" + r.GetName(), r.GetVersion()
	})
	total := 0
	for _, b := range lo.Uniq(req.GetBuckets()) {
		for _, obj := range set.BucketObjects(int(b)) {
			if obj.Version <= peerVersions[string(obj.Kind)+"\x00"+obj.Name] {
				continue
			}
			w := objectToWire(obj)
			if total += maxEncodedSize(w); total > s.n.MaxMessageBytes && len(resp.GetObjects()) > 0 {
				resp.More = true
				break
			}
			resp.Objects = append(resp.Objects, w)
		}
	}
	for _, r := range req.GetRefs() {
		if local := set.Version(refKey(r)); local < r.GetVersion() {
			resp.Want = append(resp.Want, newRef(refKey(r), local))
		}
	}
}

// Status implements wire.Config.
func (s configService) Status(_ context.Context, req *wire.StatusRequest) (*wire.StatusResponse, error) {
	n, st := s.n, s.n.current()
	resp := &wire.StatusResponse{
		Instance: n.Self.Name, Role: string(n.Self.Role), Zone: n.Self.Zone, Incarnation: n.Incarnation,
		Digest: st.set.Digest(), Objects: uint32(st.set.Len()),
		Synced: st.synced, Instances: uint32(len(st.roster.instances)),
	}
	for _, r := range req.GetRefs() {
		resp.Refs = append(resp.Refs, newRef(refKey(r), st.set.Version(refKey(r))))
	}
	if n.Load != nil {
		resp.Load = n.Load()
	}
	return resp, nil
}
