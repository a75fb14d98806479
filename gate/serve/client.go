package serve

import (
	"context"
	"net"
	"net/http"
	"time"

	"parsleyroute.example/core/conn/dial"
	"parsleyroute.example/core/conn/rest"
)

// peerClient is the HTTP client for calls to other gates, sidecarClient that for calls to
// the sidecars of ranks.
var (
	peerClient    = newPeerClient(0)
	sidecarClient = newPeerClient(maxSidecarBody)
)

const (
	// maxPeerHeader is the maximum size of a peer's response header in bytes.
	maxPeerHeader = 16 << 10
	// maxSidecarBody is the maximum size in bytes of a response of a sidecar, which holds
	// what a worker's control interface has sent. All ranks are called at the same time.
	maxSidecarBody = 512 << 10
)

// newPeerClient returns a client that reads bodies of up to maxBody bytes, of the default
// size of rest.LimitedTransport if that is zero.
func newPeerClient(maxBody int64) *http.Client {
	return &http.Client{Transport: &rest.LimitedTransport{MaxBody: maxBody, Transport: &http.Transport{
		DialContext:            func(ctx context.Context, _, addr string) (net.Conn, error) { return dial.Monitored(ctx, addr) },
		MaxIdleConnsPerHost:    1,
		IdleConnTimeout:        10 * time.Second,
		MaxResponseHeaderBytes: maxPeerHeader,
	}}}
}
