package soak_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"parsleyroute.example/core"
	"parsleyroute.example/core/process/side"
	"parsleyroute.example/core/suite/raw"
	"parsleyroute.example/fakes/process/ports"
	"parsleyroute.example/fakes/process/site"
	"parsleyroute.example/fakes/process/worker"
)

// peakMB returns the largest resident memory that a process has had.
func peakMB(t *testing.T, pid int) int {
	t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		t.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(status), "VmHWM:")
	kb, err := strconv.Atoi(strings.Fields(rest)[0])
	if err != nil {
		t.Fatal(err)
	}
	return kb >> 10
}

// writeEndless repeats bytes until the peer closes the connection. It writes the given
// number of bytes a second, so that many responses grow at the same time.
func writeEndless(c io.Writer, repeated string, rate int) {
	const partSize = 20 << 10
	part := strings.Repeat(repeated, max(1, partSize/len(repeated)))
	for {
		if _, err := io.WriteString(c, part); err != nil {
			return
		}
		time.Sleep(time.Second * time.Duration(len(part)) / time.Duration(rate))
	}
}

// Guards against a gate whose memory is exceeded by the responses of faulty workers, many at
// a time, which send bytes without end in bodies, events, comments and headers.
func TestEndlessResponses(t *testing.T) {
	// The smallest memory of a gate in a site file.
	s := startSystemWith(t, rand.New(rand.NewPCG(11, 7)), systemOptions{memoryMB: 184, slots: 128, timeout: 3 * time.Second})
	defer s.copyLogs(t, 0)
	s.waitServing(t, recoveryTimeout)
	g := s.gates[0]
	var reached atomic.Int64
	for _, response := range []struct{ name, header, repeated string }{
		{"a body without length", "\r\n", "x"},
		{"a body with a length", "Content-Length: 900000000000\r\n\r\n", "x"},
		{"chunks", "Transfer-Encoding: chunked\r\n\r\n", "4000\r\n" + strings.Repeat("x", 0x4000) + "\r\n"},
		{"an event", "Content-Type: text/event-stream\r\n\r\ndata: ", "x"},
		{"comments", "Content-Type: text/event-stream\r\n\r\n", ": " + strings.Repeat("x", 900<<10) + "\n\n"},
		{"a field", "X: ", "x"},
	} {
		for _, w := range s.workers {
			w.SetScript(func(c *worker.Conn, req *worker.ReceivedRequest) {
				reached.Add(1)
				c.Printf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: sig\r\n%s", worker.HeaderAttemptID, req.AttemptID, worker.HeaderSignature, response.header)
				writeEndless(c, response.repeated, 1<<20)
				c.Disconnect()
			})
		}
		var wg sync.WaitGroup
		for i := range 400 {
			wg.Go(func() {
				kind := []string{"safe", "unsafe", "streaming", "streaming"}[i%4]
				status, _, err := s.send(g, kind, "/a/", fmt.Sprintf("%s-%d", strings.ReplaceAll(response.name, " ", "-"), i))
				if err == nil && status == http.StatusOK {
					t.Errorf("%s: a %s request got a whole answer", response.name, kind)
				}
			})
		}
		wg.Wait()
		t.Logf("%s: at most %d MB, %d requests reached workers", response.name, peakMB(t, g.cmd.Process.Pid), reached.Load())
	}
	if peak := peakMB(t, g.cmd.Process.Pid); peak >= s.memoryMB {
		t.Errorf("the gate has used %d MB of %d MB", peak, s.memoryMB)
	}
	if reached.Load() < 200 {
		t.Errorf("only %d requests reached workers", reached.Load())
	}
	for _, w := range s.workers {
		w.SetScript(s.faults.script(rand.New(rand.NewPCG(1, 1)), s.checks, w))
	}
	s.waitServing(t, recoveryTimeout)
}

