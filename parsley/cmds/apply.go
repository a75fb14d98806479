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
	// minObjectsToList is the number of objects of one kind from which on one
	// list call is cheaper than reading each object.
	minObjectsToList = 16
	// maxConcurrentWrites limits the writes in flight. The store accepts several
	// hundred writes per second, and each takes a few milliseconds.
	maxConcurrentWrites = 8
)

func (p *program) applyCmd() *cobra.Command {
	var wait waitFlags
	var dryRun bool
	cmd := &cobra.Command{
		Use:   "apply FILE|DIRECTORY...",
		Short: "Write declarations that differ from the store",
		Long: `Writes the declarations that differ from the store, zones and services first.

A declaration with the key "version", as "get -o toml" prints it, replaces the
object only if the object has that version. A declaration without the key
replaces it only if it has not changed since apply started. After the first
failure no further write is started; the results of all writes are printed.`,
		Args: cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			set, err := readDeclarations(args)
			if err != nil {
				return err
			}
			results, err := p.apply(cmd.Context(), set, dryRun)
			printErr := p.printResults(results)
			if err != nil || printErr != nil {
				return lo.Ternary(err != nil, err, printErr)
			}
			if dryRun {
				return nil
			}
			return p.wait(cmd.Context(), wait, writtenRefs(results))
		},
	}
	wait.register(cmd)
	cmd.Flags().BoolVar(&dryRun, "dry-run", false, "only show what would be written")
	return cmd
}

// apply writes the declarations, one kind after the other.
func (p *program) apply(ctx context.Context, set declarationSet, dryRun bool) ([]admin.WriteResult, error) {
	current, err := p.storedObjects(ctx, set.declarations)
	if err != nil {
		return nil, err
	}
	var results []admin.WriteResult
	for _, kind := range core.DeclarationKinds {
		ds := lo.Filter(set.declarations, func(d decl.Declaration, _ int) bool { return d.Key().Kind == kind })
		written, err := p.applyKind(ctx, ds, current, set.versions, dryRun)
		results = append(results, written...)
		if err != nil {
			return results, err
		}
	}
	for _, w := range results {
		for _, m := range w.Missing {
			if !lo.ContainsBy(set.declarations, func(d decl.Declaration) bool {
				return d.Key() == core.Key{Kind: m.Kind, Name: m.Name}
			}) {
				p.warn("warning: %s %q has no effect until %s %q is declared", w.Kind, w.Name, m.Kind, m.Name)
			}
		}
	}
	return results, nil
}

// applyKind writes declarations of one kind, several at a time. It returns the
// results of the accepted writes and the errors of the others as one error.
func (p *program) applyKind(ctx context.Context, ds []decl.Declaration, current map[core.Key]admin.Object,
	versions map[core.Key]uint64, dryRun bool,
) ([]admin.WriteResult, error) {
	results := make([]*admin.WriteResult, len(ds))
	errs := make([]error, len(ds))
	stop := make(chan struct{})
	var stopOnce sync.Once
	indexes := make(chan int)
	var wg sync.WaitGroup
	for range min(maxConcurrentWrites, len(ds)) {
		wg.Go(func() {
			for i := range indexes {
				w, err := p.applyOne(ctx, ds[i], current, versions, dryRun)
				if err != nil {
					errs[i] = err
					stopOnce.Do(func() { close(stop) })
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
		case indexes <- i:
		}
	}
	close(indexes)
	wg.Wait()
	var accepted []admin.WriteResult
	for _, w := range results {
		if w != nil {
			accepted = append(accepted, *w)
		}
	}
	return accepted, mergeErrors(ds, errs)
}

func (p *program) applyOne(ctx context.Context, d decl.Declaration, current map[core.Key]admin.Object,
	versions map[core.Key]uint64, dryRun bool,
) (admin.WriteResult, error) {
	value, err := decl.Marshal(d)
	if err != nil {
		return admin.WriteResult{}, withCode(Invalid, err)
	}
	key := d.Key()
	o, exists := current[key]
	if exists && o.Value == string(value) {
		return admin.WriteResult{
			Kind: key.Kind, Name: key.Name, Result: admin.ResultUnchanged, Version: o.Version, DryRun: dryRun,
		}, nil
	}
	version, hasVersion := versions[key]
	if !hasVersion {
		version = o.Version
	}
	return p.client.Apply(ctx, key, value, version, dryRun)
}

// mergeErrors combines the errors into one, with the exit code Unknown if any of
// them has it, else that of the first error.
func mergeErrors(ds []decl.Declaration, errs []error) error {
	var lines []string
	code := OK
	for i, err := range errs {
		if err == nil {
			continue
		}
		lines = append(lines, fmt.Sprintf("%s %q: %s", ds[i].Key().Kind, ds[i].Key().Name, errorText(err)))
		if c := exitCode(err); code == OK || c == Unknown {
			code = c
		}
	}
	if len(lines) == 0 {
		return nil
	}
	return withCode(code, errorList(lines))
}

// storedObjects reads the objects of the declarations from the store.
func (p *program) storedObjects(ctx context.Context, ds []decl.Declaration) (map[core.Key]admin.Object, error) {
	objects := map[core.Key]admin.Object{}
	counts := lo.CountValuesBy(ds, func(d decl.Declaration) core.Kind { return d.Key().Kind })
	for _, kind := range core.DeclarationKinds {
		if counts[kind] < minObjectsToList {
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
		if counts[d.Key().Kind] >= minObjectsToList {
			continue
		}
		o, err := p.client.Object(ctx, d.Key())
		var callErr *client.Error
		switch {
		case err == nil:
			objects[d.Key()] = o
		case !errors.As(err, &callErr) || callErr.Reason != core.ReasonNotFound:
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

func writtenRefs(results []admin.WriteResult) []admin.Ref {
	return lo.FilterMap(results, func(w admin.WriteResult, _ int) (admin.Ref, bool) {
		return admin.Ref{Kind: w.Kind, Name: w.Name, Version: w.Version}, w.Version != 0
	})
}
