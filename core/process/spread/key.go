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

// RequirePeerKey refuses calls without the peer key. The comparison takes the
// same time for all keys. An empty key refuses every call.
func RequirePeerKey(key string, next http.Handler) http.Handler {
	want := sha256.Sum256([]byte(key))
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		got := sha256.Sum256([]byte(r.Header.Get(PeerKeyHeader)))
		if subtle.ConstantTimeCompare(got[:], want[:]) != 1 || key == "" {
			meter.Refusal(core.ReasonPeerUnauthorized)
			_ = twirp.WriteError(w, twirp.Unauthenticated.Error("peer key is missing or wrong"))
			return
		}
		next.ServeHTTP(w, r)
	})
}
