package serve

import (
	"context"
	"net"
	"net/http"
	"time"

	"parsleyroute.example/core/conn/dial"
	"parsleyroute.example/core/conn/rest"
)

// peerClient is the HTTP client for calls to other gates and to the sidecars of
// ranks.
var peerClient = &http.Client{Transport: &rest.LimitedTransport{Transport: &http.Transport{
	DialContext:            func(ctx context.Context, _, addr string) (net.Conn, error) { return dial.Monitored(ctx, addr) },
	MaxIdleConnsPerHost:    1,
	IdleConnTimeout:        10 * time.Second,
	MaxResponseHeaderBytes: maxPeerHeader,
}}}

// maxPeerHeader is the maximum size of a peer's response header in bytes.
const maxPeerHeader = 16 << 10
