package cmds

import (
	"context"

	"github.com/gravitational/trace"
	"github.com/spf13/cobra"

	"parsleyroute.example/core"
	"parsleyroute.example/core/process/admin"
)

func (p *program) zoneCmd() *cobra.Command {
	cmd := &cobra.Command{Use: "zone", Short: "Take availability zones out of service or put them back"}
	for _, c := range []struct {
		out              bool
		use, short, long string
	}{
		{true, "out ZONE", "Take a zone out of service", "Creates the rule out.zone.ZONE. Upstreams of the zone get no new requests and finish those in flight."},
		{false, "in ZONE", "Put a zone back into service", "Deletes the rule out.zone.ZONE. Exits with 8 if another rule keeps the zone out of service."},
	} {
		var wait waitFlags
		sub := &cobra.Command{
			Use: c.use, Short: c.short, Long: c.long, Args: cobra.ExactArgs(1),
			ValidArgsFunction: p.completeNames(core.KindZone),
			RunE: func(cmd *cobra.Command, args []string) error {
				return p.setOut(cmd.Context(), core.Key{Kind: core.KindZone, Name: args[0]}, c.out, wait)
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
		Short: "Stop sending new requests to an upstream",
		Long: `Creates the rule out.upstream.UPSTREAM; --undo deletes it. The upstream finishes
its requests in flight. Exits with 8 if another rule keeps the upstream out of
service after --undo.`,
		Args:              cobra.ExactArgs(1),
		ValidArgsFunction: p.completeNames(core.KindUpstream),
		RunE: func(cmd *cobra.Command, args []string) error {
			return p.setOut(cmd.Context(), core.Key{Kind: core.KindUpstream, Name: args[0]}, !undo, wait)
		},
	}
	wait.register(cmd)
	cmd.Flags().BoolVar(&undo, "undo", false, "send requests to the upstream again")
	return cmd
}

func (p *program) setOut(ctx context.Context, key core.Key, out bool, wait waitFlags) error {
	w, err := p.client.SetOut(ctx, key, out)
	if err != nil {
		return err
	}
	if err := p.printResults([]admin.WriteResult{w}); err != nil {
		return err
	}
	if err := p.wait(ctx, wait, writtenRefs([]admin.WriteResult{w})); err != nil {
		return err
	}
	if !out && w.RemainingOutRule != "" {
		return withCode(NotInEffect, trace.CompareFailed("%s %q is still kept out of service by rule %q", key.Kind, key.Name, w.RemainingOutRule))
	}
	return nil
}
