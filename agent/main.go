// Command agent is the sidecar process of an upstream. All requests to the upstream
// pass through it.
package main

import (
	"context"

	"github.com/go-kit/log"

	"parsleyroute.example/agent/serve"
	"parsleyroute.example/core/process/start"
)

func main() {
	p := &start.Program[*serve.Settings]{
		Name:  "agent",
		Short: "Forward requests to one upstream",
		Run: func(ctx context.Context, s *serve.Settings, logger log.Logger) error {
			return (&serve.Agent{Settings: *s, Logger: logger}).Run(ctx)
		},
	}
	p.Main(&serve.Settings{})
}
