// Cost measures what control costs: it runs nodes of package spread in one
// process, in three zones, which talk over loopback through the real clients
// and servers, and prints the cost of each node, idle and with one change a
// minute. The store and the instance list are in memory and not counted.
//
// Bytes and messages are counted at the servers' connections. Each node sends
// as much as it receives on average, so its share is twice the mean over
// nodes. CPU time and heap are those of the process, divided by the number of
// nodes.
package main

import (
	"context"
	"flag"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/gravitational/trace"

	"parsleyroute.example/core"
	"parsleyroute.example/core/process/spread"
)

const (
	key     = "peer key"
	objects = 10_000
	// valueSize is that of a typical team with one credential.
	valueSize = 200
	zones     = 3
)

// platform is the store and the instance list.
type platform struct {
	core.Store
	mu      sync.Mutex
	log     []core.Object
	list    []core.Instance
	changed chan struct{}
}

func (p *platform) write() core.Object {
	p.mu.Lock()
	defer p.mu.Unlock()
	version := uint64(len(p.log) + 1)
	obj := core.Object{
		Key:     core.Key{Kind: core.KindTeam, Name: fmt.Sprintf("team-%05d", version%objects)},
		Version: version, Value: make([]byte, valueSize),
	}
	p.log = append(p.log, obj)
	close(p.changed)
	p.changed = make(chan struct{})
	return obj
}

func (p *platform) List(context.Context, ...core.Kind) ([]core.Object, uint64, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]core.Object(nil), p.log[len(p.log)-objects:]...), uint64(len(p.log)), nil
}

func (p *platform) Watch(ctx context.Context, from uint64, _ ...core.Kind) ([]core.Object, error) {
	p.mu.Lock()
	news, changed := p.log[min(from, uint64(len(p.log))):], p.changed
	p.mu.Unlock()
	if len(news) > 0 {
		return news, nil
	}
	select {
	case <-changed:
	case <-time.After(30 * time.Second):
	case <-ctx.Done():
	}
	return nil, ctx.Err()
}

func (p *platform) Instances(context.Context) ([]core.Instance, uint64, error) {
	return p.list, 1, nil
}

// counter counts the bytes of the connections that it accepts.
type counter struct {
	net.Listener
	bytes *atomic.Int64
}

type counterConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c counter) Accept() (net.Conn, error) {
	conn, err := c.Listener.Accept()
	return counterConn{conn, c.bytes}, err
}

func (c counterConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c counterConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

func main() {
	period := flag.Duration("period", time.Minute, "time measured in each case")
	flag.Parse()
	fmt.Println("| nodes | case | B/s | requests/s | CPU of a core | heap MB | slowest change |")
	fmt.Println("|---|---|---|---|---|---|---|")
	for _, nodes := range []int{10, 40, 160} {
		if err := measure(nodes, *period); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
	}
}

func measure(count int, period time.Duration) error {
	p := &platform{changed: make(chan struct{})}
	for range objects {
		p.write()
	}
	var listeners []net.Listener
	for i := range count {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return trace.ConvertSystemError(err)
		}
		listeners = append(listeners, l)
		role := core.RoleAgent
		if i < max(count/5, 2*zones) {
			role = core.RoleEntry
		}
		p.list = append(p.list, core.Instance{
			Name: fmt.Sprintf("%s-%03d.zone-%d", role, i, i%zones), Role: role,
			Zone: fmt.Sprint("zone-", i%zones), PeerAddr: l.Addr().(*net.TCPAddr).AddrPort(),
		})
	}
	var bytes, requests atomic.Int64
	var runs sync.WaitGroup
	defer runs.Wait()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	nodes := make([]*spread.Node, count)
	for i, inst := range p.list {
		clients := spread.NewPeerClient(key, 0)
		n := &spread.Node{
			Self: inst, Store: p, Lister: p, Seeds: []netip.AddrPort{p.list[0].PeerAddr}, Clients: clients, PeerKey: key,
		}
		nodes[i] = n
		handler := n.Handler()
		server := &http.Server{
			ReadHeaderTimeout: time.Second,
			Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				requests.Add(1)
				handler.ServeHTTP(w, r)
			}),
		}
		runs.Go(func() { _ = server.Serve(counter{listeners[i], &bytes}) })
		runs.Go(func() {
			_ = n.Run(ctx)
			clients.Close()
			_ = server.Close()
		})
	}
	if _, err := inForce(nodes, p.log[objects-1], time.Minute); err != nil {
		return err
	}
	time.Sleep(5 * time.Second) // the last nodes fetch the rest
	for _, changes := range []bool{false, true} {
		bytes.Store(0)
		requests.Store(0)
		name, cpu := "idle", cpuTime()
		var slowest time.Duration
		for start := time.Now(); time.Since(start) < period; {
			if changes {
				name = "a change a minute"
				took, err := inForce(nodes, p.write(), 10*time.Second)
				if err != nil {
					return err
				}
				slowest = max(slowest, took)
			}
			time.Sleep(min(time.Minute, period-time.Since(start)))
		}
		spent := cpuTime() - cpu
		var mem runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&mem)
		per := period.Seconds() * float64(count)
		fmt.Printf("| %d | %s | %.0f | %.2f | %.2f%% | %.1f | %v |\n", count, name, 2*float64(bytes.Load())/per,
			2*float64(requests.Load())/per, 100*spent.Seconds()/per, float64(mem.HeapAlloc)/1e6/float64(count),
			slowest.Round(time.Millisecond))
	}
	return nil
}

// inForce waits until all nodes have an object, and returns how long it took.
func inForce(nodes []*spread.Node, obj core.Object, limit time.Duration) (time.Duration, error) {
	start := time.Now()
	for _, n := range nodes {
		for n.Version(obj.Key) < obj.Version {
			if time.Since(start) > limit {
				return 0, trace.LimitExceeded("version %d is not in force everywhere after %v", obj.Version, limit)
			}
			time.Sleep(time.Millisecond)
		}
	}
	return time.Since(start), nil
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
