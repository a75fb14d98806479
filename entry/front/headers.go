package front

import (
	"net/textproto"

	"github.com/gofiber/fiber/v3"

	"parsleyroute.example/core"
)

// hop holds the header fields that concern one connection only (RFC 9110,
// section 7.6.1), and those that the servers on the way write themselves.
var hop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Content-Length": true, "Host": true, "Date": true, "Server": true, "Expect": true,
}

// own holds the callers' headers that are meant for the entry.
var own = map[string]bool{
	"Authorization": true, headerKey: true, headerDeadline: true, headerPriority: true, headerRequest: true,
}

func requestHeaders(c fiber.Ctx) []core.Header {
	var out []core.Header
	for k, v := range c.Request().Header.All() {
		name := textproto.CanonicalMIMEHeaderKey(string(k))
		if !hop[name] && !own[name] {
			out = append(out, core.Header{Name: name, Value: string(v)})
		}
	}
	return out
}

func responseHeader(name string) bool {
	return !hop[textproto.CanonicalMIMEHeaderKey(name)]
}
