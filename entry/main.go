// Package main is the program entry: it serves callers and operators, and it
// does the leader work of a group while it holds the group's lease.
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
