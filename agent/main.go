// Package main is the program agent: the one process beside an upstream, and
// the only way to it.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/go-kit/log/level"
	"github.com/spf13/cobra"

	"parsleyroute.example/agent/serve"
	"parsleyroute.example/core/process/conf"
	"parsleyroute.example/core/process/logs"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := command().ExecuteContext(ctx); err != nil {
		_ = level.Error(logs.New(os.Stderr, "agent", "", "")).Log("msg", "the program failed", "err", err.Error())
		stop()
		os.Exit(1)
	}
}

func command() *cobra.Command {
	var path string
	var checkOnly bool
	cmd := &cobra.Command{
		Use:           "agent --settings FILE",
		Short:         "Guard one upstream",
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
			s.LimitProcs()
			a := &serve.Agent{Settings: s, Logger: logs.New(os.Stdout, "agent", s.Instance, s.Level)}
			return a.Run(cmd.Context())
		},
	}
	cmd.Flags().StringVar(&path, "settings", "agent.toml", "settings file")
	cmd.Flags().BoolVar(&checkOnly, "check", false, "check the settings and exit")
	return cmd
}
