package spread_test

import (
	"bytes"
	"cmp"
	"context"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"parsleyroute.example/core"
	"parsleyroute.example/core/process/spread"
	"parsleyroute.example/core/wire"
)

const key = "peer key of the tests"

// platform stands in for the object API and the instance list.
type platform struct {
	mu       sync.Mutex
	down     bool
	revision uint64
	objects  map[core.Key]core.Object
	changed  chan struct{}
	list     []core.Instance
	listRev  uint64
	reads    int
	// stale is how many revisions a list read may lag; rng picks.
	rng *rand.Rand
	log []core.Object
}

func newPlatform(rng *rand.Rand) *platform {
	return &platform{objects: map[core.Key]core.Object{}, changed: make(chan struct{}), rng: rng}
}

var errDown = trace.ConnectionProblem(nil, "platform is down")

func (p *platform) write(k core.Key, deleted bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.revision++
	obj := core.Object{Key: k, Version: p.revision, Value: fmt.Append(nil, p.revision), Deleted: deleted}
	if deleted {
		obj.Value, obj.DeletedAt = nil, time.Now().Truncate(time.Second)
	}
	p.objects[k] = obj
	p.log = append(p.log, obj)
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *platform) setDown(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = down
	close(p.changed)
	p.changed = make(chan struct{})
}

// List sometimes answers from the past, as a lagging replica does.
func (p *platform) List(_ context.Context, kinds ...core.Kind) ([]core.Object, uint64, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reads++
	if p.down {
		return nil, 0, errDown
	}
	revision := p.revision
	if p.rng.IntN(3) == 0 {
		revision -= min(revision, uint64(p.rng.IntN(4)))
	}
	last := map[core.Key]core.Object{}
	for _, obj := range p.log {
		if obj.Version <= revision && slices.Contains(kinds, obj.Kind) {
			last[obj.Key] = obj
		}
	}
	live := slices.DeleteFunc(slices.Collect(maps.Values(last)), func(obj core.Object) bool { return obj.Deleted })
	return live, revision, nil
}

