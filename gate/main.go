// Command gate accepts callers' requests and forwards them directly to the
// upstreams that the platform's store lists.
package main

import (
	"context"

	"parsleyroute.example/core/process/evlog"
	"parsleyroute.example/core/process/start"
	"parsleyroute.example/gate/serve"
)

func main() {
	p := &start.SmallProgram[serve.Settings, *serve.Settings]{
		Name: "gate", Short: "Accept callers' requests and forward them to the upstreams", Version: "0.2.0",
		Identity: func(s serve.Settings) (string, int) { return s.Instance, s.Memory },
		Run: func(ctx context.Context, s serve.Settings, reloads <-chan serve.Settings, decisionLog *evlog.Logger) error {
			return (&serve.Gate{Settings: s, Reloads: reloads, DecisionLog: decisionLog}).Run(ctx)
		},
	}
	p.Main()
}
