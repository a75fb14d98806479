// Package peers gives the twirp services between our processes their HTTP
// client and their access check: each call carries the peer key of the
// settings.
package peers

import (
	"crypto/subtle"
	"net/http"
	"net/netip"
	"time"

	"parsleyroute.example/core"
	"parsleyroute.example/core/process/meter"
)

// KeyHeader carries the peer key.
const KeyHeader = "X-Parsley-Peer"

// DefaultTimeout bounds one unary call between peers.
const DefaultTimeout = time.Second

// idlePerHost bounds the idle connections to one peer.
const idlePerHost = 2

type keyed struct {
	key  string
	next http.RoundTripper
}

func (k keyed) RoundTrip(r *http.Request) (*http.Response, error) {
	r.Header.Set(KeyHeader, k.key)
	return k.next.RoundTrip(r)
}

// Client returns a client that adds the peer key to each request. A timeout of
// zero means DefaultTimeout.
func Client(key string, timeout time.Duration) *http.Client {
	if timeout == 0 {
		timeout = DefaultTimeout
	}
	t := &http.Transport{MaxIdleConnsPerHost: idlePerHost, IdleConnTimeout: 30 * time.Second, MaxIdleConns: 64}
	return &http.Client{Transport: keyed{key: key, next: t}, Timeout: timeout}
}

// BaseURL returns the URL of a peer's twirp services.
func BaseURL(addr netip.AddrPort) string { return "http://" + addr.String() }

// Allowed reports whether a request's key is the peer key. The comparison
// takes the same time for all keys of one length.
func Allowed(key, got string) bool {
	return subtle.ConstantTimeCompare([]byte(key), []byte(got)) == 1
}

// Protect refuses requests without the peer key.
func Protect(key string, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !Allowed(key, r.Header.Get(KeyHeader)) {
			meter.Refusal(core.ReasonPeerUnauthorized)
			http.Error(w, `{"code":"unauthenticated","msg":"peer key is missing or wrong"}`, http.StatusUnauthorized)
			return
		}
		next.ServeHTTP(w, r)
	})
}
