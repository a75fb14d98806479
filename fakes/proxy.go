package main

import (
	"github.com/spf13/cobra"

	"parsleyroute.example/fakes/process/proxy"
)

func faults() *cobra.Command {
	s := &proxy.Server{}
	cmd := &cobra.Command{
		Use:   "proxy",
		Short: "Forward TCP connections and put faults on them",
		Args:  cobra.NoArgs,
	}
	listenFlag(cmd, &s.Listen)
	cmd.Flags().Var(&settings{&s.Pairs}, "pairs", `links in JSON: [{"name","listen","target"}]`)
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		return run(cmd, logger(cmd, "proxy"), s)
	}
	return cmd
}
