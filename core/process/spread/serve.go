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

// confirmStep is the least gain in the age of the instance list for which a
// peer's report of it is noted.
const confirmStep = 500 * time.Millisecond

// service implements wire.Config.
type service struct{ n *Node }

// Handler returns the handler of the Config service. It serves the path prefix
// of wire.ConfigPathPrefix and refuses calls without the peer key. Before Run
// it answers with what it has, and pushes wait.
func (n *Node) Handler() http.Handler {
	n.init()
	return RequirePeerKey(n.PeerKey, counted(wire.NewConfigServer(service{n})))
}

// Push implements wire.Config.
func (s service) Push(ctx context.Context, req *wire.PushRequest) (*wire.PushResponse, error) {
	objects := fromWire(req.GetObjects())
	taken := 0
	err := s.n.do(ctx, func(o *owner) { taken = o.accept(objects, origin{zone: req.GetZone()}) })
	if err != nil {
		return nil, twirp.Unavailable.Error(trace.UserMessage(err))
	}
	return &wire.PushResponse{Taken: uint32(taken)}, nil
}

// Exchange implements wire.Config.
func (s service) Exchange(ctx context.Context, req *wire.ExchangeRequest) (*wire.ExchangeResponse, error) {
	st := s.n.current()
	theirs := req.GetDigest()
	seen := s.n.Clock.Now().Add(-time.Duration(theirs.GetRosterAgeMs()) * time.Millisecond)
	if theirs.GetRoster() != 0 && theirs.GetRoster() == st.roster.revision && seen.Sub(st.seen) > confirmStep {
		_ = s.n.do(ctx, func(o *owner) { o.confirm(theirs.GetRoster(), seen) })
		st = s.n.current()
	}
	resp := &wire.ExchangeResponse{Digest: s.n.digest(st, false), Zone: s.n.Self.Zone}
	if buckets := theirs.GetBuckets(); len(buckets) > 0 {
		if len(buckets) != objset.Buckets {
			return nil, twirp.InvalidArgument.Errorf("%d bucket digests instead of %d", len(buckets), objset.Buckets)
		}
		for i, d := range st.set.Digests() {
			if d != buckets[i] {
				resp.Buckets = append(resp.Buckets, uint32(i))
			}
		}
	}
	if len(req.GetBuckets()) > objset.Buckets {
		return nil, twirp.InvalidArgument.Errorf("%d buckets asked for", len(req.GetBuckets()))
	}
	s.compare(st.set, req, resp)
	return resp, nil
}

// compare adds the objects that are newer here than in the request's versions,
// and the versions that are older here.
func (s service) compare(set *objset.Snapshot, req *wire.ExchangeRequest, resp *wire.ExchangeResponse) {
	if len(req.GetBuckets()) == 0 {
		return
	}
	theirs := lo.SliceToMap(req.GetRefs(), func(r *wire.ObjectRef) (string, uint64) {
		return r.GetKind() + "\x00" + r.GetName(), r.GetVersion()
	})
	sum := 0
	for _, b := range lo.Uniq(req.GetBuckets()) {
		for _, obj := range set.Bucket(int(b)) {
			if obj.Version <= theirs[string(obj.Kind)+"\x00"+obj.Name] {
				continue
			}
			w := toWire(obj)
			if sum += size(w); sum > s.n.MaxMessageBytes && len(resp.GetObjects()) > 0 {
				resp.More = true
				break
			}
			resp.Objects = append(resp.Objects, w)
		}
	}
	for _, r := range req.GetRefs() {
		if mine := set.Version(refKey(r)); mine < r.GetVersion() {
			resp.Want = append(resp.Want, ref(refKey(r), mine))
		}
	}
}

// Status implements wire.Config.
func (s service) Status(_ context.Context, req *wire.StatusRequest) (*wire.StatusResponse, error) {
	n, st := s.n, s.n.current()
	resp := &wire.StatusResponse{
		Instance: n.Self.Name, Role: string(n.Self.Role), Zone: n.Self.Zone, Incarnation: n.Incarnation,
		Digest: st.set.Total(), Objects: uint32(st.set.Len()),
		Synced: st.synced, Instances: uint32(len(st.roster.instances)),
	}
	for _, r := range req.GetRefs() {
		resp.Refs = append(resp.Refs, ref(refKey(r), st.set.Version(refKey(r))))
	}
	if n.Load != nil {
		resp.Load = n.Load()
	}
	return resp, nil
}
