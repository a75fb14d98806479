package stand

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"
)

// Ingress is a stand-in for the platform's address, which forwards new connections to
// the gates that are in rotation. An open connection stays with its gate.
type Ingress struct {
	Gates []*Gate
	// OnChange is called when a gate leaves or enters the rotation.
	OnChange func(g *Gate, in bool)

	mu     sync.Mutex
	misses map[*Gate]int
	next   int
}

// missesUntilOut is the number of failed checks in a row that take a gate out.
const missesUntilOut = 2

// Run asks each gate for its readiness once a second until ctx ends.
func (i *Ingress) Run(ctx context.Context) {
	i.mu.Lock()
	i.misses = map[*Gate]int{}
	i.mu.Unlock()
	var wg sync.WaitGroup
	for _, g := range i.Gates {
		wg.Go(func() {
			tick := time.NewTicker(time.Second)
			defer tick.Stop()
			for {
				select {
				case <-ctx.Done():
					return
				case <-tick.C:
					i.record(g, g.IsReady())
				}
			}
		})
	}
	wg.Wait()
}

func (i *Ingress) record(g *Gate, ready bool) {
	i.mu.Lock()
	before := i.misses[g] < missesUntilOut
	i.misses[g]++
	if ready {
		i.misses[g] = 0
	}
	after := i.misses[g] < missesUntilOut
	i.mu.Unlock()
	if before != after {
		i.OnChange(g, after)
	}
}

// pick returns the next gate in rotation.
func (i *Ingress) pick() *Gate {
	i.mu.Lock()
	defer i.mu.Unlock()
	for range i.Gates {
		i.next++
		if g := i.Gates[i.next%len(i.Gates)]; i.misses[g] < missesUntilOut {
			return g
		}
	}
	return nil
}

var errNoGate = errors.New("no gate is in rotation")

// User is a client with one connection, which it keeps as long as it can.
type User struct {
	*Client
	gate *Gate
}

// NewUser returns a user whose connections are forwarded by the ingress.
func NewUser(i *Ingress, host, key string) *User {
	u := &User{Client: NewClient(host, key)}
	u.transport.MaxConnsPerHost = 1
	u.transport.DialContext = func(ctx context.Context, _, _ string) (net.Conn, error) {
		g := i.pick()
		if g == nil {
			return nil, errNoGate
		}
		u.gate = g
		d := net.Dialer{Timeout: time.Second}
		return d.DialContext(ctx, "tcp", g.Callers)
	}
	return u
}

// Gate returns the gate of the user's last connection.
func (u *User) Gate() *Gate { return u.gate }

// platformAddr stands for the platform's address in requests of users.
const platformAddr = "127.0.0.1:80"

// Ask sends one request on the user's connection.
func (u *User) Ask(path, attempt string, deadline time.Duration, fields ...string) Answer {
	return u.Send(platformAddr, http.MethodPost, path, attempt, deadline, http.NoBody, fields...)
}
