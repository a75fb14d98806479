package links_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"

	"parsleyroute.example/core/conn/links"
	"parsleyroute.example/core/process/clock"
	"parsleyroute.example/core/wire"
)

// Guards against an entry that takes bytes of an agent for the beginning of an answer,
// although they have a status out of range or an invalid field name.
func TestGarbledResponse(t *testing.T) {
	for _, header := range []string{
		"HTTP/1.1 000 OK\r\n", "HTTP/1.1 000 \r\n", "HTTP/1.1 200 OK\r\nX Trace: 1\r\n", "HTTP/1.1 200 OK\r\nContent-Length : 1\r\n", "HTTP/1.1 200 OK\r\nX\x01: 1\r\n",
	} {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = ln.Close() })
		go func() {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			defer func() { _ = c.Close() }()
			req, err := http.ReadRequest(bufio.NewReader(c))
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, req.Body)
			_, _ = io.WriteString(c, header+"Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n")
			_, _ = io.Copy(io.Discard, c)
		}()
		l := (&links.Link{Addr: netip.MustParseAddrPort(ln.Addr().String()), Clock: clock.Real{}, HTTP: http.DefaultClient}).Open()
		if s, err := l.Dispatch(&wire.Dispatch{}, nil); err == nil {
			_ = s.Close()
			t.Errorf("%q is read as a response", header)
		}
		_ = l.Close()
	}
}
