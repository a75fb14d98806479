package spread

import (
	"crypto/sha256"
	"crypto/subtle"
	"net/http"

	"github.com/twitchtv/twirp"

	"parsleyroute.example/core"
	"parsleyroute.example/core/process/meter"
)

// PeerKeyHeader carries the key that all processes of the system share.
const PeerKeyHeader = "X-Peer-Key"

// PeerKeyMatches reports whether key equals peerKey, in constant time. An empty
// peerKey matches nothing.
func PeerKeyMatches(peerKey, key string) bool {
	a, b := sha256.Sum256([]byte(peerKey)), sha256.Sum256([]byte(key))
	return subtle.ConstantTimeCompare(a[:], b[:]) == 1 && peerKey != ""
}

// RequirePeerKey returns a handler that rejects calls without the peer key.
func RequirePeerKey(peerKey string, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !PeerKeyMatches(peerKey, r.Header.Get(PeerKeyHeader)) {
			meter.Refusal(core.ReasonPeerUnauthorized)
			_ = twirp.WriteError(w, twirp.Unauthenticated.Error("peer key is missing or wrong"))
			return
		}
		next.ServeHTTP(w, r)
	})
}
