package strict_test

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/gravitational/trace"
	. "github.com/onsi/gomega"
	"github.com/valyala/fasthttp"

	"parsleyroute.example/core/conn/strict"
)

const (
	testBuffer = 4 << 10
	// text matches the bytes of a value or reason, as Latin-1 characters.
	text      = `[\t \x21-\x7e\x{80}-\x{ff}]*`
	fieldLine = "([!#$%&'*+\\-.^_`|~0-9A-Za-z]+):(" + text + ")\r\n"
)

// The grammar of RFC 9112 by which the readers are checked.
var (
	responseGrammar = regexp.MustCompile(`^HTTP/1\.([01]) ([1-5][0-9]{2})( ` + text + `)?\r\n((?:` + fieldLine + `)*)\r\n`)
	requestGrammar  = regexp.MustCompile("^[!#$%&'*+\\-.^_`|~0-9A-Za-z]+ " + `[\x21-\x7e\x{80}-\x{ff}]+ HTTP/1\.([01])\r\n((?:` + fieldLine + `)*)\r\n`)
	fieldGrammar    = regexp.MustCompile(fieldLine)
	chunkGrammar    = regexp.MustCompile(`^([0-9A-Fa-f]{1,15})([ \t]*;` + text + `)?\r\n`)
	trailerGrammar  = regexp.MustCompile(`^(?:` + fieldLine + `)*\r\n`)
)

// latin1 converts bytes to a string with one character for each of them.
func latin1(b []byte) string {
	r := make([]rune, len(b))
	for i, c := range b {
		r[i] = rune(c)
	}
	return string(r)
}

// wellFramed reports whether the fields determine one length of the body.
func wellFramed(fields string, http10 bool, status string) bool {
	var lengths, encodings []string
	for _, m := range fieldGrammar.FindAllStringSubmatch(fields, -1) {
		switch value := strings.Trim(m[2], " \t"); {
		case strings.EqualFold(m[1], "Content-Length"):
			lengths = append(lengths, value)
		case strings.EqualFold(m[1], "Transfer-Encoding"):
			encodings = append(encodings, value)
		}
	}
	switch {
	case len(encodings) > 0:
		return len(encodings) == 1 && len(lengths) == 0 && strings.EqualFold(encodings[0], "chunked") && !http10 && status != "204" && !strings.HasPrefix(status, "1")
	case len(lengths) > 0:
		return len(lengths) == 1 && regexp.MustCompile(`^[0-9]{1,18}$`).MatchString(lengths[0])
	}
	return true
}

// validResponse returns the length of the response header at the start of b by the grammar,
// and its status.
func validResponse(b []byte) (length, status int, ok bool) {
	m := responseGrammar.FindStringSubmatch(latin1(b))
	if m == nil || !wellFramed(m[4], m[1] == "0", m[2]) {
		return 0, 0, false
	}
	status, _ = strconv.Atoi(m[2])
	return len([]rune(m[0])), status, true
}

func readResponse(data []byte) (*fasthttp.ResponseHeader, *bufio.Reader, error) {
	br := bufio.NewReaderSize(iotest.OneByteReader(bytes.NewReader(data)), testBuffer)
	h := &fasthttp.ResponseHeader{}
	h.SetNoDefaultContentType(true)
	return h, br, strict.ReadResponseHeader(br, h)
}

