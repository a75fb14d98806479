package drift

import (
	"fmt"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/samber/lo"
	"github.com/spf13/cobra"

	"parsleyroute.example/core"
	"parsleyroute.example/core/version/expert"
)

// Shapes lists the group sizes of the table: the number of ranks, and the slots
// per rank for 64 experts in each of 8 layers.
var Shapes = []expert.Shape{
	{Layers: 8, Ranks: 8, SlotsPerRank: 10, Experts: 64},
	{Layers: 8, Ranks: 16, SlotsPerRank: 6, Experts: 64},
	{Layers: 8, Ranks: 64, SlotsPerRank: 2, Experts: 64},
	{Layers: 8, Ranks: 256, SlotsPerRank: 2, Experts: 64},
}

// Seeds lists the seeds of the runs for the table. Each cell is the median over
// them.
var Seeds = []uint64{1, 2, 3, 4, 5}

type namedPlacer struct {
	name string
	core.Placer
}

var placers = []namedPlacer{
	{"static", expert.Static{}},
	{"re-pack", expert.Repack{}},
	{"ours", expert.Incremental{}},
}

// Median returns the median of each field over runs with the given seeds.
func Median(cfg Config, seeds []uint64) Result {
	rs := make([]Result, len(seeds))
	var wg sync.WaitGroup
	for i, s := range seeds {
		wg.Go(func() {
			c := cfg
			c.Seed = s
			rs[i] = Run(c)
		})
	}
	wg.Wait()
	return Result{
		MedianSkew:      median(rs, func(r Result) float64 { return r.MedianSkew }),
		P99Skew:         median(rs, func(r Result) float64 { return r.P99Skew }),
		MedianBound:     median(rs, func(r Result) float64 { return r.MedianBound }),
		SkewAfterShift:  median(rs, func(r Result) float64 { return r.SkewAfterShift }),
		BoundAfterShift: median(rs, func(r Result) float64 { return r.BoundAfterShift }),
		SettlingTime:    time.Duration(median(rs, func(r Result) float64 { return float64(r.SettlingTime) })),
		Moves:           int(median(rs, func(r Result) float64 { return float64(r.Moves) })),
		MovesAfterShift: int(median(rs, func(r Result) float64 { return float64(r.MovesAfterShift) })),
		StagingTime:     time.Duration(median(rs, func(r Result) float64 { return float64(r.StagingTime) })),
		Switches:        int(median(rs, func(r Result) float64 { return float64(r.Switches) })),
	}
}

func median(rs []Result, f func(Result) float64) float64 {
	v := lo.Map(rs, func(r Result, _ int) float64 {
		if r.SettlingTime < 0 {
			r.SettlingTime = time.Hour // sorts above all settling times
		}
		return f(r)
	})
	slices.Sort(v)
	return v[len(v)/2]
}

// Table writes the results of all placers and shapes as a Markdown table.
func Table(w io.Writer, seeds []uint64) error {
	_, err := fmt.Fprint(w, "| ranks × slots | placer | skew median | skew p99 | bound | skew 10 s after shift | bound | settled | moves | moves after shift | staged | switches |\n"+
		"|---|---|---|---|---|---|---|---|---|---|---|---|\n")
	for _, s := range Shapes {
		for _, p := range placers {
			r := Median(Config{Shape: s, Placer: p.Placer}, seeds)
			settled := "never"
			if r.SettlingTime < time.Hour {
				settled = r.SettlingTime.String()
			}
			if err == nil {
				_, err = fmt.Fprintf(w, "| %d × %d | %s | %.3f | %.3f | %.3f | %.3f | %.3f | %s | %d | %d | %.1fs | %d |\n",
					s.Ranks, s.SlotsPerRank, p.name, r.MedianSkew, r.P99Skew, r.MedianBound, r.SkewAfterShift, r.BoundAfterShift, settled,
					r.Moves, r.MovesAfterShift, r.StagingTime.Seconds(), r.Switches)
			}
		}
	}
	return trace.Wrap(err)
}

// Command returns the subcommand drift of the bench program, which prints the
// table.
func Command() *cobra.Command {
	return &cobra.Command{
		Use:   "drift",
		Short: "Measure skew and rebalancing cost under drifting expert popularity",
		Args:  cobra.NoArgs,
		RunE:  func(cmd *cobra.Command, _ []string) error { return Table(cmd.OutOrStdout(), Seeds) },
	}
}
