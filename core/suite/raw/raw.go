// Package raw is a server of tests that answers requests with raw bytes, whether they are a
// response or not.
package raw

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"
)

// Headers of responses that are none by the grammar, up to the fields that state the
// length of the body: with a status out of range, and with an invalid field name.
var (
	BadStatus = []string{"HTTP/1.1 000 \r\n", "HTTP/1.1 000 OK\r\n", "HTTP/1.1 099 x\r\n", "HTTP/1.1 600 x\r\n"}
	BadFields = []string{
		"HTTP/1.1 200 OK\r\nX Trace: 1\r\n", "HTTP/1.1 200 OK\r\nX : 1\r\n", "HTTP/1.1 200 OK\r\nX\x01Y: 1\r\n", "HTTP/1.1 200 OK\r\nContent-Length : 1\r\n",
	}
)

// Start starts a server at a free port of the loopback address, until the end of the test.
// It calls respond for each request on each connection, once the request has been read.
func Start(t *testing.T, respond func(c net.Conn) error) netip.AddrPort {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go serve(c, respond)
		}
	}()
	return netip.MustParseAddrPort(ln.Addr().String())
}

func serve(c net.Conn, respond func(c net.Conn) error) {
	defer func() { _ = c.Close() }()
	br := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil || respond(c) != nil {
			return
		}
	}
}

// Write returns a function for Start that writes the given bytes.
func Write(response string) func(c net.Conn) error {
	return func(c net.Conn) error {
		_, err := io.WriteString(c, response)
		return err
	}
}
