package outage

import (
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/gravitational/trace"
	"github.com/spf13/cobra"
)

// Base is the scenario of the table: a service with a fifth of its capacity to spare.
var Base = Scenario{
	Rate: 75, Slots: 108, ServiceTime: 1200 * time.Millisecond,
	Objective: 500 * time.Millisecond, Deadline: 8 * time.Second, MaxWait: 1450 * time.Millisecond,
	Start: 5 * time.Second, Duration: 30 * time.Second, Impatient: 0.1, Seed: 1,
}

// outages are the lengths of the outages in the table.
var outages = []time.Duration{500 * time.Millisecond, 1500 * time.Millisecond, 3 * time.Second, 5 * time.Second, 8 * time.Second}

// rules are the rules that the table compares. Each run has a rule of its own.
var rules = []struct {
	name    string
	new     func() Rule
	arrival bool
}{
	{"age of the shortage", ShortageRule, false},
	{"0.6 s", func() Rule { return FixedRule(600 * time.Millisecond) }, false},
	{"2.5 s", func() Rule { return FixedRule(2500 * time.Millisecond) }, false},
	{"none", func() Rule { return FixedRule(0) }, false},
	{"age of the shortage, in order of arrival", ShortageRule, true},
}

// Table plays the outages with all rules and writes the means over several seeds as
// Markdown.
func Table(w io.Writer, base Scenario, runs int) error {
	var err error
	printf := func(format string, args ...any) {
		if err == nil {
			_, err = fmt.Fprintf(w, format, args...)
		}
	}
	printf("| outage | Retry-After | in time | late | refused | of these again | mean delay of the late, ms |\n|---|---|---:|---:|---:|---:|---:|\n")
	for _, length := range outages {
		for _, rule := range rules {
			var sum Result
			for i := range runs {
				s := base
				s.Outage, s.Seed, s.Arrival = length, base.Seed+uint64(i), rule.arrival
				r := s.Run(rule.new())
				sum.InTime, sum.Late, sum.Refused, sum.Again = sum.InTime+r.InTime, sum.Late+r.Late, sum.Refused+r.Refused, sum.Again+r.Again
				sum.MeanDelay += r.MeanDelay / time.Duration(runs)
			}
			printf("| %s | %s | %d | %d | %d | %d | %d |\n", length, rule.name, sum.InTime/runs, sum.Late/runs, sum.Refused/runs, sum.Again/runs, sum.MeanDelay.Milliseconds())
		}
	}
	return trace.Wrap(err)
}

// charPerRequests is the number of requests for each character of the plot.
const charPerRequests = 3

// Plot writes one line for each second of a run: requests served in time (#) and late
// (+), and refusals (-).
func Plot(w io.Writer, s Scenario) error {
	r := s.Run(ShortageRule())
	for i := range r.InTimeBySecond {
		bar := func(c string, n int) string { return strings.Repeat(c, (n+charPerRequests-1)/charPerRequests) }
		if _, err := fmt.Fprintf(w, "%3d s %s%s%s\n", i, bar("#", r.InTimeBySecond[i]), bar("+", r.LateBySecond[i]), bar("-", r.RefusedBySecond[i])); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}

// Command returns the subcommand outage of the bench program.
func Command() *cobra.Command {
	s := Base
	var runs int
	var plot bool
	cmd := &cobra.Command{
		Use:   "outage",
		Short: "Compare rules for the Retry-After of refusals on simulated outages",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if s.Rate <= 0 || s.Slots <= 0 || s.ServiceTime <= 0 || s.Duration <= 0 || s.Outage < 0 || runs <= 0 {
				return trace.BadParameter("rate, slots, service time, duration and runs must be positive, the outage must not be negative")
			}
			if plot {
				return Plot(cmd.OutOrStdout(), s)
			}
			return Table(cmd.OutOrStdout(), s, runs)
		},
	}
	f := cmd.Flags()
	f.Float64Var(&s.Rate, "rate", s.Rate, "new requests per second")
	f.IntVar(&s.Slots, "slots", s.Slots, "requests that the service runs at once")
	f.DurationVar(&s.ServiceTime, "service-time", s.ServiceTime, "time that each request takes")
	f.DurationVar(&s.Duration, "duration", s.Duration, "time in which requests arrive")
	f.DurationVar(&s.Outage, "outage", 5*time.Second, "length of the outage in the plot")
	f.Float64Var(&s.Impatient, "impatient", s.Impatient, "fraction of the callers that come back at once and more often")
	f.Uint64Var(&s.Seed, "seed", s.Seed, "random seed of the first run")
	f.IntVar(&runs, "runs", 5, "number of runs, with consecutive seeds; the table shows the means")
	f.BoolVar(&plot, "plot", false, "plot one run by the second instead")
	return cmd
}
