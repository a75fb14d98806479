package strict

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"

	"github.com/gravitational/trace"
	"github.com/valyala/fasthttp"
)

const (
	// minStatus and maxStatus limit the status of a response (RFC 9110, section 15).
	minStatus = 100
	maxStatus = 599
	// maxLengthDigits limits a Content-Length to numbers that an int64 holds.
	maxLengthDigits = 18
)

// ReadResponseHeader reads the header of one response, which may be an interim one. The
// header must fit into the buffer of br.
func ReadResponseHeader(br *bufio.Reader, h *fasthttp.ResponseHeader) error {
	if _, err := awaitHeader(br, responseKind); err != nil {
		return err
	}
	return convertError(h.Read(br))
}

// ReadRequestHeader reads the header of one request, which must fit into the buffer of br.
func ReadRequestHeader(br *bufio.Reader, h *fasthttp.RequestHeader) error {
	if _, err := awaitHeader(br, requestKind); err != nil {
		return err
	}
	return convertError(h.Read(br))
}

// CheckResponse checks what package net/http does not of a response that it has read: the
// status and the names of the fields.
func CheckResponse(resp *http.Response) error {
	if resp.StatusCode < minStatus || resp.StatusCode > maxStatus {
		return trace.BadParameter("the response has the status %03d, which is out of range", resp.StatusCode)
	}
	for name := range resp.Header {
		if !isToken([]byte(name)) {
			return trace.BadParameter("the response has the invalid field name %q", name)
		}
	}
	return nil
}

// convertError converts an error of a header that is complete and valid by the grammar.
func convertError(err error) error {
	if err == nil {
		return nil
	}
	return trace.BadParameter("the header cannot be read: %s", err)
}

// kind is the kind of a message.
type kind int

const (
	responseKind kind = iota
	requestKind
)

// awaitHeader reads into the buffer of br until it holds a complete header, checks it and
// returns its length. A line that is invalid is reported before the header is complete.
func awaitHeader(br *bufio.Reader, k kind) (int, error) {
	c := checker{kind: k}
	checked := 0
	for {
		buffered, _ := br.Peek(br.Buffered())
		for {
			n := bytes.IndexByte(buffered[checked:], '\n')
			if n < 0 {
				break
			}
			done, err := c.line(buffered[checked : checked+n+1])
			if err != nil {
				return 0, err
			}
			if checked += n + 1; done {
				return checked, nil
			}
		}
		if _, err := br.Peek(br.Buffered() + 1); err != nil {
			switch {
			case errors.Is(err, bufio.ErrBufferFull):
				return 0, trace.LimitExceeded("the header exceeds %d bytes", br.Size())
			case errors.Is(err, io.EOF) && br.Buffered() > 0:
				return 0, io.ErrUnexpectedEOF
			}
			return 0, err
		}
	}
}

// checker checks the lines of one header.
type checker struct {
	kind    kind
	started bool
	http10  bool
	status  int
	framing framing
}

// line checks one line with its line end, and reports whether it ends the header.
func (c *checker) line(line []byte) (done bool, err error) {
	line, err = trimLineEnd(line)
	switch {
	case err != nil:
		return false, err
	case !c.started:
		c.started = true
		if c.kind == requestKind {
			return false, c.requestLine(line)
		}
		return false, c.statusLine(line)
	case len(line) > 0:
		return false, c.framing.field(line)
	}
	return true, c.framing.check(c)
}

// trimLineEnd returns a line without its line end, which must be CRLF.
func trimLineEnd(line []byte) ([]byte, error) {
	line, ok := bytes.CutSuffix(line, []byte("\r\n"))
	if !ok {
		return nil, trace.BadParameter("a line ends without a carriage return")
	}
	return line, nil
}

// statusLine checks a line of the form HTTP-version SP 3DIGIT [ SP reason-phrase ].
func (c *checker) statusLine(line []byte) error {
	rest, err := c.version(line)
	if err != nil {
		return err
	}
	rest, ok := bytes.CutPrefix(rest, []byte(" "))
	if !ok || len(rest) < 3 {
		return trace.BadParameter("the status line has no status")
	}
	for _, d := range rest[:3] {
		if d < '0' || d > '9' {
			return trace.BadParameter("the status line has no status of three digits")
		}
		c.status = 10*c.status + int(d-'0')
	}
	if c.status < minStatus || c.status > maxStatus {
		return trace.BadParameter("the status line has the status %03d, which is out of range", c.status)
	}
	if reason := rest[3:]; len(reason) > 0 && (reason[0] != ' ' || !isText(reason)) {
		return trace.BadParameter("the status line has an invalid reason")
	}
	return nil
}

// version cuts the protocol version from the start of a line.
func (c *checker) version(line []byte) ([]byte, error) {
	rest, ok := bytes.CutPrefix(line, []byte("HTTP/1."))
	if !ok || len(rest) == 0 || rest[0] != '0' && rest[0] != '1' {
		return nil, trace.BadParameter("the message is not HTTP/1.0 or HTTP/1.1")
	}
	c.http10 = rest[0] == '0'
	return rest[1:], nil
}

// requestLine checks a line of the form method SP request-target SP HTTP-version. Bytes
// above 127 are allowed in the target, since callers send them.
func (c *checker) requestLine(line []byte) error {
	method, rest, ok := bytes.Cut(line, []byte(" "))
	if !ok || !isToken(method) {
		return trace.BadParameter("the request line has no valid method")
	}
	target, version, ok := bytes.Cut(rest, []byte(" "))
	if !ok || len(target) == 0 || !isText(target) || bytes.IndexByte(target, '\t') >= 0 {
		return trace.BadParameter("the request line has no valid target")
	}
	rest, err := c.version(version)
	if err != nil {
		return err
	}
	if len(rest) > 0 {
		return trace.BadParameter("the request line has bytes after the version")
	}
	return nil
}
