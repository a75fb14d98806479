package front_test

import (
	"bufio"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/gofiber/fiber/v3"

	"parsleyroute.example/entry/front"
)

// Guards against an error response on an idle connection that a client mistakes for
// the response to a request that it is just sending. Only 408 is safe here.
func TestUnusedConnectionEndsWithRequestTimeout(t *testing.T) {
	cfg := front.FiberConfig()
	cfg.ReadTimeout = 50 * time.Millisecond
	app := fiber.New(cfg)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = app.Listener(ln, fiber.ListenConfig{DisableStartupMessage: true}) }()
	defer func() { _ = app.Shutdown() }()
	conn, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	line, err := bufio.NewReader(conn).ReadString('\n')
	if err != nil || !strings.HasPrefix(line, "HTTP/1.1 408 ") {
		t.Fatalf("got status line %q, error %v, want status 408", line, err)
	}
}
