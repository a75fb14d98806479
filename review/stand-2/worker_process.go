package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"time"
)

const (
	// eventCount is that of the sheet's streams. The time between two events is within the
	// sheet's 120 ms.
	eventCount = 24
	eventGap   = 60 * time.Millisecond
)

// workerSettings are the settings of a worker that is a process of its own.
type workerSettings struct {
	ID string
	// Unframed selects streams that have neither a length nor chunks and end with their
	// connection.
	Unframed bool
}

// workerProcess serves streams until it is killed. It prints its address.
func workerProcess(settings string) int {
	var s workerSettings
	if err := json.Unmarshal([]byte(settings), &s); err != nil {
		return couldNot
	}
	w, err := startWorker(s.ID, 12, func(w *worker, c net.Conn, r *request) bool {
		fmt.Printf("%s runs %s after event %q\n", w.id, r.id, r.Header.Get("Last-Event-Id"))
		return streamEvents(w, c, r, s.Unframed, eventGap)
	})
	if err != nil {
		return couldNot
	}
	fmt.Println(w.addr())
	select {}
}

// streamEvents writes the events after the one that the request names. Each event is
// written at once, as a whole.
func streamEvents(w *worker, c net.Conn, r *request, unframed bool, gap time.Duration) bool {
	return writeEvents(w, c, r, unframed, gap, eventCount)
}

// writeEvents is streamEvents for a stream of the given number of events.
func writeEvents(w *worker, c net.Conn, r *request, unframed bool, gap time.Duration, count int) bool {
	first := 1
	_, _ = fmt.Sscanf(r.Header.Get("Last-Event-Id"), "%d", &first)
	if r.Header.Get("Last-Event-Id") != "" {
		first++
	}
	framing := "Transfer-Encoding: chunked"
	if unframed {
		framing = "Connection: close"
	}
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s.%s\r\nContent-Type: text/event-stream\r\n%s\r\n\r\n",
		headerAttempt, r.id, headerSigned, w.id, r.id, framing)
	for id := first; id <= count; id++ {
		time.Sleep(gap)
		event := fmt.Sprintf("id: %d\ndata: piece %d of %d\n\n", id, id, count)
		if !unframed {
			event = fmt.Sprintf("%x\r\n%s\r\n", len(event), event)
		}
		if _, err := c.Write([]byte(event)); err != nil {
			return false
		}
	}
	if !unframed {
		_, _ = fmt.Fprint(c, "0\r\n\r\n")
	}
	return !unframed
}

// startWorkerProcess starts a worker as a process of its own and returns its address. It
// records what the worker runs.
func startWorkerProcess(r *record, s workerSettings) (cmd *exec.Cmd, addr string, err error) {
	settings, err := json.Marshal(s)
	if err != nil {
		return nil, "", err
	}
	cmd = exec.Command(os.Args[0], workerArg, string(settings))
	out, err := cmd.StdoutPipe()
	if err != nil {
		return nil, "", err
	}
	if err := startChild(cmd); err != nil {
		return nil, "", err
	}
	lines := bufio.NewScanner(out)
	if !lines.Scan() {
		return cmd, "", io.ErrUnexpectedEOF
	}
	addr = lines.Text()
	go func() {
		for lines.Scan() {
			r.printf("worker %s", lines.Text())
		}
	}()
	return cmd, addr, nil
}
