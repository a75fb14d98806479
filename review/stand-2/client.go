package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

var attempts atomic.Int64

// newAttempt returns the id of a new client attempt.
func newAttempt() string { return fmt.Sprintf("%016x", 0x9c41d07be2a35f68+uint64(attempts.Add(1))) }

// answer is what a client has received.
type answer struct {
	status int
	signed string
	body   string
	// err is set if there is no answer, or if it is incomplete.
	err error
}

// ask sends a request on a new connection and reads the answer.
func ask(addr, method, path, id string, deadline time.Duration, body string) answer {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(deadline))
	_, err = fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\nContent-Length: %d\r\n\r\n%s",
		method, path, host, headerAttempt, id, headerDeadline, deadline.Milliseconds(), len(body), body)
	if err != nil {
		return answer{err: err}
	}
	return readAnswer(c, method)
}

func readAnswer(c net.Conn, method string) answer {
	r, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: method})
	if err != nil {
		return answer{err: err}
	}
	var b strings.Builder
	_, err = io.Copy(&b, r.Body)
	_ = r.Body.Close()
	return answer{status: r.StatusCode, signed: r.Header.Get(headerSigned), body: b.String(), err: err}
}
