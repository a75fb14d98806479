// Package dial opens TCP connections that detect a peer that has disappeared
// without closing them: the kernel ends a connection if the peer does not
// acknowledge sent data within UserTimeout.
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
	// Timeout limits the time to open a connection. Peers are at most tens of
	// milliseconds away, and a lost SYN packet is retransmitted after 1 s.
	Timeout = 1200 * time.Millisecond
	// UserTimeout is how long sent data may stay unacknowledged before the
	// connection ends (TCP_USER_TIMEOUT). It leaves time for a few
	// retransmissions on a lossy link.
	UserTimeout = 4 * time.Second
)

var dialer = net.Dialer{Timeout: Timeout, KeepAlive: -1, Control: setUserTimeout}

// TCP opens a connection to addr.
func TCP(ctx context.Context, addr netip.AddrPort) (*net.TCPConn, error) {
	c, err := dialer.DialContext(ctx, "tcp", addr.String())
	if err != nil {
		return nil, err
	}
	return c.(*net.TCPConn), nil
}

// Func opens a connection to the address addr. It has the signature of
// fasthttp.DialFunc.
func Func(addr string) (net.Conn, error) {
	return dialer.Dial("tcp", addr)
}

// setUserTimeout is the net.Dialer's Control function.
func setUserTimeout(_, _ string, c syscall.RawConn) error {
	var err error
	if controlErr := c.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(UserTimeout.Milliseconds()))
	}); controlErr != nil {
		return controlErr
	}
	return err
}
