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

// Scenarios lists the experiments of the table.
var Scenarios = []Scenario{
	{Name: "base, load 0.70", Load: 0.7},
	{Name: "load 0.85", Load: 0.85},
	{Name: "load 0.95", Load: 0.95},
	{Name: "load 0.85, lag 50 ms", Load: 0.85, ReportLag: 50 * time.Millisecond},
	{Name: "load 0.85, lag 2 s", Load: 0.85, ReportLag: 2 * time.Second},
	{Name: "load 0.70, half of it in one zone", Load: 0.7, FirstZoneShare: 0.5},
	{Name: "64 entries, 100 upstreams, load 0.85", Load: 0.85, Entries: 64, Upstreams: 100, Duration: 3 * time.Minute},
	{Name: "credit, load 0.85", Load: 0.85, Credit: true},
	{Name: "credit, load 0.95", Load: 0.95, Credit: true},
}

// Mean returns the mean of each field over several runs with consecutive seeds
// that start at seed. Requests is the sum.
func Mean(s Scenario, p Picker, seed uint64, runs int) Result {
	var sum Result
	for i := range runs {
		s.Seed = seed + uint64(i)
		r := s.Run(p)
		sum.Requests += r.Requests
		sum.P50 += r.P50 / time.Duration(runs)
		sum.P99 += r.P99 / time.Duration(runs)
		sum.Mean += r.Mean / time.Duration(runs)
		sum.P99Delay += r.P99Delay / time.Duration(runs)
		sum.PeakLoad += r.PeakLoad / float64(runs)
		sum.PeakLoadSlow += r.PeakLoadSlow / float64(runs)
		sum.OtherZoneShare += r.OtherZoneShare / float64(runs)
		sum.RefusalRate += r.RefusalRate / float64(runs)
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
					r.P99.Milliseconds(), r.P99Delay.Milliseconds(), r.Mean.Milliseconds(), r.PeakLoad, r.PeakLoadSlow, 100*r.OtherZoneShare, r.RefusalRate)
			}
		}
	}
	return trace.Wrap(err)
}

// Command returns the subcommand policy of the bench program.
func Command() *cobra.Command {
	var seed uint64
	var runs int
	var spread bool
	cmd := &cobra.Command{
		Use:   "policy",
		Short: "Compare pickers on simulated queues with delayed load reports",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if spread {
				return SpreadTable(cmd.OutOrStdout())
			}
			return Table(cmd.OutOrStdout(), seed, runs)
		},
	}
	cmd.Flags().Uint64Var(&seed, "seed", 1, "random seed of the first run")
	cmd.Flags().IntVar(&runs, "runs", 5, "number of runs, with consecutive seeds; the table shows the means")
	cmd.Flags().BoolVar(&spread, "spread", false, "measure how evenly subsets cover the upstreams of a zone instead")
	return cmd
}
