// Command rank is the sidecar of one rank of a group. It forwards the calls of
// the gate that leads the group to the engine.
package main

import (
	"context"

	"parsleyroute.example/core/process/evlog"
	"parsleyroute.example/core/process/start"
	"parsleyroute.example/rank/serve"
)

func main() {
	p := &start.SmallProgram[serve.Settings, *serve.Settings]{
		Name: "rank", Short: "Forward a controller's calls to the rank on this machine", Version: "0.2.0",
		Identity: func(s serve.Settings) (string, int) { return s.Instance, s.Memory },
		Run: func(ctx context.Context, s serve.Settings, _ <-chan serve.Settings, decisionLog *evlog.Logger) error {
			return (&serve.Rank{Settings: s, DecisionLog: decisionLog}).Run(ctx)
		},
	}
	p.Main()
}
