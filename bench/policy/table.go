package policy

import (
	"fmt"
	"io"
	"runtime"
	"time"

	"github.com/gravitational/trace"
	"github.com/spf13/cobra"
	"golang.org/x/sync/errgroup"
)

// Scenarios are the experiments of the table.
var Scenarios = []Scenario{
	{Name: "base, load 0.70", Load: 0.7},
	{Name: "load 0.85", Load: 0.85},
	{Name: "load 0.95", Load: 0.95},
	{Name: "load 0.85, lag 50 ms", Load: 0.85, Lag: 50 * time.Millisecond},
	{Name: "load 0.85, lag 2 s", Load: 0.85, Lag: 2 * time.Second},
	{Name: "load 0.70, half of it in one zone", Load: 0.7, Skew: 0.5},
	{Name: "64 entries, 100 upstreams, load 0.85", Load: 0.85, Entries: 64, Upstreams: 100, Length: 3 * time.Minute},
	{Name: "credit, load 0.85", Load: 0.85, Credit: true},
	{Name: "credit, load 0.95", Load: 0.95, Credit: true},
}

// Mean returns the mean of each figure over runs with the seeds from seed on.
func Mean(s Scenario, p Picker, seed uint64, runs int) Result {
	var sum Result
	for i := range runs {
		s.Seed = seed + uint64(i)
		r := s.Run(p)
		sum.Requests += r.Requests
		sum.P50 += r.P50 / time.Duration(runs)
		sum.P99 += r.P99 / time.Duration(runs)
		sum.Mean += r.Mean / time.Duration(runs)
		sum.Delay99 += r.Delay99 / time.Duration(runs)
		sum.Peak += r.Peak / float64(runs)
		sum.PeakSlow += r.PeakSlow / float64(runs)
		sum.Crossed += r.Crossed / float64(runs)
		sum.Refused += r.Refused / float64(runs)
	}
	return sum
}

// Table runs all scenarios with all pickers and writes the results as Markdown.
func Table(w io.Writer, seed uint64, runs int) error {
	results := make([][]Result, len(Scenarios))
	var g errgroup.Group
	g.SetLimit(runtime.GOMAXPROCS(0))
	for i, s := range Scenarios {
		results[i] = make([]Result, len(Pickers))
		for k, p := range Pickers {
			g.Go(func() error {
				results[i][k] = Mean(s, p, seed, runs)
				return nil
			})
		}
	}
	err := g.Wait()
	if err == nil {
		_, err = fmt.Fprint(w, "| scenario | picker | p50 ms | p99 ms | p99 delay ms | mean ms | peak | peak, slow | other zone | refusals |\n|---|---|---:|---:|---:|---:|---:|---:|---:|---:|\n")
	}
	for i, s := range Scenarios {
		for k, p := range Pickers {
			r := results[i][k]
			if err == nil {
				_, err = fmt.Fprintf(w, "| %s | %s | %d | %d | %d | %d | %.2f | %.2f | %.0f%% | %.2f |\n", s.Name, p.Name, r.P50.Milliseconds(),
					r.P99.Milliseconds(), r.Delay99.Milliseconds(), r.Mean.Milliseconds(), r.Peak, r.PeakSlow, 100*r.Crossed, r.Refused)
			}
		}
	}
	return trace.Wrap(err)
}

// Command returns the subcommand of the bench program.
func Command() *cobra.Command {
	var seed uint64
	var runs int
	var spread bool
	cmd := &cobra.Command{
		Use:   "policy",
		Short: "Compare pickers on simulated queues with lagging load reports",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if spread {
				return SpreadTable(cmd.OutOrStdout())
			}
			return Table(cmd.OutOrStdout(), seed, runs)
		},
	}
	cmd.Flags().Uint64Var(&seed, "seed", 1, "first seed of the random numbers")
	cmd.Flags().IntVar(&runs, "runs", 5, "number of runs, with seeds from the given one on; the table has the means")
	cmd.Flags().BoolVar(&spread, "spread", false, "measure how evenly subsets cover a zone instead")
	return cmd
}
