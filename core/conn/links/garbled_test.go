package links_test

import (
	"net/http"
	"slices"
	"testing"

	"parsleyroute.example/core/conn/links"
	"parsleyroute.example/core/process/clock"
	"parsleyroute.example/core/suite/raw"
	"parsleyroute.example/core/wire"
)

// Guards against an entry that takes bytes of an agent for the beginning of an answer,
// although they have a status out of range or an invalid field name.
func TestGarbledResponse(t *testing.T) {
	for _, header := range slices.Concat(raw.BadStatus, raw.BadFields) {
		addr := raw.Start(t, raw.Write(header+"Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"))
		l := (&links.Link{Addr: addr, Clock: clock.Real{}, HTTP: http.DefaultClient}).Open()
		if s, err := l.Dispatch(&wire.Dispatch{}, nil); err == nil {
			_ = s.Close()
			t.Errorf("%q is read as a response", header)
		}
		_ = l.Close()
	}
}
