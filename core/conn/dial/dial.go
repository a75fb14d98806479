// Package dial opens TCP connections that detect a peer that has disappeared
// without closing them: the kernel ends a connection if the peer does not
// acknowledge sent data within UserTimeout. A connection on which a call waits for
// long without sending anything needs keepalive probes for that; see Monitored.
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
	// SilenceTimeout is the time without a packet from the peer after which a
	// monitored connection ends. Changes in the platform's store must be in force
	// 2 s after their confirmation, at the earliest 3 s after connections have
	// gone silent.
	SilenceTimeout = 2 * time.Second
	// probeInterval is the time without a packet after which the peer is probed,
	// and the time between two probes. The kernel counts in seconds.
	probeInterval = time.Second
)

var (
	dialer    = net.Dialer{Timeout: Timeout, KeepAlive: -1, Control: userTimeout(UserTimeout)}
	monitored = net.Dialer{
		Timeout: Timeout, Control: userTimeout(SilenceTimeout),
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: probeInterval, Interval: probeInterval,
			Count: int(SilenceTimeout/probeInterval) - 1,
		},
	}
)

// TCP opens a connection to addr.
func TCP(ctx context.Context, addr netip.AddrPort) (*net.TCPConn, error) {
	c, err := dialer.DialContext(ctx, "tcp", addr.String())
	if err != nil {
		return nil, err
	}
	return c.(*net.TCPConn), nil
}

// Func opens a connection to the address addr.
func Func(ctx context.Context, addr string) (net.Conn, error) {
	return dialer.DialContext(ctx, "tcp", addr)
}

// Monitored opens a connection to the address addr that ends if nothing is received
// from the peer for SilenceTimeout, not even the acknowledgement of a probe.
func Monitored(ctx context.Context, addr string) (net.Conn, error) {
	return monitored.DialContext(ctx, "tcp", addr)
}

// userTimeout returns a function for net.Dialer.Control that limits how long sent
// data and probes may stay unacknowledged.
func userTimeout(d time.Duration) func(network, address string, c syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error {
		var err error
		if controlErr := c.Control(func(fd uintptr) {
			err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
		}); controlErr != nil {
			return controlErr
		}
		return err
	}
}
