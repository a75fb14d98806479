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

// The pauses between status queries. Each query asks every instance that is not
// known to have the versions in force.
const (
	firstPoll = 100 * time.Millisecond
	lastPoll  = time.Second
)

type waitFlags struct {
	on    bool
	limit time.Duration
}

func (w *waitFlags) register(cmd *cobra.Command) {
	cmd.Flags().BoolVar(&w.on, "wait", false, "wait until every reachable instance has the change in force")
	cmd.Flags().DurationVar(&w.limit, "wait-limit", 30*time.Second, "time limit of --wait")
}

// wait asks for the status until every reachable instance has the versions in
// force. It writes progress, and in the end the unreachable instances, to the
// standard error.
func (p *program) wait(ctx context.Context, w waitFlags, refs []admin.Ref) error {
	if !w.on || len(refs) == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, w.limit)
	defer cancel()
	begin := time.Now()
	var last string
	var lastErr error
	var s admin.Status
	confirmed, only := 0, []string(nil)
	for pause := firstPoll; ; pause = min(2*pause, lastPoll) {
		answer, err := p.client.Status(ctx, admin.StatusQuery{Refs: refs, Instances: only})
		if lastErr = err; err == nil {
			s = answer
			done := len(s.Instances) - len(s.Behind) - len(s.Unreachable)
			confirmed += done
			only = append(append([]string{}, s.Behind...), s.Unreachable...)
			line := strings.TrimSpace(lo.Ternary(len(s.Behind) > 0, "; behind: "+some(s.Behind), "") +
				lo.Ternary(len(s.Unreachable) > 0, "; unreachable: "+some(s.Unreachable), ""))
			if line = trimmed(line); line != last || pause == firstPoll {
				p.warn("in force on %d of %d instances after %s%s", confirmed, confirmed+len(only),
					time.Since(begin).Round(time.Millisecond), lo.Ternary(line == "", "", " ("+line+")"))
				last = line
			}
			if len(s.Behind) == 0 && confirmed > 0 {
				if len(s.Unreachable) > 0 {
					p.warn("warning: not reached: %s", strings.Join(s.Unreachable, ", "))
				}
				return nil
			}
		}
		if sleep(ctx, pause) != nil {
			break
		}
	}
	if lastErr != nil && len(s.Instances) == 0 {
		return fail(NotInForce, trace.LimitExceeded("the change is accepted, but no status was got within %s: %s",
			w.limit, message(lastErr)))
	}
	return fail(NotInForce, trace.LimitExceeded(
		"the change is accepted, but within %s it is in force on %d instances only; behind: [%s]; unreachable: [%s]",
		w.limit, confirmed, strings.Join(s.Behind, ", "), strings.Join(s.Unreachable, ", ")))
}

func trimmed(line string) string { return strings.TrimPrefix(line, "; ") }

// some shortens a long list of names.
func some(names []string) string {
	const most = 5
	if len(names) <= most {
		return strings.Join(names, ", ")
	}
	return strings.Join(names[:most], ", ") + " and others"
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
