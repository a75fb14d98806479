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
	return readAnswerFrom(bufio.NewReader(c), method)
}

func readAnswerFrom(br *bufio.Reader, method string) answer {
	r, err := http.ReadResponse(br, &http.Request{Method: method})
	if err != nil {
		return answer{err: err}
	}
	var b strings.Builder
	_, err = io.Copy(&b, r.Body)
	_ = r.Body.Close()
	return answer{status: r.StatusCode, signed: r.Header.Get(headerSigned), body: b.String(), err: err}
}

// keptConn is a connection that a client uses for several requests.
type keptConn struct {
	c  net.Conn
	br *bufio.Reader
}

func keepConn(addr string) (*keptConn, error) {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return nil, err
	}
	return &keptConn{c: c, br: bufio.NewReader(c)}, nil
}

// ask sends a request and reads the answer.
func (k *keptConn) ask(path, id string, deadline time.Duration) answer {
	_ = k.c.SetDeadline(time.Now().Add(deadline))
	const body = "a brass plate"
	_, err := fmt.Fprintf(k.c, "POST %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\nContent-Length: %d\r\n\r\n%s",
		path, host, headerAttempt, id, headerDeadline, deadline.Milliseconds(), len(body), body)
	if err != nil {
		return answer{err: err}
	}
	return readAnswerFrom(k.br, "POST")
}