func (p *platform) Watch(ctx context.Context, from uint64, _ ...core.Kind) ([]core.Object, error) {
	timeout := time.After(20 * time.Second)
	p.mu.Lock()
	p.reads++
	p.mu.Unlock()
	for {
		p.mu.Lock()
		down, changed := p.down, p.changed
		var news []core.Object
		for _, obj := range p.log {
			if obj.Version > from {
				news = append(news, obj)
			}
		}
		p.mu.Unlock()
		if down {
			return nil, errDown
		}
		if len(news) > 0 {
			return news, nil
		}
		select {
		case <-changed:
		case <-timeout:
			return nil, nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

func (p *platform) Instances(context.Context) ([]core.Instance, uint64, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reads++
	if p.down {
		return nil, 0, errDown
	}
	return slices.Clone(p.list), p.listRev, nil
}

func (p *platform) Get(context.Context, core.Key) (core.Object, error) {
	return core.Object{}, trace.NotImplemented("not used here")
}

func (p *platform) Create(_ context.Context, obj core.Object) (core.Object, error) {
	return obj, trace.NotImplemented("not used here")
}

func (p *platform) Update(_ context.Context, obj core.Object) (core.Object, error) {
	return obj, trace.NotImplemented("not used here")
}

func (p *platform) Delete(_ context.Context, obj core.Object) (core.Object, error) {
	return obj, trace.NotImplemented("not used here")
}

// fabric is an in-memory network that loses, delays, repeats and replays
// messages.
type fabric struct {
	mu       sync.Mutex
	rng      *rand.Rand
	loss     float64
	cut      map[string]bool // zones cut off from the others and the platform
	zones    map[string]string
	handlers map[string]http.Handler
	pushes   []recorded
	messages int
	bytes    int
}

type recorded struct {
	host string
	path string
	body []byte
}

func newFabric(rng *rand.Rand) *fabric {
	return &fabric{rng: rng, cut: map[string]bool{}, zones: map[string]string{}, handlers: map[string]http.Handler{}}
}

// peers are the clients of one node.
type peers struct {
	f    *fabric
	self netip.AddrPort
}

func (p peers) Peer(addr netip.AddrPort) wire.Config {
	return wire.NewConfigProtobufClient("http://"+addr.String(), p)
}

// Do implements wire.HTTPClient.
func (p peers) Do(req *http.Request) (*http.Response, error) {
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return nil, err
	}
	f := p.f
	f.mu.Lock()
	a, b := f.zones[p.self.String()], f.zones[req.URL.Host]
	handler := f.handlers[req.URL.Host]
	reachable := handler != nil && (a == b || !f.cut[a] && !f.cut[b])
	lost, lostAnswer, twice := f.rng.Float64() < f.loss, f.rng.Float64() < f.loss, f.rng.Float64() < f.loss
	delay := time.Duration(f.rng.IntN(5000)) * time.Microsecond
	f.messages++
	f.bytes += len(body)
	if len(f.pushes) < 2000 && bytes.HasSuffix([]byte(req.URL.Path), []byte("/Push")) {
		f.pushes = append(f.pushes, recorded{req.URL.Host, req.URL.Path, body})
	}
	f.mu.Unlock()
	if !reachable || lost {
		<-req.Context().Done()
		return nil, req.Context().Err()
	}
	time.Sleep(delay)
	resp := deliver(req.Context(), handler, req.URL.Path, body)
	if twice {
		resp = deliver(req.Context(), handler, req.URL.Path, body)
	}
	if lostAnswer {
		<-req.Context().Done()
		return nil, req.Context().Err()
	}
	return resp, nil
}

// replay delivers an old push again, to the same node or its successor.
func (f *fabric) replay(ctx context.Context) {
	f.mu.Lock()
	if len(f.pushes) == 0 {
		f.mu.Unlock()
		return
	}
	m := f.pushes[f.rng.IntN(len(f.pushes))]
	handler := f.handlers[m.host]
	f.mu.Unlock()
	if handler != nil {
		deliver(ctx, handler, m.path, m.body)
	}
}

func deliver(ctx context.Context, handler http.Handler, path string, body []byte) *http.Response {
	req := httptest.NewRequestWithContext(ctx, http.MethodPost, path, bytes.NewReader(body))
	req.Header.Set("Content-Type", "application/protobuf")
	req.Header.Set(spread.PeerKeyHeader, key)
	rec := httptest.NewRecorder()
	handler.ServeHTTP(rec, req)
	return rec.Result()
}

// viaZone is the platform as a zone sees it.
type viaZone struct {
	*platform
	f    *fabric
	zone string
}

func (v viaZone) reachable() bool {
	v.f.mu.Lock()
	defer v.f.mu.Unlock()
	return !v.f.cut[v.zone]
}

func (v viaZone) List(ctx context.Context, kinds ...core.Kind) ([]core.Object, uint64, error) {
	if !v.reachable() {
		return nil, 0, errDown
	}
	return v.platform.List(ctx, kinds...)
}

func (v viaZone) Watch(ctx context.Context, from uint64, kinds ...core.Kind) ([]core.Object, error) {
	if !v.reachable() {
		return nil, errDown
	}
	objects, err := v.platform.Watch(ctx, from, kinds...)
	if !v.reachable() {
		return nil, errDown
	}
	return objects, err
}

func (v viaZone) Instances(ctx context.Context) ([]core.Instance, uint64, error) {
	if !v.reachable() {
		return nil, 0, errDown
	}
	return v.platform.Instances(ctx)
}

// fleet runs nodes over a fabric and checks that no version falls.
type fleet struct {
	rng         *rand.Rand
	platform    *platform
	fabric      *fabric
	nodes       map[string]*spread.Node
	versions    map[string]map[core.Key]uint64
	incarnation uint64
	seeds       []netip.AddrPort
}

func newFleet(seed uint64) *fleet {
	rng := rand.New(rand.NewPCG(seed, 0))
	return &fleet{
		rng: rng, platform: newPlatform(rand.New(rand.NewPCG(seed, 1))), fabric: newFabric(rand.New(rand.NewPCG(seed, 2))),
		nodes: map[string]*spread.Node{}, versions: map[string]map[core.Key]uint64{},
	}
}

// add lists an instance, without starting it.
func (f *fleet) add(zone string, role core.Role, i int) {
	addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(1000+len(f.platform.list)))
	inst := core.Instance{Name: fmt.Sprintf("%s-%s-%d", zone, role, i), Role: role, Zone: zone, Peer: addr}
	f.platform.list = append(f.platform.list, inst)
	f.platform.listRev++
	f.fabric.zones[addr.String()] = zone
	if role == core.RoleEntry && i == 0 {
		f.seeds = append(f.seeds, addr)
	}
}

func (f *fleet) start(inst core.Instance) {
	f.incarnation++
	n := &spread.Node{
		Self: inst, Store: viaZone{f.platform, f.fabric, inst.Zone}, Lister: viaZone{f.platform, f.fabric, inst.Zone},
		Seeds: f.seeds, Peers: peers{f.fabric, inst.Peer}, Key: key, Incarnation: f.incarnation,
	}
	f.nodes[inst.Name] = n
	f.versions[inst.Name] = map[core.Key]uint64{}
	f.fabric.mu.Lock()
	f.fabric.handlers[inst.Peer.String()] = n.Handler()
	f.fabric.mu.Unlock()
	go func() { _ = n.Run(context.Background()) }()
}

func (f *fleet) stop(inst core.Instance) {
	f.fabric.mu.Lock()
	delete(f.fabric.handlers, inst.Peer.String())
	f.fabric.mu.Unlock()
	f.nodes[inst.Name].Close()
}

func (f *fleet) startAll() {
	for _, inst := range f.platform.list {
		f.start(inst)
	}
}

func (f *fleet) stopAll() {
	for _, inst := range f.platform.list {
		f.stop(inst)
	}
}

// run lets time pass and returns an error once a version has fallen.
func (f *fleet) run(d time.Duration) error {
	for end := time.Now().Add(d); time.Now().Before(end); {
		time.Sleep(50 * time.Millisecond)
		for name, n := range f.nodes {
			for k, was := range f.versions[name] {
				if v := n.Version(k); v < was {
					return fmt.Errorf("%s: %v fell from %d to %d", name, k, was, v)
				}
			}
			for k := range f.platform.objects {
				f.versions[name][k] = n.Version(k)
			}
		}
	}
	return nil
}

// converged tells which node differs from the platform.
func (f *fleet) converged() error {
	for _, inst := range f.platform.list {
		n := f.nodes[inst.Name]
		if len(n.Instances()) != len(f.platform.list) {
			return fmt.Errorf("%s knows %d of %d instances", inst.Name, len(n.Instances()), len(f.platform.list))
		}
		if !n.Synced() {
			return fmt.Errorf("%s is not synced", inst.Name)
		}
		live := map[core.Key]core.Object{}
		for _, obj := range n.Objects() {
			live[obj.Key] = obj
		}
		for k, obj := range f.platform.objects {
			if got, ok := live[k]; ok == obj.Deleted || ok && (got.Version != obj.Version || !bytes.Equal(got.Value, obj.Value)) {
				return fmt.Errorf("%s has %v, the platform %v", inst.Name, got, obj)
			}
			delete(live, k)
		}
		if len(live) > 0 {
			return fmt.Errorf("%s has objects that the platform lacks: %v", inst.Name, live)
		}
	}
	return nil
}

// within returns the time after which the fleet converged, or the last error.
func (f *fleet) within(d time.Duration) (time.Duration, error) {
	start := time.Now()
	for {
		if err := f.run(100 * time.Millisecond); err != nil {
			return 0, err
		}
		err := f.converged()
		if took := time.Since(start); err == nil || took >= d {
			return took, err
		}
	}
}

func sorted(keys []core.Key) []core.Key {
	slices.SortFunc(keys, func(a, b core.Key) int { return cmp.Compare(a.Name, b.Name) })
	return keys
}
