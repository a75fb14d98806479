package spread_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"parsleyroute.example/core"
	"parsleyroute.example/core/process/spread"
	"parsleyroute.example/core/wire"
)

const key = "peer key of the tests"

// fleet runs nodes over an in-memory network and a platform that both have
// faults. It checks that no version falls. Times are those of the synctest
// bubble.
type fleet struct {
	rng *rand.Rand // of the course of a test
	mu  sync.Mutex // guards the platform and the network

	// The platform: the log of writes, and the instance list.
	log     []core.Object
	list    []core.Instance
	changed chan struct{}
	down    bool
	deaf    bool            // watches return no news
	apart   map[string]bool // zones cut off from the platform alone
	reads   int

	// The network. Messages between two zones of which one is cut are lost.
	luck     *rand.Rand // of the platform and the network
	message  int        // MaxMessageBytes of the nodes
	loss     float64
	noPush   bool
	cut      map[string]bool
	mute     map[string]bool // zones whose nodes can only answer
	handlers map[string]http.Handler
	pushes   []*http.Request
	largest  int // bytes of the largest message

	nodes       map[string]*spread.Node
	versions    map[string]map[core.Key]uint64
	onChange    func(core.Instance, core.Object)
	seeds       []netip.AddrPort
	incarnation uint64
}

// newFleet lists instances, without starting them.
func newFleet(seed uint64, zones, entries, agents int) *fleet {
	f := &fleet{
		rng: rand.New(rand.NewPCG(seed, 0)), luck: rand.New(rand.NewPCG(seed, 1)), changed: make(chan struct{}),
		apart: map[string]bool{}, cut: map[string]bool{}, mute: map[string]bool{}, versions: map[string]map[core.Key]uint64{},
		handlers: map[string]http.Handler{}, nodes: map[string]*spread.Node{},
	}
	for z := range zones {
		for i := range entries + agents {
			role := core.RoleEntry
			if i >= entries {
				role = core.RoleAgent
			}
			addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, byte(z)}), uint16(i+1))
			f.list = append(f.list, core.Instance{Name: addr.String(), Role: role, Zone: zoneOf(addr.String()), Peer: addr})
			if i == 0 {
				f.seeds = append(f.seeds, addr)
			}
		}
	}
	return f
}

func zoneOf(host string) string { return strings.Split(host, ":")[0] }

// set changes the faults, or the platform, and wakes the watches.
func (f *fleet) set(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
	close(f.changed)
	f.changed = make(chan struct{})
}

func (f *fleet) write(k core.Key, deleted bool) {
	f.set(func() {
		obj := core.Object{Key: k, Version: uint64(len(f.log) + 1), Deleted: deleted}
		if deleted {
			obj.DeletedAt = time.Now().Truncate(time.Second)
		} else {
			obj.Value = fmt.Append(nil, obj.Version)
		}
		f.log = append(f.log, obj)
	})
}

// at returns the state of the platform at a revision, with tombstones.
func (f *fleet) at(revision int) map[core.Key]core.Object {
	last := map[core.Key]core.Object{}
	for _, obj := range f.log[:revision] {
		last[obj.Key] = obj
	}
	return last
}

// view is the platform and the network as seen from a zone. It implements
// core.Store, core.Lister, spread.ConfigClients and wire.HTTPClient.
type view struct {
	core.Store
	*fleet
	zone string
}

var errDown = trace.ConnectionProblem(nil, "platform is down")

func (p view) lost() bool { return p.down || p.apart[p.zone] || p.cut[p.zone] }

// List sometimes answers from the past, as a lagging replica does.
func (p view) List(context.Context, ...core.Kind) ([]core.Object, uint64, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reads++
	if p.lost() {
		return nil, 0, errDown
	}
	revision := len(p.log)
	if p.luck.IntN(3) == 0 {
		revision = max(revision-p.luck.IntN(4), 0)
	}
	objects := slices.Collect(maps.Values(p.at(revision)))
	return slices.DeleteFunc(objects, func(obj core.Object) bool { return obj.Deleted }), uint64(revision), nil
}

