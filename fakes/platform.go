package main

import (
	"time"

	"github.com/spf13/cobra"

	"parsleyroute.example/fakes/process/objsrv"
)

func platform() *cobra.Command {
	s := &objsrv.Server{}
	var lag time.Duration
	cmd := &cobra.Command{
		Use:   "platform",
		Short: "Serve the object API, the list of instances and the weight store",
		Args:  cobra.NoArgs,
	}
	listenFlag(cmd, &s.Listen)
	cmd.Flags().Float64Var(&s.Faults.WriteRate, "write-rate", 400, "writes a second; 0 means no limit")
	cmd.Flags().Float64Var(&s.Faults.ReadRate, "read-rate", 2000, "reads a second; 0 means no limit")
	cmd.Flags().Float64Var(&s.Faults.WeightRate, "weight-rate", 0, "weight fetches a second; 0 means no limit")
	cmd.Flags().DurationVar(&lag, "list-lag", 0, "lag of the list of instances")
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		s.Faults.ListLagMs = int(lag.Milliseconds())
		s.Logger = logger(cmd, "platform")
		return run(cmd, s.Logger, s)
	}
	return cmd
}
