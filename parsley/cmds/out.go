package cmds

import (
	"context"

	"github.com/gravitational/trace"
	"github.com/spf13/cobra"

	"parsleyroute.example/core"
	"parsleyroute.example/core/process/admin"
)

func (p *program) zoneCmd() *cobra.Command {
	cmd := &cobra.Command{Use: "zone", Short: "Take availability zones out and in"}
	for _, c := range []struct {
		out               bool
		use, short, longs string
	}{
		{true, "out ZONE", "Take a zone out", "Creates the rule out.zone.ZONE. Upstreams of the zone get no new work and finish what is in flight."},
		{false, "in ZONE", "Take a zone in again", "Deletes the rule out.zone.ZONE. Exits with 8 if another rule keeps the zone out."},
	} {
		var wait waitFlags
		sub := &cobra.Command{
			Use: c.use, Short: c.short, Long: c.longs, Args: cobra.ExactArgs(1),
			ValidArgsFunction: p.complete(core.KindZone),
			RunE: func(cmd *cobra.Command, args []string) error {
				return p.move(cmd.Context(), core.Key{Kind: core.KindZone, Name: args[0]}, c.out, wait)
			},
		}
		wait.register(sub)
		cmd.AddCommand(sub)
	}
	return cmd
}

func (p *program) drainCmd() *cobra.Command {
	var wait waitFlags
	var undo bool
	cmd := &cobra.Command{
		Use:   "drain UPSTREAM",
		Short: "Give an upstream no more work",
		Long: `Creates the rule out.upstream.UPSTREAM; --undo deletes it. The upstream finishes
its work in flight. Exits with 8 if another rule keeps the upstream out after
--undo.`,
		Args:              cobra.ExactArgs(1),
		ValidArgsFunction: p.complete(core.KindUpstream),
		RunE: func(cmd *cobra.Command, args []string) error {
			return p.move(cmd.Context(), core.Key{Kind: core.KindUpstream, Name: args[0]}, !undo, wait)
		},
	}
	wait.register(cmd)
	cmd.Flags().BoolVar(&undo, "undo", false, "give the upstream work again")
	return cmd
}

func (p *program) move(ctx context.Context, key core.Key, out bool, wait waitFlags) error {
	w, err := p.client.Out(ctx, key, out)
	if err != nil {
		return err
	}
	if err := p.printResults([]admin.WriteResult{w}); err != nil {
		return err
	}
	if err := p.wait(ctx, wait, refsOf([]admin.WriteResult{w})); err != nil {
		return err
	}
	if !out && w.RemainingOutRule != "" {
		return fail(NotInForce, trace.CompareFailed("%s %q is still out by rule %q", key.Kind, key.Name, w.RemainingOutRule))
	}
	return nil
}