var responses = []string{
	"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody",
	"HTTP/1.0 404 Not Found\r\nServer: x\r\n\r\n",
	"HTTP/1.1 204\r\n\r\n",
	"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n\r\n",
	"HTTP/1.1 599 \xe9t\xe9\r\nTransfer-Encoding: Chunked\r\nX:\r\nY: \tz \r\n\r\n0\r\n\r\n",
	"HTTP/1.1 000 \r\n\r\n",
	"HTTP/1.1 099 x\r\n\r\n",
	"HTTP/1.1 600 x\r\n\r\n",
	"HTTP/1.1 999 x\r\n\r\n",
	"HTTP/1.1 +20 x\r\n\r\n",
	"HTTP/1.1 2000 x\r\n\r\n",
	"HTTP/1.1  200 x\r\n\r\n",
	"HTTP/1.1 200\tx\r\n\r\n",
	"HTTP/1.1\r\n\r\n",
	"HTTP/1.2 200 OK\r\n\r\n",
	"HTTP/2.0 200 OK\r\n\r\n",
	"http/1.1 200 OK\r\n\r\n",
	"\r\nHTTP/1.1 200 OK\r\n\r\n",
	"HTTP/1.1 200 OK\n\n",
	"HTTP/1.1 200 OK\r\nX: 1\n\r\n",
	"HTTP/1.1 200 O\x00K\r\n\r\n",
	"HTTP/1.1 200 OK\r\nX Trace: 1\r\n\r\n",
	"HTTP/1.1 200 OK\r\nContent-Length : 4\r\n\r\nbody",
	"HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n0\r\n\r\n",
	"HTTP/1.1 200 OK\r\n: 1\r\n\r\n",
	"HTTP/1.1 200 OK\r\nX\x01Y: 1\r\n\r\n",
	"HTTP/1.1 200 OK\r\nX\x7f: 1\r\n\r\n",
	"HTTP/1.1 200 OK\r\n\xe9: 1\r\n\r\n",
	"HTTP/1.1 200 OK\r\nX: a\x00b\r\n\r\n",
	"HTTP/1.1 200 OK\r\nX: a\rb\r\n\r\n",
	"HTTP/1.1 200 OK\r\nX: a\r\n b\r\n\r\n",
	"HTTP/1.1 200 OK\r\nno colon\r\n\r\n",
	"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 4\r\n\r\nbody",
	"HTTP/1.1 200 OK\r\nContent-Length: 4, 4\r\n\r\nbody",
	"HTTP/1.1 200 OK\r\nContent-Length: +4\r\n\r\nbody",
	"HTTP/1.1 200 OK\r\nContent-Length: 9999999999999999999\r\n\r\nbody",
	"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
	"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	"HTTP/1.1 204 x\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
}

// Guards against bytes that are no response header by the grammar and are read as one, with
// defaults for what cannot be read, and against the refusal of valid ones.
func FuzzResponseHeader(f *testing.F) {
	for _, r := range responses {
		f.Add([]byte(r))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		length, status, valid := validResponse(data)
		h, br, err := readResponse(data)
		switch {
		case err == nil && !valid:
			t.Fatalf("%q is accepted", data)
		case valid && length <= testBuffer && err != nil:
			t.Fatalf("%q is refused: %v", data[:length], err)
		case err != nil:
			return
		}
		if h.StatusCode() != status {
			t.Fatalf("%q is read with status %d", data, h.StatusCode())
		}
		rest, _ := io.ReadAll(br)
		if !bytes.Equal(rest, data[length:]) {
			t.Fatalf("%q: %q is left after the header", data, rest)
		}
	})
}

// Guards against status 000 and others out of range, which fasthttp reads as 200 or passes
// on.
func TestStatusOutOfRange(t *testing.T) {
	g := NewWithT(t)
	for status := range 1000 {
		_, _, err := readResponse([]byte("HTTP/1.1 " + strconv.Itoa(1000 + status)[1:] + " x\r\n\r\n"))
		g.Expect(trace.IsBadParameter(err)).To(Equal(status < 100 || status > 599), "status %03d: %v", status, err)
	}
}

// Guards against field names with blanks or control bytes, which fasthttp accepts and
// whose framing it uses.
func TestFieldNames(t *testing.T) {
	g := NewWithT(t)
	for c := range 256 {
		for _, name := range []string{"Content-Length" + string([]byte{byte(c)}), "X" + string([]byte{byte(c)}) + "Y", string([]byte{byte(c)}) + "X"} {
			_, _, err := readResponse([]byte("HTTP/1.1 200 x\r\n" + name + ": 1\r\n\r\n"))
			_, _, valid := validResponse([]byte("HTTP/1.1 200 x\r\n" + name + ": 1\r\n\r\n"))
			g.Expect(err == nil).To(Equal(valid), "%q: %v", name, err)
			h := &fasthttp.RequestHeader{}
			err = strict.ReadRequestHeader(bufio.NewReader(strings.NewReader("GET / HTTP/1.1\r\nHost: h\r\n"+name+": 1\r\n\r\n")), h)
			g.Expect(err == nil).To(Equal(valid), "request, %q: %v", name, err)
		}
	}
}

