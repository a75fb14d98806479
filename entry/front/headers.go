package front

import (
	"net/textproto"

	"github.com/gofiber/fiber/v3"

	"parsleyroute.example/core"
)

// unforwardedHeaders holds the hop-by-hop header fields (RFC 9110, section 7.6.1)
// and those that each server on the path sets itself.
var unforwardedHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Content-Length": true, "Host": true, "Date": true, "Server": true, "Expect": true,
}

// entryHeaders holds the request headers that only the entry uses.
var entryHeaders = map[string]bool{
	"Authorization": true, headerIdempotencyKey: true, headerDeadline: true, headerPriority: true, headerRequestID: true,
}

// forwardedRequestHeaders returns the request headers for the upstream.
func forwardedRequestHeaders(c fiber.Ctx) []core.Header {
	var out []core.Header
	for k, v := range c.Request().Header.All() {
		name := textproto.CanonicalMIMEHeaderKey(string(k))
		if !unforwardedHeaders[name] && !entryHeaders[name] {
			out = append(out, core.Header{Name: name, Value: string(v)})
		}
	}
	return out
}

// isForwardedResponseHeader reports whether a response header of the upstream is
// sent to the caller.
func isForwardedResponseHeader(name string) bool {
	return !unforwardedHeaders[textproto.CanonicalMIMEHeaderKey(name)]
}
