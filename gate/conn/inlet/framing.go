package inlet

import (
	"bytes"

	"github.com/gravitational/trace"
)

// checkFraming rejects request headers that two parsers could read differently:
// both Content-Length and Transfer-Encoding, a field without a colon or with a
// space in its name, a folded line, and a line that ends without a carriage
// return. raw is the header as received, without the request line.
func checkFraming(raw []byte) error {
	var length, encoding bool
	for len(raw) > 0 {
		end := bytes.IndexByte(raw, '\n')
		if end < 0 {
			break
		}
		line := raw[:end]
		raw = raw[end+1:]
		if len(line) == 0 || line[len(line)-1] != '\r' {
			return trace.BadParameter("a header line ends without a carriage return")
		}
		line = line[:len(line)-1]
		if len(line) == 0 {
			break
		}
		if line[0] == ' ' || line[0] == '\t' {
			return trace.BadParameter("a header line is folded")
		}
		name, _, ok := bytes.Cut(line, []byte{':'})
		if !ok || len(name) == 0 || bytes.ContainsAny(name, " \t") {
			return trace.BadParameter("a header line has no valid name")
		}
		switch {
		case bytes.EqualFold(name, []byte("Content-Length")):
			length = true
		case bytes.EqualFold(name, []byte("Transfer-Encoding")):
			encoding = true
		}
	}
	if length && encoding {
		return trace.BadParameter("the request has both Content-Length and Transfer-Encoding")
	}
	return nil
}
