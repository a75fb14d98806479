package proxy

import (
	"net"

	"github.com/gravitational/trace"
	"golang.org/x/sys/unix"
)

// Silence makes the open connections of a link silent for good: they stay open, but
// carry nothing any more, and the clients' packets are not acknowledged. New
// connections work. It returns the number of silent connections.
func (s *Server) Silence(name string) (int, error) {
	s.mu.Lock()
	l := s.links[name]
	s.mu.Unlock()
	if l == nil {
		return 0, trace.NotFound("the link %q does not exist", name)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for fc := range l.conns {
		fc.silent.Store(true)
		if err := dropReceived(fc.client); err != nil {
			return 0, err
		}
	}
	return len(l.conns), nil
}

// dropReceived makes the kernel drop all packets that it receives on a connection,
// before it would acknowledge them.
func dropReceived(c net.Conn) error {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return trace.BadParameter("a connection of type %T cannot be made silent", c)
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	// A filter that accepts no byte of a packet drops it.
	filter := unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K}
	program := unix.SockFprog{Len: 1, Filter: &filter}
	var optErr error
	if err := raw.Control(func(fd uintptr) {
		optErr = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &program)
	}); err != nil {
		return trace.ConvertSystemError(err)
	}
	return trace.ConvertSystemError(optErr)
}