// Guards against request headers that two parsers read differently, and against the refusal
// of valid ones.
func FuzzRequestHeader(f *testing.F) {
	for _, r := range []string{
		"GET / HTTP/1.1\r\nHost: h\r\n\r\n",
		"POST /a?b=%20 HTTP/1.0\r\nContent-Length: 4\r\n\r\nbody",
		"POST /\xc3\xa9 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"GET  / HTTP/1.1\r\nHost: h\r\n\r\n",
		"GET /a b HTTP/1.1\r\nHost: h\r\n\r\n",
		"GET /\tb HTTP/1.1\r\nHost: h\r\n\r\n",
		"GET / HTTP/1.1 \r\nHost: h\r\n\r\n",
		"GET /\r\n\r\n",
		"G\x01T / HTTP/1.1\r\nHost: h\r\n\r\n",
		"GET / HTTP/1.1\nHost: h\n\n",
		"GET / HTTP/1.1\r\nHost : h\r\n\r\n",
		"POST / HTTP/1.1\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n",
	} {
		f.Add([]byte(r))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		m := requestGrammar.FindStringSubmatch(latin1(data))
		valid := m != nil && wellFramed(m[2], m[1] == "0", "")
		h := &fasthttp.RequestHeader{}
		br := bufio.NewReaderSize(bytes.NewReader(data), testBuffer)
		if err := strict.ReadRequestHeader(br, h); err == nil && !valid {
			t.Fatalf("%q is accepted", data)
		} else if err == nil {
			rest, _ := io.ReadAll(br)
			if length := len([]rune(m[0])); !bytes.Equal(rest, data[length:]) {
				t.Fatalf("%q: %q is left after the header", data, rest)
			}
		}
	})
}

// validChunked returns the content and the length of the chunked body at the start of b by
// the grammar.
func validChunked(b []byte) (content []byte, length int, ok bool) {
	for rest := b; ; {
		m := chunkGrammar.FindStringSubmatch(latin1(rest))
		if m == nil {
			return nil, 0, false
		}
		size, _ := strconv.ParseInt(m[1], 16, 64)
		rest = rest[len([]rune(m[0])):]
		if size == 0 {
			trailer := trailerGrammar.FindString(latin1(rest))
			for _, m := range fieldGrammar.FindAllStringSubmatch(trailer, -1) {
				if strings.EqualFold(m[1], "Content-Length") || strings.EqualFold(m[1], "Transfer-Encoding") {
					return nil, 0, false
				}
			}
			if trailer == "" {
				return nil, 0, false
			}
			return content, len(b) - len(rest) + len([]rune(trailer)), true
		}
		if int64(len(rest)) < size+2 || string(rest[size:size+2]) != "\r\n" {
			return nil, 0, false
		}
		content = append(content, rest[:size]...)
		rest = rest[size+2:]
	}
}

// Guards against chunked bodies that are cut off or malformed and look complete, and
// against the refusal of valid ones.
func FuzzChunkedBody(f *testing.F) {
	for _, b := range []string{
		"4\r\nbody\r\n0\r\n\r\n", "4;x=y\r\nbody\r\n0\r\nX: 1\r\n\r\nrest", "00004 ;x\r\nbody\r\n0\r\n\r\n", "0\r\n\r\n",
		"4\r\nbody\r\n", "4\r\nbody\r\n0\r\n", "4\nbody\n0\n\n", "4\r\nbodyx\r\n0\r\n\r\n", "-4\r\nbody\r\n0\r\n\r\n", "+4\r\nbody\r\n0\r\n\r\n",
		"0x4\r\nbody\r\n0\r\n\r\n", " 4\r\nbody\r\n0\r\n\r\n", "4 \r\nbody\r\n0\r\n\r\n", "\r\n", "fffffffffffffffff\r\n", "4_0\r\nbody\r\n",
		"0\r\nX Y: 1\r\n\r\n", "0\r\nContent-Length: 1\r\n\r\n", "0\r\nX\x01: 1\r\n\r\n", "4;\x00\r\nbody\r\n0\r\n\r\n",
	} {
		f.Add([]byte(b))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		if len(data) > testBuffer {
			return
		}
		content, length, valid := validChunked(data)
		br := bufio.NewReaderSize(bytes.NewReader(data), testBuffer)
		got, err := io.ReadAll(strict.NewChunkedReader(br))
		switch {
		case valid && trace.IsLimitExceeded(err):
			return // many trailer lines
		case (err == nil) != valid:
			t.Fatalf("%q: valid %t, error %v", data, valid, err)
		case err != nil:
			return
		}
		rest, _ := io.ReadAll(br)
		if !bytes.Equal(got, content) || !bytes.Equal(rest, data[length:]) {
			t.Fatalf("%q is read as %q, %q is left", data, got, rest)
		}
	})
}

// endlessReader repeats its bytes without end.
type endlessReader string

