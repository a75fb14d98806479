package main

import (
	"github.com/spf13/cobra"

	"parsleyroute.example/fakes/process/grpsrv"
)

func newGroupCommand() *cobra.Command {
	s := &grpsrv.Server{Config: grpsrv.Defaults}
	cmd := &cobra.Command{
		Use:   "group",
		Short: "Serve the ranks of one group, which run in lockstep",
		Args:  cobra.NoArgs,
	}
	addListenFlag(cmd, &s.Listen)
	addSettingsFlag(cmd, &s.Config)
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		return run(cmd, newLogger(cmd, "group"), s)
	}
	return cmd
}
