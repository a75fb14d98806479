package load

import (
	"encoding/json"
	"fmt"
	"os"

	"github.com/gravitational/trace"
	"github.com/spf13/cobra"

	"parsleyroute.example/core/process/conf"
)

// Command returns the subcommand load of the bench program.
func Command() *cobra.Command {
	var jsonPath, plotPath string
	var splitTimes []float64
	cmd := &cobra.Command{
		Use:   "load SCENARIO.toml...",
		Short: "Run open-loop load and print a table for each scenario",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			for _, path := range args {
				r, err := runFile(cmd, path)
				if err != nil {
					return err
				}
				if err := printReport(cmd, r, splitTimes, jsonPath, plotPath); err != nil {
					return err
				}
			}
			return nil
		},
	}
	cmd.Flags().StringVar(&jsonPath, "json", "", "append each result as a JSON line to this file")
	cmd.Flags().StringVar(&plotPath, "plot", "", "write a plot of the time to the first byte to this PNG or SVG file")
	cmd.Flags().Float64SliceVar(&splitTimes, "split", nil, "times in seconds that divide the run into parts, each with a row in the table")
	return cmd
}

func runFile(cmd *cobra.Command, path string) (*Result, error) {
	var s Scenario
	if err := conf.Load(path, &s); err != nil {
		return nil, err
	}
	return (&Runner{}).Run(cmd.Context(), &s)
}

func printReport(cmd *cobra.Command, r *Result, splitTimes []float64, jsonPath, plotPath string) error {
	out := cmd.OutOrStdout()
	_, _ = fmt.Fprintf(out, "\n%s\n\n", r.Scenario)
	rows := r.Streams
	from := 0.0
	for _, to := range append(splitTimes, r.Seconds) {
		if len(splitTimes) > 0 {
			rows = append(rows, r.Between(from, to))
		}
		from = to
	}
	Markdown(out, rows)
	for _, e := range r.Events {
		_, _ = fmt.Fprintf(out, "\nevent %s at %.2f s: status %d %s\n", e.Name, e.At, e.Status, e.Error)
	}
	if jsonPath != "" {
		if err := appendLine(jsonPath, r); err != nil {
			return err
		}
	}
	if plotPath != "" {
		return Plot(plotPath, r)
	}
	return nil
}

func appendLine(path string, r *Result) error {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	if err := json.NewEncoder(f).Encode(r); err != nil {
		_ = f.Close()
		return trace.Wrap(err)
	}
	return trace.Wrap(f.Close())
}
