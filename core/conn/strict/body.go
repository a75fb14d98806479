package strict

import (
	"bufio"
	"bytes"
	"errors"
	"io"

	"github.com/valyala/fasthttp"
)

// HasLength reports whether the end of the response with header h can be told from its
// bytes. The end of any other response is the end of its connection.
func HasLength(h *fasthttp.ResponseHeader, method []byte) bool {
	return h.ContentLength() >= -1 || !hasBody(h, method)
}

func hasBody(h *fasthttp.ResponseHeader, method []byte) bool {
	return !bytes.Equal(method, []byte(fasthttp.MethodHead)) && h.StatusCode() != fasthttp.StatusNoContent && h.StatusCode() != fasthttp.StatusNotModified
}

// NewBody returns a reader of the body that follows header h in br, in response to a
// request with the given method. The body of a response that HasLength ends with io.EOF
// only if it is complete.
func NewBody(br *bufio.Reader, h *fasthttp.ResponseHeader, method []byte) io.Reader {
	switch n := h.ContentLength(); {
	case !hasBody(h, method):
		return bytes.NewReader(nil)
	case n >= 0:
		return &lengthReader{r: br, remaining: n}
	case n == -1:
		return NewChunkedReader(br)
	}
	return br
}

// lengthReader reads a body of known length.
type lengthReader struct {
	r         io.Reader
	remaining int
}

// Read implements io.Reader.
func (l *lengthReader) Read(p []byte) (int, error) {
	if l.remaining == 0 {
		return 0, io.EOF
	}
	n, err := l.r.Read(p[:min(len(p), l.remaining)])
	l.remaining -= n
	if errors.Is(err, io.EOF) {
		if l.remaining > 0 {
			return n, io.ErrUnexpectedEOF
		}
		err = nil
	}
	return n, err
}