func (p view) Watch(ctx context.Context, from uint64, _ ...core.Kind) ([]core.Object, error) {
	timeout := time.After(20 * time.Second)
	p.set(func() { p.reads++ })
	for {
		p.mu.Lock()
		lost, changed, news := p.lost(), p.changed, slices.Clone(p.log[min(int(from), len(p.log)):])
		if p.deaf {
			news = nil
		}
		p.mu.Unlock()
		if lost {
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

func (p view) Instances(context.Context) ([]core.Instance, uint64, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reads++
	if p.lost() {
		return nil, 0, errDown
	}
	return slices.Clone(p.list), 1, nil
}

func (p view) ConfigClient(addr netip.AddrPort) wire.Config {
	return wire.NewConfigProtobufClient("http://"+addr.String(), p)
}

// Do loses, delays and repeats messages.
func (p view) Do(req *http.Request) (*http.Response, error) {
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return nil, err
	}
	push, to := strings.HasSuffix(req.URL.Path, "/Push"), zoneOf(req.URL.Host)
	p.mu.Lock()
	lost := p.zone != to && (p.cut[p.zone] || p.cut[to]) || push && p.noPush || p.mute[p.zone] || p.luck.Float64() < p.loss
	lostAnswer, twice := p.luck.Float64() < p.loss, p.luck.Float64() < p.loss
	delay := time.Duration(p.luck.IntN(5000)) * time.Microsecond
	handler := p.handlers[req.URL.Host]
	req.GetBody = func() (io.ReadCloser, error) { return io.NopCloser(bytes.NewReader(body)), nil }
	if push && len(p.pushes) < 2000 {
		p.pushes = append(p.pushes, req)
	}
	p.mu.Unlock()
	if !lost && handler != nil {
		time.Sleep(delay)
		resp := deliver(handler, req, key)
		if twice {
			resp = deliver(handler, req, key)
		}
		p.mu.Lock()
		p.largest = max(p.largest, len(body), int(resp.ContentLength))
		p.mu.Unlock()
		if !lostAnswer {
			return resp, nil
		}
	}
	<-req.Context().Done()
	return nil, req.Context().Err()
}

// replay delivers an old push again, to the same node or its successor.
func (f *fleet) replay() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.pushes) > 0 {
		req := f.pushes[f.luck.IntN(len(f.pushes))].WithContext(context.Background())
		if handler := f.handlers[req.URL.Host]; handler != nil {
			go deliver(handler, req, key)
		}
	}
}

func deliver(handler http.Handler, req *http.Request, sent string) *http.Response {
	again := req.Clone(req.Context())
	again.Body, _ = req.GetBody()
	again.Header.Set(spread.PeerKeyHeader, sent)
	rec := httptest.NewRecorder()
	handler.ServeHTTP(rec, again)
	return rec.Result()
}

func (f *fleet) start(inst core.Instance) {
	f.incarnation++
	v := view{fleet: f, zone: inst.Zone}
	n := &spread.Node{
		Self: inst, Store: v, Lister: v, Clients: v, Seeds: f.seeds, PeerKey: key, Incarnation: f.incarnation, MaxMessageBytes: f.message,
	}
	if see := f.onChange; see != nil {
		n.OnChange = func(objects []core.Object) {
			for _, obj := range objects {
				see(inst, obj)
			}
		}
	}
	f.nodes[inst.Name] = n
	f.versions[inst.Name] = map[core.Key]uint64{}
	f.set(func() { f.handlers[inst.Peer.String()] = n.Handler() })
	go func() { _ = n.Run(context.Background()) }()
}

func (f *fleet) stop(inst core.Instance) {
	f.set(func() { delete(f.handlers, inst.Peer.String()) })
	f.nodes[inst.Name].Close()
}

func (f *fleet) startAll() {
	for _, inst := range f.list {
		f.start(inst)
	}
}

func (f *fleet) stopAll() {
	for _, inst := range f.list {
		f.stop(inst)
	}
}

// run lets time pass and returns an error once a version has fallen.
func (f *fleet) run(d time.Duration) error {
	for end := time.Now().Add(d); time.Now().Before(end); {
		time.Sleep(50 * time.Millisecond)
		for name, n := range f.nodes {
			for k := range f.at(len(f.log)) {
				v := n.Version(k)
				if was := f.versions[name][k]; v < was {
					return fmt.Errorf("%s: %v fell from %d to %d", name, k, was, v)
				}
				f.versions[name][k] = v
			}
		}
	}
	return nil
}

// converged tells which node differs from the platform.
func (f *fleet) converged() error {
	for name, n := range f.nodes {
		if len(n.Instances()) != len(f.list) || !n.Synced() {
			return fmt.Errorf("%s knows %d of %d instances, synced: %v", name, len(n.Instances()), len(f.list), n.Synced())
		}
		live := map[core.Key]core.Object{}
		for _, obj := range n.Objects() {
			live[obj.Key] = obj
		}
		for k, obj := range f.at(len(f.log)) {
			if got, ok := live[k]; ok == obj.Deleted || ok && (got.Version != obj.Version || !bytes.Equal(got.Value, obj.Value)) {
				return fmt.Errorf("%s has version %d of %v, the platform %d, deleted: %v", name, got.Version, k, obj.Version, obj.Deleted)
			}
		}
	}
	return nil
}

// within returns the time after which the fleet converged, or the last error.
func (f *fleet) within(d time.Duration) (time.Duration, error) {
	start := time.Now()
	for {
		if err := f.run(50 * time.Millisecond); err != nil {
			return 0, err
		}
		err := f.converged()
		if took := time.Since(start); err == nil || took >= d {
			return took, err
		}
	}
}
