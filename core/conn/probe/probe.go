// Package probe tells whether the peer of a TCP connection has closed it,
// without reading from the connection. fasthttp does not report a caller that
// goes away while its request is being handled.
package probe

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Interval is how often Watch looks.
const Interval = 100 * time.Millisecond

// Closed reports whether the peer has closed the connection. It is false for
// connections that cannot be probed.
func Closed(conn net.Conn) bool {
	closed, _ := look(conn)
	return closed
}

// Idle reports whether the connection is open and nothing waits to be read on
// it.
func Idle(conn net.Conn) bool {
	closed, unread := look(conn)
	return !closed && !unread
}

func look(conn net.Conn) (closed, unread bool) {
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

// Watch calls gone once if the peer closes the connection before ctx ends.
func Watch(ctx context.Context, conn net.Conn, gone func()) {
	t := time.NewTicker(Interval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			if Closed(conn) {
				gone()
				return
			}
		}
	}
}
