// Command bench generates load and simulates the algorithms of parsleyroute.
package main

import (
	"os"

	"github.com/spf13/cobra"

	"parsleyroute.example/bench/drift"
	"parsleyroute.example/bench/load"
	"parsleyroute.example/bench/outage"
	"parsleyroute.example/bench/policy"
)

func main() {
	root := &cobra.Command{Use: "bench", Short: "Load and experiment tool of parsleyroute", SilenceUsage: true}
	root.AddCommand(drift.Command(), load.Command(), outage.Command(), policy.Command())
	if root.Execute() != nil {
		os.Exit(1)
	}
}