// Guards against a sidecar whose memory is exceeded by an engine that answers with bytes
// without end, while the gates of a large deployment call it.
func TestEndlessReports(t *testing.T) {
	const memoryMB, callers = 152, 40
	for _, response := range []struct{ name, header, repeated string }{
		{"a body without length", "HTTP/1.1 200 OK\r\n\r\n", "["},
		{"a body with a length", "HTTP/1.1 200 OK\r\nContent-Length: 8000000\r\n\r\n", "["},
		{"a field", "HTTP/1.1 200 OK\r\nX: ", "x"},
		{"interim responses", "", "HTTP/1.1 103 x\r\n\r\n"},
	} {
		engine := startEndless(t, response.header, response.repeated)
		listen := ports.Next()
		settings := filepath.Join(t.TempDir(), "rank.toml")
		text := fmt.Sprintf("instance = \"r\"\nzone = \"z\"\nlisten = %q\nengine = %q\nmemory = %d\n", listen, engine, memoryMB)
		if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		bin, err := filepath.Abs("../../.out/bin/rank")
		if err != nil {
			t.Fatal(err)
		}
		cmd := exec.Command(bin, "--settings", settings)
		cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
		if err := cmd.Start(); err != nil {
			t.Fatalf("run scripts/build.sh first: %v", err)
		}
		t.Cleanup(func() { _ = cmd.Process.Kill(); _ = cmd.Wait() })
		for n := 0; ; n++ {
			if c, err := net.Dial("tcp", listen.String()); err == nil {
				_ = c.Close()
				break
			}
			if n > 200 {
				t.Fatal("the sidecar does not listen")
			}
			time.Sleep(20 * time.Millisecond)
		}
		var wg sync.WaitGroup
		for range callers {
			wg.Go(func() {
				client := &side.Client{Port: listen.Port(), Direct: noDirect{}, HTTP: &http.Client{}}
				for range 3 {
					ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
					rank := core.RankAddr{Instance: "i", Engine: netip.AddrPortFrom(listen.Addr(), 1)}
					if _, err := client.Report(ctx, rank, true); err == nil {
						t.Errorf("%s: a report was read", response.name)
					}
					cancel()
				}
			})
		}
		wg.Wait()
		peak := peakMB(t, cmd.Process.Pid)
		t.Logf("%s: at most %d MB", response.name, peak)
		if peak >= memoryMB {
			t.Errorf("%s: the sidecar has used %d MB of %d MB", response.name, peak, memoryMB)
		}
	}
}

// noDirect refuses calls that do not go through a sidecar.
type noDirect struct{ core.RankClient }

func (noDirect) Report(context.Context, core.RankAddr, bool) (core.RankReport, error) {
	return core.RankReport{}, io.ErrClosedPipe
}

// largeBodySize is the size of the largest body that a gate takes.
const largeBodySize = 1 << 20

// sendLarge sends a request for a stream with a body of the largest size in small parts, and
// reads the response. It calls began once the response has begun, and returns whether the
// request was served.
func (s *system) sendLarge(t *testing.T, g *gate, attempt string, began func()) bool {
	c, err := net.Dial("tcp", g.callers.String())
	if err != nil {
		t.Error(err)
		return false
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(12 * time.Second))
	_, _ = fmt.Fprintf(c, "POST /a/streaming/x HTTP/1.1\r\nHost: h\r\n%s: %s\r\n%s: 8000\r\nTransfer-Encoding: chunked\r\n\r\n", worker.HeaderAttemptID, attempt, worker.HeaderDeadlineMs)
	part := strings.Repeat("x", 64<<10)
	for range largeBodySize / len(part) {
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(part), part); err != nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	_, _ = io.WriteString(c, "0\r\n\r\n")
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Errorf("%s got no response: %v", attempt, err)
		return false
	}
	began()
	_, err = io.Copy(io.Discard, resp.Body)
	switch {
	case err != nil:
		t.Errorf("%s was cut off: %v", attempt, err)
	case resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get("Retry-After") != "" && s.checks.runCount(attempt) == 0:
	case resp.StatusCode != http.StatusOK:
		t.Errorf("%s got status %d and ran %d times", attempt, resp.StatusCode, s.checks.runCount(attempt))
	}
	return resp.StatusCode == http.StatusOK
}

