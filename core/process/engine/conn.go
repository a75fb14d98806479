package engine

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// lingerTimeout limits the wait for an upstream to notice that a call was
// canceled. A healthy upstream stops much sooner.
const lingerTimeout = 10 * time.Second

// lingeringConn is a connection that signals when the upstream has closed its
// side. Close at once closes only the sending side, which signals the upstream to
// cancel the call. The rest is closed when the upstream has closed its side, or
// after lingerTimeout.
type lingeringConn struct {
	*net.TCPConn
	closed     atomic.Bool
	peerClosed chan struct{}
	// readMu is held during a read, deadlineMu while a read deadline is being set.
	readMu, deadlineMu sync.Mutex
}

func newLingeringConn(c *net.TCPConn) *lingeringConn {
	return &lingeringConn{TCPConn: c, peerClosed: make(chan struct{})}
}

// Read implements net.Conn. It fails after Close.
func (c *lingeringConn) Read(p []byte) (int, error) {
	c.readMu.Lock()
	defer c.readMu.Unlock()
	if c.closed.Load() {
		return 0, net.ErrClosed
	}
	return c.TCPConn.Read(p)
}

// SetReadDeadline implements net.Conn. After Close it fails and changes nothing.
func (c *lingeringConn) SetReadDeadline(t time.Time) error {
	c.deadlineMu.Lock()
	defer c.deadlineMu.Unlock()
	if c.closed.Load() {
		return net.ErrClosed
	}
	return c.TCPConn.SetReadDeadline(t)
}

// Close implements net.Conn. It does not wait for the upstream.
func (c *lingeringConn) Close() error {
	c.deadlineMu.Lock()
	defer c.deadlineMu.Unlock()
	if c.closed.Swap(true) {
		return nil
	}
	err := c.CloseWrite()
	// Interrupts a read in progress.
	_ = c.TCPConn.SetReadDeadline(time.Now())
	go c.linger()
	return err
}

func (c *lingeringConn) linger() {
	defer close(c.peerClosed)
	c.readMu.Lock()
	defer c.readMu.Unlock()
	if c.TCPConn.SetReadDeadline(time.Now().Add(lingerTimeout)) == nil {
		_, _ = io.Copy(io.Discard, c.TCPConn)
	}
	_ = c.TCPConn.Close()
}
