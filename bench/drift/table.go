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

// Shapes are the group sizes of the table: ranks and slots a rank for 64
// experts in each of 8 layers.
var Shapes = []expert.Shape{
	{Layers: 8, Ranks: 8, SlotsPerRank: 10, Experts: 64},
	{Layers: 8, Ranks: 16, SlotsPerRank: 6, Experts: 64},
	{Layers: 8, Ranks: 64, SlotsPerRank: 2, Experts: 64},
	{Layers: 8, Ranks: 256, SlotsPerRank: 2, Experts: 64},
}

// Seeds are the seeds of the table's runs; a cell is the median over them.
var Seeds = []uint64{1, 2, 3, 4, 5}

type placer struct {
	name string
	core.Placer
}

var placers = []placer{
	{"static", expert.Static{}},
	{"re-pack", expert.Repack{}},
	{"ours", expert.Incremental{}},
}

// Median returns the median of each figure over runs with the seeds.
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
		Median:     median(rs, func(r Result) float64 { return r.Median }),
		P99:        median(rs, func(r Result) float64 { return r.P99 }),
		Bound:      median(rs, func(r Result) float64 { return r.Bound }),
		Shift:      median(rs, func(r Result) float64 { return r.Shift }),
		ShiftBound: median(rs, func(r Result) float64 { return r.ShiftBound }),
		Settled:    time.Duration(median(rs, func(r Result) float64 { return float64(r.Settled) })),
		Moves:      int(median(rs, func(r Result) float64 { return float64(r.Moves) })),
		ShiftMoves: int(median(rs, func(r Result) float64 { return float64(r.ShiftMoves) })),
		Staged:     time.Duration(median(rs, func(r Result) float64 { return float64(r.Staged) })),
		Switches:   int(median(rs, func(r Result) float64 { return float64(r.Switches) })),
	}
}

func median(rs []Result, f func(Result) float64) float64 {
	v := lo.Map(rs, func(r Result, _ int) float64 {
		if r.Settled < 0 {
			r.Settled = time.Hour // sorts above every time
		}
		return f(r)
	})
	slices.Sort(v)
	return v[len(v)/2]
}

// Table writes the figures of all placers and shapes as a Markdown table.
func Table(w io.Writer, seeds []uint64) error {
	_, err := fmt.Fprint(w, "| ranks × slots | placer | skew median | skew p99 | bound | skew 10 s after shift | bound | settled | moves | moves after shift | staged | switches |\n"+
		"|---|---|---|---|---|---|---|---|---|---|---|---|\n")
	for _, s := range Shapes {
		for _, p := range placers {
			r := Median(Config{Shape: s, Placer: p.Placer}, seeds)
			settled := "never"
			if r.Settled < time.Hour {
				settled = r.Settled.String()
			}
			if err == nil {
				_, err = fmt.Fprintf(w, "| %d × %d | %s | %.3f | %.3f | %.3f | %.3f | %.3f | %s | %d | %d | %.1fs | %d |\n",
					s.Ranks, s.SlotsPerRank, p.name, r.Median, r.P99, r.Bound, r.Shift, r.ShiftBound, settled,
					r.Moves, r.ShiftMoves, r.Staged.Seconds(), r.Switches)
			}
		}
	}
	return trace.Wrap(err)
}

// Command returns the command that prints the table.
func Command() *cobra.Command {
	return &cobra.Command{
		Use:   "drift",
		Short: "Measure skew and rebalancing cost under drifting expert popularity",
		Args:  cobra.NoArgs,
		RunE:  func(cmd *cobra.Command, _ []string) error { return Table(cmd.OutOrStdout(), Seeds) },
	}
}
