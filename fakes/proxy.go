package main

import (
	"github.com/spf13/cobra"

	"parsleyroute.example/fakes/process/proxy"
)

func newProxyCommand() *cobra.Command {
	s := &proxy.Server{}
	cmd := &cobra.Command{
		Use:   "proxy",
		Short: "Forward TCP connections and inject faults",
		Args:  cobra.NoArgs,
	}
	addListenFlag(cmd, &s.Listen)
	cmd.Flags().Var(&jsonFlag{&s.LinkConfigs}, "pairs", `links in JSON: [{"name","listen","target"}]`)
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		return run(cmd, newLogger(cmd, "proxy"), s)
	}
	return cmd
}
