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
)

// ReadResponseHeader reads the header of one response, which may be an interim one. The
// header must fit into the buffer of br.
func ReadResponseHeader(br *bufio.Reader, h *fasthttp.ResponseHeader) error {
	if _, err := awaitHeader(br); err != nil {
		return err
	}
	return convertError(h.Read(br))
}

// CheckResponse checks the status of a response that package net/http has read.
func CheckResponse(resp *http.Response) error {
	if resp.StatusCode < minStatus || resp.StatusCode > maxStatus {
		return trace.BadParameter("the response has the status %03d, which is out of range", resp.StatusCode)
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

// awaitHeader reads into the buffer of br until it holds a complete header, checks it and
// returns its length. A line that is invalid is reported before the header is complete.
func awaitHeader(br *bufio.Reader) (int, error) {
	var c checker
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
	started bool
	status  int
}

// line checks one line with its line end, and reports whether it ends the header.
func (c *checker) line(line []byte) (done bool, err error) {
	line, err = trimLineEnd(line)
	switch {
	case err != nil:
		return false, err
	case !c.started:
		c.started = true
		return false, c.statusLine(line)
	}
	return len(line) == 0, nil
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
	return rest[1:], nil
}
