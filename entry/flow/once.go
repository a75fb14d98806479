package flow

import (
	"context"

	"parsleyroute.example/core"
)

// Claims is a placeholder until the claim package is merged.
type Claims interface{}

func (r *Router) serveOnce(_ context.Context, _ *trip) (*Answer, error) {
	return nil, core.Refuse(core.ReasonNotReady, "not implemented")
}
