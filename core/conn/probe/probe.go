// Package probe detects that the peer of a TCP connection has closed it, without
// reading from the connection. fasthttp does not report a caller that
// disconnects while its request is handled.
package probe

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Interval is the time between two probes of Watch.
const Interval = 100 * time.Millisecond

// Closed reports whether the peer has closed the connection. It is false for
// connections that cannot be probed.
func Closed(conn net.Conn) bool {
	closed, _ := peek(conn)
	return closed
}

// Idle reports whether the connection is open and has no unread data.
func Idle(conn net.Conn) bool {
	closed, unread := peek(conn)
	return !closed && !unread
}

// peek looks at the receive buffer of the connection's socket without reading
// from it.
func peek(conn net.Conn) (closed, unread bool) {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return false, false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return true, false
	}
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		closed = err == nil && n == 0 || err == unix.ECONNRESET
		unread = err == nil && n > 0
	})
	return closed || err != nil, unread
}

// Watch calls onClose once if the peer closes the connection before ctx ends.
func Watch(ctx context.Context, conn net.Conn, onClose func()) {
	t := time.NewTicker(Interval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			if Closed(conn) {
				onClose()
				return
			}
		}
	}
}
