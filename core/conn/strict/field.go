package strict

import (
	"bytes"

	"github.com/gravitational/trace"
)

// framing collects the fields of a header that determine the length of the body.
type framing struct {
	hasLength, hasEncoding bool
}

// field checks a field line without its line end.
func (f *framing) field(line []byte) error {
	if line[0] == ' ' || line[0] == '\t' {
		return trace.BadParameter("a field line is folded")
	}
	name, value, ok := bytes.Cut(line, []byte(":"))
	if !ok || !isToken(name) {
		return trace.BadParameter("a field line has no valid name")
	}
	if !isText(value) {
		return trace.BadParameter("the field %s has an invalid value", name)
	}
	value = bytes.Trim(value, " \t")
	switch {
	case bytes.EqualFold(name, []byte("Content-Length")):
		if f.hasLength || !isLength(value) {
			return trace.BadParameter("the Content-Length is invalid or repeated")
		}
		f.hasLength = true
	case bytes.EqualFold(name, []byte("Transfer-Encoding")):
		if f.hasEncoding || !bytes.EqualFold(value, []byte("chunked")) {
			return trace.BadParameter("the Transfer-Encoding is not chunked or is repeated")
		}
		f.hasEncoding = true
	}
	return nil
}

// check checks the framing of a message whose header is complete.
func (f *framing) check(c *checker) error {
	switch {
	case f.hasLength && f.hasEncoding:
		return trace.BadParameter("the message has both Content-Length and Transfer-Encoding")
	case f.hasEncoding && c.http10:
		return trace.BadParameter("the message is HTTP/1.0 and has a Transfer-Encoding")
	case f.hasEncoding && (c.status/100 == 1 || c.status == 204):
		return trace.BadParameter("a response with status %d has a Transfer-Encoding", c.status)
	}
	return nil
}

// CheckTrailer checks a trailer line without its line end. A trailer must not change the
// framing of a message that has already been read.
func CheckTrailer(line []byte) error {
	var f framing
	if err := f.field(line); err != nil {
		return err
	}
	if f.hasLength || f.hasEncoding {
		return trace.BadParameter("a trailer line changes the framing of the message")
	}
	return nil
}

// isLength reports whether b is a decimal number of bytes.
func isLength(b []byte) bool {
	for _, d := range b {
		if d < '0' || d > '9' {
			return false
		}
	}
	return len(b) > 0 && len(b) <= maxLengthDigits
}

// isToken reports whether b is a token: one or more visible characters that are no
// delimiters (RFC 9110, section 5.6.2).
func isToken(b []byte) bool {
	for _, c := range b {
		if !tokenBytes[c] {
			return false
		}
	}
	return len(b) > 0
}

// isText reports whether b has no control bytes but tabs.
func isText(b []byte) bool {
	for _, c := range b {
		if c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}

// tokenBytes holds the bytes that a token may have.
var tokenBytes = func() (allowed [256]bool) {
	for c := range allowed {
		b := byte(c)
		allowed[c] = b >= 'a' && b <= 'z' || b >= 'A' && b <= 'Z' || b >= '0' && b <= '9' || bytes.IndexByte([]byte("!#$%&'*+-.^_`|~"), b) >= 0
	}
	return allowed
}()