func (e endlessReader) Read(p []byte) (int, error) {
	n := 0
	for n < len(p) {
		n += copy(p[n:], e)
	}
	return n, nil
}

// Guards against bytes without end in a header, a line of a chunked body or a trailer, all
// of which a reader would keep.
func TestEndlessLines(t *testing.T) {
	g := NewWithT(t)
	for _, prefix := range []string{"", "HTTP/1.1 200 ", "HTTP/1.1 200 x\r\nX: "} {
		h := &fasthttp.ResponseHeader{}
		err := strict.ReadResponseHeader(bufio.NewReaderSize(io.MultiReader(strings.NewReader(prefix), endlessReader("x")), testBuffer), h)
		g.Expect(trace.IsLimitExceeded(err)).To(BeTrue(), "%q: %v", prefix, err)
	}
	h := &fasthttp.ResponseHeader{}
	err := strict.ReadResponseHeader(bufio.NewReaderSize(io.MultiReader(strings.NewReader("HTTP/1.1 200 x\r\n"), endlessReader("X: 1\r\n")), testBuffer), h)
	g.Expect(trace.IsLimitExceeded(err)).To(BeTrue(), "%v", err)
	for _, prefix := range []string{"", "1;", "0\r\nX: "} {
		_, err := io.ReadAll(strict.NewChunkedReader(bufio.NewReaderSize(io.MultiReader(strings.NewReader(prefix), endlessReader("1")), testBuffer)))
		g.Expect(err).To(HaveOccurred(), "%q", prefix)
	}
	_, err = io.ReadAll(strict.NewChunkedReader(bufio.NewReaderSize(io.MultiReader(strings.NewReader("0\r\n"), endlessReader("X: 1\r\n")), testBuffer)))
	g.Expect(trace.IsLimitExceeded(err)).To(BeTrue(), "%v", err)
}

// Guards against a message that ends early and is reported as no message at all, or as
// complete.
func TestCutOff(t *testing.T) {
	g := NewWithT(t)
	const message = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nX: 1\r\n\r\n"
	for n := range len(message) {
		_, br, err := readResponse([]byte(message[:n]))
		if err == nil {
			_, err = io.ReadAll(strict.NewChunkedReader(br))
		}
		if n == 0 {
			g.Expect(err).To(Equal(io.EOF))
			continue
		}
		g.Expect(errors.Is(err, io.ErrUnexpectedEOF)).To(BeTrue(), "%q: %v", message[:n], err)
	}
}

// Guards against a client of another parser that gets a response with status 000, or with a
// length that its peer has not stated, through a Conn.
func TestConn(t *testing.T) {
	g := NewWithT(t)
	for response, wantBody := range map[string]string{
		"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody":                                     "body",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody":        "body",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nbo\r\n2\r\ndy\r\n0\r\n\r\n": "body",
		"HTTP/1.1 000 \r\nContent-Length: 4\r\n\r\nbody":                                       "",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 x\r\nContent-Length: 4\r\n\r\nbody":         "",
		"HTTP/1.1 200 OK\r\nContent-Length : 2\r\nContent-Length: 4\r\n\r\nbody":               "",
		"HTTP/1.1 200 OK\r\nX Y: 2\r\nContent-Length: 4\r\n\r\nbody":                           "",
	} {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		g.Expect(err).NotTo(HaveOccurred())
		go func() {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			defer func() { _ = c.Close() }()
			// Each of two requests on one connection gets the response.
			br := bufio.NewReader(c)
			for range 2 {
				var req fasthttp.Request
				if req.Read(br) != nil {
					return
				}
				for _, b := range []byte(response) {
					if _, err := c.Write([]byte{b}); err != nil {
						return
					}
				}
			}
		}()
		client := &fasthttp.HostClient{Addr: ln.Addr().String(), MaxIdemponentCallAttempts: 1, Dial: func(addr string) (net.Conn, error) {
			c, err := net.Dial("tcp", addr)
			if err != nil {
				return nil, err
			}
			return strict.NewConn(c), nil
		}}
		for range 2 {
			status, body, err := client.Get(nil, "http://"+ln.Addr().String()+"/")
			if wantBody == "" {
				g.Expect(err).To(HaveOccurred(), "%q: status %d", response, status)
				break
			}
			g.Expect(err).NotTo(HaveOccurred(), "%q", response)
			g.Expect(string(body)).To(Equal(wantBody))
		}
		_ = ln.Close()
	}
}
