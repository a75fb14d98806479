// Package main is the program gate: it takes callers' requests and sends them
// straight to the upstreams that the platform's store lists.
package main

import (
	"context"
	"os"
	"time"

	"github.com/go-kit/log/level"
	"github.com/spf13/cobra"

	"parsleyroute.example/core/process/conf"
	"parsleyroute.example/core/process/logs"
	"parsleyroute.example/core/process/start"
	"parsleyroute.example/core/process/trail"
	"parsleyroute.example/gate/serve"
)

const program = "gate"

// flushTime bounds the wait for log lines at the end of the process.
const flushTime = 200 * time.Millisecond

func main() {
	ctx, stop := start.Signals()
	defer stop()
	if err := command().ExecuteContext(ctx); err != nil {
		_ = level.Error(logs.New(os.Stderr, program, "", "")).Log("msg", "the program failed", "err", err.Error())
		stop()
		os.Exit(1)
	}
}

func command() *cobra.Command {
	var path string
	var checkOnly bool
	cmd := &cobra.Command{
		Use:           program + " --settings FILE",
		Short:         "Take callers' requests and send them to the upstreams",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			var s serve.Settings
			if err := conf.Load(path, &s); err != nil {
				return err
			}
			if err := s.Check(); err != nil || checkOnly {
				return err
			}
			return run(cmd.Context(), s)
		},
	}
	cmd.Flags().StringVar(&path, "settings", program+".toml", "settings file")
	cmd.Flags().BoolVar(&checkOnly, "check", false, "check the settings and exit")
	return cmd
}

func run(ctx context.Context, s serve.Settings) error {
	s.Limit()
	t := trail.New(os.Stdout, program, s.Instance)
	defer t.Close(flushTime)
	return (&serve.Gate{Settings: s, Trail: t}).Run(ctx)
}
