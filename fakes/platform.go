package main

import (
	"github.com/spf13/cobra"

	"parsleyroute.example/fakes/process/objsrv"
)

func newPlatformCommand() *cobra.Command {
	s := &objsrv.Server{Faults: objsrv.Defaults}
	cmd := &cobra.Command{
		Use:   "platform",
		Short: "Serve the object API, the instance list and the weight store",
		Args:  cobra.NoArgs,
	}
	addListenFlag(cmd, &s.Listen)
	addSettingsFlag(cmd, &s.Faults)
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		s.Logger = newLogger(cmd, "platform")
		return run(cmd, s.Logger, s)
	}
	return cmd
}
