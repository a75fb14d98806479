package main

import (
	"fmt"
	"net"
	"time"
)

// eventCount is the number of events of the sheet's streams.
const eventCount = 24

// writeEvents writes a stream with the given number of events, without those up to the one
// that the request names. It reports whether the stream is whole.
func writeEvents(w *worker, c net.Conn, r *request, gap time.Duration, count int) bool {
	first := 1
	if last := r.Header.Get("Last-Event-Id"); last != "" {
		_, _ = fmt.Sscanf(last, "%d", &first)
		first++
	}
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s.%s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
		headerAttempt, r.id, headerSigned, w.id, r.id)
	for id := first; id <= count; id++ {
		time.Sleep(gap)
		event := fmt.Sprintf("id: %d\ndata: piece %d of %d\n\n", id, id, count)
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event); err != nil {
			return false
		}
	}
	_, err := fmt.Fprint(c, "0\r\n\r\n")
	return err == nil
}
