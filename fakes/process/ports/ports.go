// Package ports allocates loopback addresses for the servers of tests.
package ports

import (
	"net/netip"
	"os"
	"sync"
)

const (
	// first and limit bound the ports: they are below those of outgoing connections.
	first = 10000
	limit = 32000
)

var allocated = struct {
	sync.Mutex
	port int
}{port: first}

// Next returns an address that no other process returns, and this one only once all ports
// have been returned. Each process has an IP address of its own in the loopback network, so
// that no socket has to be opened to find a free port: a process that is being started holds
// a copy of it until it runs its own program, and the port would still be in use.
func Next() netip.AddrPort {
	allocated.Lock()
	defer allocated.Unlock()
	if allocated.port++; allocated.port >= limit {
		allocated.port = first
	}
	pid := os.Getpid()
	ip := netip.AddrFrom4([4]byte{127, 64 | byte(pid>>16)&63, byte(pid >> 8), byte(pid)})
	return netip.AddrPortFrom(ip, uint16(allocated.port))
}
