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

const testPeerKey = "peer key of the tests"

// fleet runs nodes over an in-memory network and platform with injected faults.
// It checks that no version decreases. Times are those of the synctest bubble.
type fleet struct {
	scenarioRNG *rand.Rand // chooses the steps of a test
	mu          sync.Mutex // guards the platform and the network

	// The platform: the log of writes and the instance list.
	log           []core.Object
	list          []core.Instance
	changed       chan struct{}
	down          bool
	watchSilent   bool            // watches return no changes
	platformCut   map[string]bool // zones cut off only from the platform
	platformReads int

	// The network. Messages from and to other zones are lost for isolated zones.
	faultRNG        *rand.Rand // chooses faults of the platform and the network
	maxMessageBytes int        // MaxMessageBytes of the nodes
	lossRate        float64
	noPush          bool
	isolated        map[string]bool
	outboundBlocked map[string]bool // zones whose nodes can respond but not send requests
	handlers        map[string]http.Handler
	pushes          []*http.Request
	largestMessage  int // bytes of the largest message

	nodes       map[string]*spread.Node
	versions    map[string]map[core.Key]uint64
	onChange    func(core.Instance, core.Object)
	seeds       []netip.AddrPort
	incarnation uint64
}

// newFleet returns a fleet whose instances are listed but not started.
func newFleet(seed uint64, zones, entries, agents int) *fleet {
	f := &fleet{
		scenarioRNG: rand.New(rand.NewPCG(seed, 0)), faultRNG: rand.New(rand.NewPCG(seed, 1)), changed: make(chan struct{}),
		platformCut: map[string]bool{}, isolated: map[string]bool{}, outboundBlocked: map[string]bool{}, versions: map[string]map[core.Key]uint64{},
		handlers: map[string]http.Handler{}, nodes: map[string]*spread.Node{},
	}
	for z := range zones {
		for i := range entries + agents {
			role := core.RoleEntry
			if i >= entries {
				role = core.RoleAgent
			}
			addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, byte(z)}), uint16(i+1))
			f.list = append(f.list, core.Instance{Name: addr.String(), Role: role, Zone: zoneOf(addr.String()), PeerAddr: addr})
			if i == 0 {
				f.seeds = append(f.seeds, addr)
			}
		}
	}
	return f
}

func zoneOf(host string) string { return strings.Split(host, ":")[0] }

// update changes the faults or the platform and wakes the watches.
func (f *fleet) update(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
	close(f.changed)
	f.changed = make(chan struct{})
}

func (f *fleet) write(k core.Key, deleted bool) {
	f.update(func() {
		obj := core.Object{Key: k, Version: uint64(len(f.log) + 1), Deleted: deleted}
		if deleted {
			obj.DeletedAt = time.Now().Truncate(time.Second)
		} else {
			obj.Value = fmt.Append(nil, obj.Version)
		}
		f.log = append(f.log, obj)
	})
}

// objectsAt returns the platform's objects at a revision, with tombstones.
func (f *fleet) objectsAt(revision int) map[core.Key]core.Object {
	last := map[core.Key]core.Object{}
	for _, obj := range f.log[:revision] {
		last[obj.Key] = obj
	}
	return last
}

// zoneView provides the platform and the network to the nodes of a zone. It
// implements core.Store, core.InstanceLister, spread.ConfigClients and wire.HTTPClient.
type zoneView struct {
	core.Store
	*fleet
	zone string
}

var errUnavailable = trace.ConnectionProblem(nil, "platform is down")

func (p zoneView) unreachable() bool { return p.down || p.platformCut[p.zone] || p.isolated[p.zone] }

// List sometimes returns an old state, as a lagging replica does.
func (p zoneView) List(context.Context, ...core.Kind) ([]core.Object, uint64, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.platformReads++
	if p.unreachable() {
		return nil, 0, errUnavailable
	}
	revision := len(p.log)
	if p.faultRNG.IntN(3) == 0 {
		revision = max(revision-p.faultRNG.IntN(4), 0)
	}
	objects := slices.Collect(maps.Values(p.objectsAt(revision)))
	return slices.DeleteFunc(objects, func(obj core.Object) bool { return obj.Deleted }), uint64(revision), nil
}

