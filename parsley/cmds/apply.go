package cmds

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"sync"

	"github.com/samber/lo"
	"github.com/spf13/cobra"

	"parsleyroute.example/core"
	"parsleyroute.example/core/process/admin"
	"parsleyroute.example/core/version/decl"
	"parsleyroute.example/parsley/client"
)

const (
	// listFrom is the number of objects of one kind from which one list is
	// cheaper than single reads.
	listFrom = 16
	// writers is the number of writes in flight. The store takes several
	// hundred writes a second in a few milliseconds each.
	writers = 8
)

func (p *program) applyCmd() *cobra.Command {
	var wait waitFlags
	var dry bool
	cmd := &cobra.Command{
		Use:   "apply FILE|DIRECTORY...",
		Short: "Write declarations that differ from the store",
		Long: `Writes the declarations that differ from the store, zones and services first.

A declaration with the key "version", as "get -o toml" prints it, replaces the
object only at that version; one without it, only at the version that was
current when apply began. After the first failure no further write begins; the
results of all writes are printed.`,
		Args: cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			b, err := read(args)
			if err != nil {
				return err
			}
			results, err := p.apply(cmd.Context(), b, dry)
			printed := p.printResults(results)
			if err != nil || printed != nil {
				return lo.Ternary(err != nil, err, printed)
			}
			if dry {
				return nil
			}
			return p.wait(cmd.Context(), wait, refsOf(results))
		},
	}
	wait.register(cmd)
	cmd.Flags().BoolVar(&dry, "dry-run", false, "only show what would be written")
	return cmd
}

// apply writes the batch, one kind after the other.
func (p *program) apply(ctx context.Context, b batch, dry bool) ([]admin.WriteResult, error) {
	current, err := p.current(ctx, b.declarations)
	if err != nil {
		return nil, err
	}
	var results []admin.WriteResult
	for _, kind := range core.DeclarationKinds {
		ds := lo.Filter(b.declarations, func(d decl.Declaration, _ int) bool { return d.Key().Kind == kind })
		written, err := p.applyKind(ctx, ds, current, b.versions, dry)
		results = append(results, written...)
		if err != nil {
			return results, err
		}
	}
	for _, w := range results {
		for _, m := range w.Missing {
			if !lo.ContainsBy(b.declarations, func(d decl.Declaration) bool {
				return d.Key() == core.Key{Kind: m.Kind, Name: m.Name}
			}) {
				p.warn("warning: %s %q is left out until %s %q is declared", w.Kind, w.Name, m.Kind, m.Name)
			}
		}
	}
	return results, nil
}

// applyKind writes declarations of one kind, several at a time. It returns the
// results of those that were accepted and the failures of the others.
func (p *program) applyKind(ctx context.Context, ds []decl.Declaration, current map[core.Key]admin.Object,
	versions map[core.Key]uint64, dry bool,
) ([]admin.WriteResult, error) {
	results := make([]*admin.WriteResult, len(ds))
	errs := make([]error, len(ds))
	stop := make(chan struct{})
	var once sync.Once
	next := make(chan int)
	var wg sync.WaitGroup
	for range min(writers, len(ds)) {
		wg.Go(func() {
			for i := range next {
				w, err := p.applyOne(ctx, ds[i], current, versions, dry)
				if err != nil {
					errs[i] = err
					once.Do(func() { close(stop) })
					continue
				}
				results[i] = &w
			}
		})
	}
feed:
	for i := range ds {
		select {
		case <-stop:
			break feed
		case next <- i:
		}
	}
	close(next)
	wg.Wait()
	var accepted []admin.WriteResult
	for _, w := range results {
		if w != nil {
			accepted = append(accepted, *w)
		}
	}
	return accepted, worst(ds, errs)
}

func (p *program) applyOne(ctx context.Context, d decl.Declaration, current map[core.Key]admin.Object,
	versions map[core.Key]uint64, dry bool,
) (admin.WriteResult, error) {
	value, err := decl.Marshal(d)
	if err != nil {
		return admin.WriteResult{}, fail(Invalid, err)
	}
	key := d.Key()
	o, exists := current[key]
	if exists && o.Value == string(value) {
		return admin.WriteResult{
			Kind: key.Kind, Name: key.Name, Result: admin.ResultUnchanged, Version: o.Version, DryRun: dry,
		}, nil
	}
	version, named := versions[key]
	if !named {
		version = o.Version
	}
	return p.client.Apply(ctx, key, value, version, dry)
}

// worst returns the failures as one. The exit code is that of the most serious
// one: an unknown outcome first.
func worst(ds []decl.Declaration, errs []error) error {
	var lines []string
	code := OK
	for i, err := range errs {
		if err == nil {
			continue
		}
		lines = append(lines, fmt.Sprintf("%s %q: %s", ds[i].Key().Kind, ds[i].Key().Name, message(err)))
		if c := codeOf(err); code == OK || c == Unknown {
			code = c
		}
	}
	if len(lines) == 0 {
		return nil
	}
	return fail(code, problems(lines))
}

// current returns the objects of the declarations as they are in the store.
func (p *program) current(ctx context.Context, ds []decl.Declaration) (map[core.Key]admin.Object, error) {
	objects := map[core.Key]admin.Object{}
	counts := lo.CountValuesBy(ds, func(d decl.Declaration) core.Kind { return d.Key().Kind })
	for _, kind := range core.DeclarationKinds {
		if counts[kind] < listFrom {
			continue
		}
		l, err := p.client.Objects(ctx, kind, true)
		if err != nil {
			return nil, err
		}
		for _, o := range l.Objects {
			objects[core.Key{Kind: o.Kind, Name: o.Name}] = o
		}
	}
	for _, d := range ds {
		if counts[d.Key().Kind] >= listFrom {
			continue
		}
		o, err := p.client.Object(ctx, d.Key())
		var failure *client.Error
		switch {
		case err == nil:
			objects[d.Key()] = o
		case !errors.As(err, &failure) || failure.Reason != core.ReasonNotFound:
			return nil, err
		}
	}
	return objects, nil
}

func (p *program) printResults(results []admin.WriteResult) error {
	rows := [][]string{{"KIND", "NAME", "RESULT", "VERSION", "FIELDS"}}
	for _, w := range results {
		result := w.Result
		if w.DryRun && result != admin.ResultUnchanged {
			result = "would be " + result
		}
		rows = append(rows, []string{
			string(w.Kind), w.Name, result, strconv.FormatUint(w.Version, 10), strings.Join(w.Fields, ","),
		})
	}
	return p.print(map[string]any{"results": append([]admin.WriteResult{}, results...)}, rows)
}

func refsOf(results []admin.WriteResult) []admin.Ref {
	return lo.FilterMap(results, func(w admin.WriteResult, _ int) (admin.Ref, bool) {
		return admin.Ref{Kind: w.Kind, Name: w.Name, Version: w.Version}, w.Version != 0
	})
}
