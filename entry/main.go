// Package main is the program entry: it serves callers and operators, and it does
// the leader work of a group while it holds the group's lease.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/go-kit/log/level"
	"github.com/spf13/cobra"

	"parsleyroute.example/core/process/conf"
	"parsleyroute.example/core/process/logs"
	"parsleyroute.example/entry/serve"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := command().ExecuteContext(ctx); err != nil {
		_ = level.Error(logs.New(os.Stderr, "entry", "", "")).Log("msg", "the program failed", "err", err.Error())
		stop()
		os.Exit(1)
	}
}

func command() *cobra.Command {
	var path string
	var checkOnly bool
	cmd := &cobra.Command{
		Use:           "entry --settings FILE",
		Short:         "Serve callers and operators",
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
			e := &serve.Entry{Settings: s, Logger: logs.New(os.Stdout, "entry", s.Instance, s.Level)}
			return e.Run(cmd.Context())
		},
	}
	cmd.Flags().StringVar(&path, "settings", "entry.toml", "settings file")
	cmd.Flags().BoolVar(&checkOnly, "check", false, "check the settings and exit")
	return cmd
}
