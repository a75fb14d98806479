package gossip

import (
	"errors"
	"net"
)

// isClosed reports whether the socket was closed by Run.
func isClosed(err error) bool { return errors.Is(err, net.ErrClosed) }
