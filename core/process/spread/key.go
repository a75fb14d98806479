package spread

import (
	"crypto/sha256"
	"crypto/subtle"
	"net/http"

	"github.com/twitchtv/twirp"

	"parsleyroute.example/core"
	"parsleyroute.example/core/process/meter"
)

// PeerKeyHeader carries the key that our processes share.
const PeerKeyHeader = "X-Peer-Key"

// PeerKeyMatches compares a key with the peer key. The comparison takes the same
// time for all keys. An empty peer key matches nothing.
func PeerKeyMatches(key, got string) bool {
	a, b := sha256.Sum256([]byte(key)), sha256.Sum256([]byte(got))
	return subtle.ConstantTimeCompare(a[:], b[:]) == 1 && key != ""
}

// RequirePeerKey refuses calls without the peer key.
func RequirePeerKey(key string, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !PeerKeyMatches(key, r.Header.Get(PeerKeyHeader)) {
			meter.Refusal(core.ReasonPeerUnauthorized)
			_ = twirp.WriteError(w, twirp.Unauthenticated.Error("peer key is missing or wrong"))
			return
		}
		next.ServeHTTP(w, r)
	})
}
