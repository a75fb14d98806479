// Command cost measures the resource usage of the control plane. It runs nodes of
// package spread in three zones in one process and prints the usage per node,
// both idle and with one change per minute. The nodes communicate over loopback
// with the clients and servers of a real deployment. The store and the instance
// list are in memory and not included.
//
// Bytes and requests are counted at the servers. On average, each node sends as
// much as it receives, so the usage per node is twice the mean over the servers.
// CPU time and heap are those of the process divided by the number of nodes.
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
	peerKey     = "peer key"
	objectCount = 10_000
	// valueSize is the size in bytes of a typical team with one credential.
	valueSize = 200
	zoneCount = 3
)

// platform implements the store and the instance list.
type platform struct {
	core.Store
	mu        sync.Mutex
	changes   []core.Object
	instances []core.Instance
	changed   chan struct{}
}

func (p *platform) writeObject() core.Object {
	p.mu.Lock()
	defer p.mu.Unlock()
	version := uint64(len(p.changes) + 1)
	obj := core.Object{
		Key:     core.Key{Kind: core.KindTeam, Name: fmt.Sprintf("team-%05d", version%objectCount)},
		Version: version, Value: make([]byte, valueSize),
	}
	p.changes = append(p.changes, obj)
	close(p.changed)
	p.changed = make(chan struct{})
	return obj
}

func (p *platform) List(context.Context, ...core.Kind) ([]core.Object, uint64, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]core.Object(nil), p.changes[len(p.changes)-objectCount:]...), uint64(len(p.changes)), nil
}

func (p *platform) Watch(ctx context.Context, from uint64, _ ...core.Kind) ([]core.Object, error) {
	p.mu.Lock()
	newer, changed := p.changes[min(from, uint64(len(p.changes))):], p.changed
	p.mu.Unlock()
	if len(newer) > 0 {
		return newer, nil
	}
	select {
	case <-changed:
	case <-time.After(30 * time.Second):
	case <-ctx.Done():
	}
	return nil, ctx.Err()
}

func (p *platform) Instances(context.Context) ([]core.Instance, uint64, error) {
	return p.instances, 1, nil
}

// countingListener counts the bytes read and written on the connections that it
// accepts.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingListener) Accept() (net.Conn, error) {
	conn, err := c.Listener.Accept()
	return countingConn{conn, c.bytes}, err
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

func main() {
	period := flag.Duration("period", time.Minute, "measurement time for each case")
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

func measure(nodeCount int, period time.Duration) error {
	p := &platform{changed: make(chan struct{})}
	for range objectCount {
		p.writeObject()
	}
	var listeners []net.Listener
	for i := range nodeCount {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return trace.ConvertSystemError(err)
		}
		listeners = append(listeners, l)
		role := core.RoleAgent
		if i < max(nodeCount/5, 2*zoneCount) {
			role = core.RoleEntry
		}
		p.instances = append(p.instances, core.Instance{
			Name: fmt.Sprintf("%s-%03d.zone-%d", role, i, i%zoneCount), Role: role,
			Zone: fmt.Sprint("zone-", i%zoneCount), PeerAddr: l.Addr().(*net.TCPAddr).AddrPort(),
		})
	}
	var bytes, requests atomic.Int64
	var background sync.WaitGroup
	defer background.Wait()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	nodes := make([]*spread.Node, nodeCount)
	for i, inst := range p.instances {
		clients := spread.NewPeerClient(peerKey, 0)
		n := &spread.Node{
			Self: inst, Store: p, Lister: p, Seeds: []netip.AddrPort{p.instances[0].PeerAddr}, Clients: clients, PeerKey: peerKey,
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
		background.Go(func() { _ = server.Serve(countingListener{listeners[i], &bytes}) })
		background.Go(func() {
			_ = n.Run(ctx)
			clients.Close()
			_ = server.Close()
		})
	}
	if _, err := awaitObject(nodes, p.changes[objectCount-1], time.Minute); err != nil {
		return err
	}
	time.Sleep(5 * time.Second) // until the last nodes have fetched all objects
	for _, withChanges := range []bool{false, true} {
		bytes.Store(0)
		requests.Store(0)
		name, cpuBefore := "idle", cpuTime()
		var slowest time.Duration
		for start := time.Now(); time.Since(start) < period; {
			if withChanges {
				name = "a change a minute"
				delay, err := awaitObject(nodes, p.writeObject(), 10*time.Second)
				if err != nil {
					return err
				}
				slowest = max(slowest, delay)
			}
			time.Sleep(min(time.Minute, period-time.Since(start)))
		}
		cpuUsed := cpuTime() - cpuBefore
		var mem runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&mem)
		nodeSeconds := period.Seconds() * float64(nodeCount)
		fmt.Printf("| %d | %s | %.0f | %.2f | %.2f%% | %.1f | %v |\n", nodeCount, name, 2*float64(bytes.Load())/nodeSeconds,
			2*float64(requests.Load())/nodeSeconds, 100*cpuUsed.Seconds()/nodeSeconds, float64(mem.HeapAlloc)/1e6/float64(nodeCount),
			slowest.Round(time.Millisecond))
	}
	return nil
}

// awaitObject waits until all nodes have the version of an object and returns the
// time that this took.
func awaitObject(nodes []*spread.Node, obj core.Object, timeout time.Duration) (time.Duration, error) {
	start := time.Now()
	for _, n := range nodes {
		for n.Version(obj.Key) < obj.Version {
			if time.Since(start) > timeout {
				return 0, trace.LimitExceeded("version %d has not reached all nodes after %v", obj.Version, timeout)
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
