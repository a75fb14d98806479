// Command entry serves callers and operators. It also rebalances the experts of the
// rank groups whose leases it holds, and removes old claims while it holds the lease
// for that.
package main

import (
	"context"

	"github.com/go-kit/log"

	"parsleyroute.example/core/process/start"
	"parsleyroute.example/entry/serve"
)

func main() {
	p := &start.Program[*serve.Settings]{
		Name:  "entry",
		Short: "Serve callers and operators",
		Run: func(ctx context.Context, s *serve.Settings, logger log.Logger) error {
			return (&serve.Entry{Settings: *s, Logger: logger}).Run(ctx)
		},
	}
	p.Main(&serve.Settings{})
}