func (p zoneView) Watch(ctx context.Context, from uint64, _ ...core.Kind) ([]core.Object, error) {
	timeout := time.After(20 * time.Second)
	p.update(func() { p.platformReads++ })
	for {
		p.mu.Lock()
		unreachable, changed, events := p.unreachable(), p.changed, slices.Clone(p.log[min(int(from), len(p.log)):])
		if p.watchSilent {
			events = nil
		}
		p.mu.Unlock()
		if unreachable {
			return nil, errUnavailable
		}
		if len(events) > 0 {
			return events, nil
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

func (p zoneView) Instances(context.Context) ([]core.Instance, uint64, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.platformReads++
	if p.unreachable() {
		return nil, 0, errUnavailable
	}
	return slices.Clone(p.list), 1, nil
}

func (p zoneView) ConfigClient(addr netip.AddrPort) wire.Config {
	return wire.NewConfigProtobufClient("http://"+addr.String(), p)
}

// Do delivers messages with losses, delays and duplicates.
func (p zoneView) Do(req *http.Request) (*http.Response, error) {
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return nil, err
	}
	isPush, destZone := strings.HasSuffix(req.URL.Path, "/Push"), zoneOf(req.URL.Host)
	p.mu.Lock()
	lost := p.zone != destZone && (p.isolated[p.zone] || p.isolated[destZone]) || isPush && p.noPush || p.outboundBlocked[p.zone] || p.faultRNG.Float64() < p.lossRate
	responseLost, duplicated := p.faultRNG.Float64() < p.lossRate, p.faultRNG.Float64() < p.lossRate
	delay := time.Duration(p.faultRNG.IntN(5000)) * time.Microsecond
	handler := p.handlers[req.URL.Host]
	req.GetBody = func() (io.ReadCloser, error) { return io.NopCloser(bytes.NewReader(body)), nil }
	if isPush && len(p.pushes) < 2000 {
		p.pushes = append(p.pushes, req)
	}
	p.mu.Unlock()
	if !lost && handler != nil {
		time.Sleep(delay)
		resp := deliver(handler, req, testPeerKey)
		if duplicated {
			resp = deliver(handler, req, testPeerKey)
		}
		p.mu.Lock()
		p.largestMessage = max(p.largestMessage, len(body), int(resp.ContentLength))
		p.mu.Unlock()
		if !responseLost {
			return resp, nil
		}
	}
	<-req.Context().Done()
	return nil, req.Context().Err()
}

// replayPush delivers an earlier push again, to the node at the same address.
func (f *fleet) replayPush() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.pushes) > 0 {
		req := f.pushes[f.faultRNG.IntN(len(f.pushes))].WithContext(context.Background())
		if handler := f.handlers[req.URL.Host]; handler != nil {
			go deliver(handler, req, testPeerKey)
		}
	}
}

func deliver(handler http.Handler, req *http.Request, peerKey string) *http.Response {
	clone := req.Clone(req.Context())
	clone.Body, _ = req.GetBody()
	clone.Header.Set(spread.PeerKeyHeader, peerKey)
	rec := httptest.NewRecorder()
	handler.ServeHTTP(rec, clone)
	return rec.Result()
}

func (f *fleet) start(inst core.Instance) {
	f.incarnation++
	v := zoneView{fleet: f, zone: inst.Zone}
	n := &spread.Node{
		Self: inst, Store: v, Lister: v, Clients: v, Seeds: f.seeds, PeerKey: testPeerKey, Incarnation: f.incarnation, MaxMessageBytes: f.maxMessageBytes,
	}
	if observe := f.onChange; observe != nil {
		n.OnChange = func(objects []core.Object) {
			for _, obj := range objects {
				observe(inst, obj)
			}
		}
	}
	f.nodes[inst.Name] = n
	f.versions[inst.Name] = map[core.Key]uint64{}
	f.update(func() { f.handlers[inst.PeerAddr.String()] = n.Handler() })
	go func() { _ = n.Run(context.Background()) }()
}

func (f *fleet) stop(inst core.Instance) {
	f.update(func() { delete(f.handlers, inst.PeerAddr.String()) })
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

// run lets d pass and returns an error if a version decreases.
func (f *fleet) run(d time.Duration) error {
	for end := time.Now().Add(d); time.Now().Before(end); {
		time.Sleep(50 * time.Millisecond)
		for name, n := range f.nodes {
			for k := range f.objectsAt(len(f.log)) {
				v := n.Version(k)
				if previous := f.versions[name][k]; v < previous {
					return fmt.Errorf("%s: version of %v decreased from %d to %d", name, k, previous, v)
				}
				f.versions[name][k] = v
			}
		}
	}
	return nil
}

// checkConverged returns an error if a node differs from the platform.
func (f *fleet) checkConverged() error {
	for name, n := range f.nodes {
		if len(n.Instances()) != len(f.list) || !n.Synced() {
			return fmt.Errorf("%s knows %d of %d instances, synced: %v", name, len(n.Instances()), len(f.list), n.Synced())
		}
		live := map[core.Key]core.Object{}
		for _, obj := range n.Objects() {
			live[obj.Key] = obj
		}
		for k, obj := range f.objectsAt(len(f.log)) {
			if got, ok := live[k]; ok == obj.Deleted || ok && (got.Version != obj.Version || !bytes.Equal(got.Value, obj.Value)) {
				return fmt.Errorf("%s has version %d of %v, the platform %d, deleted: %v", name, got.Version, k, obj.Version, obj.Deleted)
			}
		}
	}
	return nil
}

// awaitConverged waits until all nodes equal the platform and returns the time
// that it took, or the last error after d.
func (f *fleet) awaitConverged(d time.Duration) (time.Duration, error) {
	start := time.Now()
	for {
		if err := f.run(50 * time.Millisecond); err != nil {
			return 0, err
		}
		err := f.checkConverged()
		if took := time.Since(start); err == nil || took >= d {
			return took, err
		}
	}
}
