package front

import (
	"net/textproto"

	"github.com/gofiber/fiber/v3"

	"parsleyroute.example/core"
)

// hop holds the header fields that concern one connection only (RFC 9110,
// section 7.6.1), and those that the servers on the way write themselves.
var hopByHopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Content-Length": true, "Host": true, "Date": true, "Server": true, "Expect": true,
}

// own holds the callers' headers that are meant for the entry.
var entryHeaders = map[string]bool{
	"Authorization": true, headerIdempotencyKey: true, headerDeadline: true, headerPriority: true, headerRequestID: true,
}

func forwardedRequestHeaders(c fiber.Ctx) []core.Header {
	var out []core.Header
	for k, v := range c.Request().Header.All() {
		name := textproto.CanonicalMIMEHeaderKey(string(k))
		if !hopByHopHeaders[name] && !entryHeaders[name] {
			out = append(out, core.Header{Name: name, Value: string(v)})
		}
	}
	return out
}

func isForwardedResponseHeader(name string) bool {
	return !hopByHopHeaders[textproto.CanonicalMIMEHeaderKey(name)]
}
