package strict

import (
	"bufio"
	"bytes"
	"net"

	"github.com/gravitational/trace"
)

// connBuffer is the maximum size in bytes of a response header on a Conn.
const connBuffer = 16 << 10

// Conn is a client's connection on which the headers of responses are checked before the
// parser that reads from it sees them. Each request must be written completely before its
// response is read.
type Conn struct {
	net.Conn

	br *bufio.Reader
	// inBody is set once the final header of a response has been read, and header holds
	// the part of a header that was checked but not read.
	inBody bool
	header []byte
}

// NewConn returns a Conn on c.
func NewConn(c net.Conn) *Conn { return &Conn{Conn: c, br: bufio.NewReaderSize(c, connBuffer)} }

// Write implements net.Conn. The next response begins after a write. Bytes that are left of
// the last one belong to no request.
func (c *Conn) Write(p []byte) (int, error) {
	if c.inBody && c.br.Buffered() > 0 {
		return 0, trace.BadParameter("the connection has %d unread bytes", c.br.Buffered())
	}
	c.inBody = false
	return c.Conn.Write(p)
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	if len(c.header) == 0 && !c.inBody {
		n, err := awaitHeader(c.br, responseKind)
		if err != nil {
			return 0, err
		}
		header, _ := c.br.Peek(n)
		c.header = bytes.Clone(header)
		_, _ = c.br.Discard(n)
		// The status is the three bytes after the version, of which the first is 1 in
		// an interim response.
		c.inBody = c.header[len("HTTP/1.1 ")] != '1'
	}
	if len(c.header) > 0 {
		n := copy(p, c.header)
		c.header = c.header[n:]
		return n, nil
	}
	return c.br.Read(p)
}