// Guards against a gate whose memory is exceeded by the bodies of many requests of the
// allowed size, and against the refusal of those that it can hold.
func TestManyLargeBodies(t *testing.T) {
	s := startSystemWith(t, rand.New(rand.NewPCG(13, 7)), systemOptions{memoryMB: 184, slots: 512, timeout: 8 * time.Second})
	defer s.copyLogs(t, 0)
	s.waitServing(t, recoveryTimeout)
	// Streams go on until the channel is closed.
	end := make(chan struct{})
	setStreams := func(end chan struct{}) {
		for _, w := range s.workers {
			w.SetScript(func(c *worker.Conn, req *worker.ReceivedRequest) {
				s.checks.recordRun(req.AttemptID)
				c.WriteStreamHeader(req)
				for i := 0; ; i++ {
					c.WriteEvent(i + 1)
					select {
					case <-end:
						c.EndStream()
						return
					case <-time.After(150 * time.Millisecond):
					}
				}
			})
		}
	}
	setStreams(end)
	g := s.gates[0]
	var wg sync.WaitGroup
	// 40% of the memory is for bodies. As many as it holds are served, and as many again
	// while the streams of the first go on.
	const held = 60
	for wave := range 2 {
		var began sync.WaitGroup
		for i := range held {
			began.Add(1)
			wg.Go(func() {
				begin := sync.OnceFunc(began.Done)
				defer begin()
				if attempt := fmt.Sprintf("held-%d-%d", wave, i); !s.sendLarge(t, g, attempt, begin) {
					t.Errorf("%s was refused", attempt)
				}
			})
		}
		began.Wait()
	}
	close(end)
	wg.Wait()
	// Twice the memory of the gate within 2 s.
	const requests = 360
	end = make(chan struct{})
	setStreams(end)
	time.AfterFunc(3*time.Second, func() { close(end) })
	var served atomic.Int64
	for i := range requests {
		wg.Go(func() {
			time.Sleep(time.Duration(i) * 2 * time.Second / requests)
			if s.sendLarge(t, g, fmt.Sprintf("large-%d", i), func() {}) {
				served.Add(1)
			}
		})
	}
	wg.Wait()
	peak := peakMB(t, g.cmd.Process.Pid)
	t.Logf("%d of %d served, at most %d MB", served.Load(), requests, peak)
	if peak >= s.memoryMB {
		t.Errorf("the gate has used %d MB of %d MB", peak, s.memoryMB)
	}
	if served.Load() < held {
		t.Errorf("only %d of %d requests were served", served.Load(), requests)
	}
}

// Guards against a gate whose memory is exceeded by a store that answers all calls with
// bytes without end.
func TestEndlessStore(t *testing.T) {
	for _, response := range []struct{ name, header, repeated string }{
		{"a body without length", "HTTP/1.1 200 OK\r\n\r\n{\"entries\":[", "["},
		{"a body with a length", "HTTP/1.1 200 OK\r\nContent-Length: 8000000\r\n\r\n{\"events\":[", "{},"},
		{"a field", "HTTP/1.1 200 OK\r\nX: ", "x"},
	} {
		addr := startEndless(t, response.header, response.repeated)
		s := &system{t: t, dir: t.TempDir(), checks: newChecks(), systemOptions: systemOptions{grace: grace, memoryMB: 184}}
		defer s.copyLogs(t, 0)
		g := &gate{name: "gate-0", callers: ports.Next(), ready: ports.Next(), peers: ports.Next(), metrics: ports.Next()}
		g.settings = filepath.Join(s.dir, g.name+".toml")
		settings := &site.GateSettings{
			Name: g.name, CallerAddr: g.callers, ReadyAddr: g.ready, PeerAddr: g.peers, MetricsAddr: g.metrics,
			StoreAddr: addr, SeedAddrs: []netip.AddrPort{g.peers}, GracePeriod: grace, MemoryMB: s.memoryMB,
		}
		if err := settings.Write(g.settings); err != nil {
			t.Fatal(err)
		}
		g.start(t, s.dir)
		t.Cleanup(g.kill)
		time.Sleep(5 * time.Second)
		peak := peakMB(t, g.cmd.Process.Pid)
		t.Logf("%s: at most %d MB", response.name, peak)
		if !g.running() || peak >= s.memoryMB {
			t.Errorf("%s: the gate has used %d MB of %d MB, running: %t", response.name, peak, s.memoryMB, g.running())
		}
		if status, _, err := s.send(g, "safe", "/a/", "endless-store"); err != nil || status != http.StatusServiceUnavailable {
			t.Errorf("%s: status %d, error %v", response.name, status, err)
		}
		g.kill()
	}
}

// startEndless starts a server that answers each request with a header and bytes without
// end.
func startEndless(t *testing.T, header, repeated string) netip.AddrPort {
	t.Helper()
	return raw.Start(t, func(c net.Conn) error {
		_, _ = io.WriteString(c, header)
		writeEndless(c, repeated, 40<<20)
		return io.EOF
	})
}
