package engine

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// lingerTime bounds the wait for an upstream to notice that a call was given
// up. It is far above the time for which a working upstream runs on.
const lingerTime = 10 * time.Second

// conn is a connection that tells when the upstream has let go of it. Close
// closes only the sending side at once, which tells the upstream to cancel the
// call. The rest is closed when the upstream has closed its side, or lingerTime
// later.
type conn struct {
	*net.TCPConn
	closed atomic.Bool
	gone   chan struct{}
	// reading is held during a read, deadline while a read deadline is set.
	reading, deadline sync.Mutex
}

func newConn(c *net.TCPConn) *conn { return &conn{TCPConn: c, gone: make(chan struct{})} }

// Read implements net.Conn. It fails once Close was called.
func (c *conn) Read(p []byte) (int, error) {
	c.reading.Lock()
	defer c.reading.Unlock()
	if c.closed.Load() {
		return 0, net.ErrClosed
	}
	return c.TCPConn.Read(p)
}

// SetReadDeadline implements net.Conn. After Close it does nothing.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.deadline.Lock()
	defer c.deadline.Unlock()
	if c.closed.Load() {
		return net.ErrClosed
	}
	return c.TCPConn.SetReadDeadline(t)
}

// Close implements net.Conn. It does not wait for the upstream.
func (c *conn) Close() error {
	c.deadline.Lock()
	defer c.deadline.Unlock()
	if c.closed.Swap(true) {
		return nil
	}
	err := c.CloseWrite()
	// Ends the read in progress.
	_ = c.TCPConn.SetReadDeadline(time.Now())
	go c.linger()
	return err
}

func (c *conn) linger() {
	defer close(c.gone)
	c.reading.Lock()
	defer c.reading.Unlock()
	if c.TCPConn.SetReadDeadline(time.Now().Add(lingerTime)) == nil {
		_, _ = io.Copy(io.Discard, c.TCPConn)
	}
	_ = c.TCPConn.Close()
}
