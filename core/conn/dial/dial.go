// Package dial opens TCP connections whose silent loss is noticed: data that
// the peer does not acknowledge ends the connection after a bounded time.
package dial

import (
	"context"
	"net"
	"net/netip"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// Timeout bounds the opening of a connection. Peers are at most tens of
	// milliseconds away, and a lost opening packet is sent again after 1 s.
	Timeout = 1200 * time.Millisecond
	// UserTimeout is the time after which unacknowledged data ends a
	// connection. It is longer than a few retransmissions on a lossy link.
	UserTimeout = 4 * time.Second
)

var dialer = net.Dialer{Timeout: Timeout, KeepAlive: -1, Control: control}

// TCP opens a connection to addr.
func TCP(ctx context.Context, addr netip.AddrPort) (*net.TCPConn, error) {
	c, err := dialer.DialContext(ctx, "tcp", addr.String())
	if err != nil {
		return nil, err
	}
	return c.(*net.TCPConn), nil
}

// Func opens a connection to an address in text form, as fasthttp's clients
// ask for it.
func Func(addr string) (net.Conn, error) {
	return dialer.Dial("tcp", addr)
}

func control(_, _ string, c syscall.RawConn) error {
	var err error
	if e := c.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(UserTimeout.Milliseconds()))
	}); e != nil {
		return e
	}
	return err
}
