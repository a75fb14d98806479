package spread

import (
	"io"
	"net/http"

	"parsleyroute.example/core/process/meter"
)

// messageOverheadBytes is the size of a request or status line without the path
// plus the headers that the HTTP library adds. Actual sizes differ from it by
// about 20 bytes.
const messageOverheadBytes = 90

func countSent(bytes int) {
	meter.Event("control_messages_sent")
	meter.AddEvents("control_bytes_sent", int64(bytes))
}

func countReceived(bytes int) {
	meter.Event("control_messages_received")
	meter.AddEvents("control_bytes_received", int64(bytes))
}

func headerSize(h http.Header) int {
	n := messageOverheadBytes
	for name, values := range h {
		for _, v := range values {
			n += len(name) + len(v) + 4
		}
	}
	return n
}

func requestSize(r *http.Request) int {
	return headerSize(r.Header) + len(r.URL.Path) + int(max(r.ContentLength, 0))
}

// countingBody counts the bytes read from a response body as received.
type countingBody struct {
	io.ReadCloser
	r io.Reader
}

func (b *countingBody) Read(p []byte) (int, error) {
	n, err := b.r.Read(p)
	meter.AddEvents("control_bytes_received", int64(n))
	return n, err
}

// countTraffic limits the size of request bodies and counts the requests and
// responses of next.
func countTraffic(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		countReceived(requestSize(r))
		r.Body = http.MaxBytesReader(w, r.Body, maxBodyBytes)
		cw := &countingWriter{ResponseWriter: w}
		next.ServeHTTP(cw, r)
		countSent(headerSize(w.Header()) + cw.n)
	})
}

type countingWriter struct {
	http.ResponseWriter
	n int
}

func (w *countingWriter) Write(p []byte) (int, error) {
	n, err := w.ResponseWriter.Write(p)
	w.n += n
	return n, err
}
