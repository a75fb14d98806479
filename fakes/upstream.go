package main

import (
	"github.com/spf13/cobra"

	"parsleyroute.example/fakes/process/engsrv"
	"parsleyroute.example/fakes/process/plain"
)

func newEngineCommand() *cobra.Command {
	settings := engsrv.Defaults
	s := &engsrv.Server{Settings: &settings}
	cmd := &cobra.Command{
		Use:   "engine",
		Short: "Serve a model engine",
		Args:  cobra.NoArgs,
	}
	addListenFlag(cmd, &s.Listen)
	addSettingsFlag(cmd, &settings)
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		s.Logger = newLogger(cmd, "engine")
		return run(cmd, s.Logger, s)
	}
	return cmd
}

func newPlainCommand() *cobra.Command {
	settings := plain.Defaults
	s := &plain.Server{Settings: &settings}
	cmd := &cobra.Command{
		Use:   "plain",
		Short: "Serve a plain service whose requests must not be retried",
		Args:  cobra.NoArgs,
	}
	addListenFlag(cmd, &s.Listen)
	addSettingsFlag(cmd, &settings)
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		return run(cmd, newLogger(cmd, "plain"), s)
	}
	return cmd
}
