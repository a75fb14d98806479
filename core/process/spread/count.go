package spread

import (
	"io"
	"net/http"

	"parsleyroute.example/core/process/meter"
)

// lineSize is the size of a request or status line without the path, and of
// the headers that the HTTP library adds, in bytes. Measured sizes differ from
// it by some 20 bytes.
const lineSize = 90

func countSent(bytes int) {
	meter.Event("control_messages_sent")
	meter.AddEvents("control_bytes_sent", int64(bytes))
}

func countReceived(bytes int) {
	meter.Event("control_messages_received")
	meter.AddEvents("control_bytes_received", int64(bytes))
}

func headerSize(h http.Header) int {
	n := lineSize
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

// countedBody counts the bytes read.
type countedBody struct {
	io.ReadCloser
	r io.Reader
}

func (b *countedBody) Read(p []byte) (int, error) {
	n, err := b.r.Read(p)
	meter.AddEvents("control_bytes_received", int64(n))
	return n, err
}

// counted bounds and counts the requests of a handler and its answers.
func counted(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		countReceived(requestSize(r))
		r.Body = http.MaxBytesReader(w, r.Body, maxBody)
		cw := &countedWriter{ResponseWriter: w}
		next.ServeHTTP(cw, r)
		countSent(headerSize(w.Header()) + cw.n)
	})
}

type countedWriter struct {
	http.ResponseWriter
	n int
}

func (w *countedWriter) Write(p []byte) (int, error) {
	n, err := w.ResponseWriter.Write(p)
	w.n += n
	return n, err
}
