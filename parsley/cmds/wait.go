package cmds

import (
	"context"
	"strings"
	"time"

	"github.com/gravitational/trace"
	"github.com/samber/lo"
	"github.com/spf13/cobra"

	"parsleyroute.example/core/process/admin"
)

// The interval between status queries doubles from minPollInterval up to
// maxPollInterval. Each query covers all instances on which the versions are not
// known to be in effect.
const (
	minPollInterval = 100 * time.Millisecond
	maxPollInterval = time.Second
)

type waitFlags struct {
	enabled bool
	limit   time.Duration
}

func (w *waitFlags) register(cmd *cobra.Command) {
	cmd.Flags().BoolVar(&w.enabled, "wait", false, "wait until every reachable instance has the change in force")
	cmd.Flags().DurationVar(&w.limit, "wait-limit", 30*time.Second, "time limit of --wait")
}

// wait polls the status until the versions are in effect on every reachable
// instance. It writes the progress, and finally the unreachable instances, to
// the standard error.
func (p *program) wait(ctx context.Context, w waitFlags, refs []admin.Ref) error {
	if !w.enabled || len(refs) == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, w.limit)
	defer cancel()
	start := time.Now()
	var lastLine string
	var lastErr error
	var s admin.Status
	confirmed, remaining := 0, []string(nil)
	for interval := minPollInterval; ; interval = min(2*interval, maxPollInterval) {
		status, err := p.client.Status(ctx, admin.StatusQuery{Refs: refs, Instances: remaining})
		if lastErr = err; err == nil {
			s = status
			newlyConfirmed := len(s.Instances) - len(s.Behind) - len(s.Unreachable)
			confirmed += newlyConfirmed
			remaining = append(append([]string{}, s.Behind...), s.Unreachable...)
			line := strings.TrimSpace(lo.Ternary(len(s.Behind) > 0, "; behind: "+abbreviate(s.Behind), "") +
				lo.Ternary(len(s.Unreachable) > 0, "; unreachable: "+abbreviate(s.Unreachable), ""))
			if line = trimSeparator(line); line != lastLine || interval == minPollInterval {
				p.warn("in force on %d of %d instances after %s%s", confirmed, confirmed+len(remaining),
					time.Since(start).Round(time.Millisecond), lo.Ternary(line == "", "", " ("+line+")"))
				lastLine = line
			}
			if len(s.Behind) == 0 && confirmed > 0 {
				if len(s.Unreachable) > 0 {
					p.warn("warning: not reached: %s", strings.Join(s.Unreachable, ", "))
				}
				return nil
			}
		}
		if sleep(ctx, interval) != nil {
			break
		}
	}
	if lastErr != nil && len(s.Instances) == 0 {
		return withCode(NotInEffect, trace.LimitExceeded("the change was accepted, but no status was received within %s: %s",
			w.limit, errorText(lastErr)))
	}
	return withCode(NotInEffect, trace.LimitExceeded(
		"the change was accepted, but after %s it is in force on only %d instances; behind: [%s]; unreachable: [%s]",
		w.limit, confirmed, strings.Join(s.Behind, ", "), strings.Join(s.Unreachable, ", ")))
}

func trimSeparator(line string) string { return strings.TrimPrefix(line, "; ") }

// abbreviate joins the names and omits all but the first five.
func abbreviate(names []string) string {
	const maxNames = 5
	if len(names) <= maxNames {
		return strings.Join(names, ", ")
	}
	return strings.Join(names[:maxNames], ", ") + " and others"
}

func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}
