package cmds

import (
	"strconv"
	"strings"

	"github.com/gravitational/trace"
	"github.com/samber/lo"
	"github.com/spf13/cobra"

	"parsleyroute.example/core"
	"parsleyroute.example/core/version/decl"
	"parsleyroute.example/core/version/rules"
)

func (p *program) checkCmd() *cobra.Command {
	var partial bool
	cmd := &cobra.Command{
		Use:   "check FILE|DIRECTORY...",
		Short: "Check declarations without a connection",
		Long: `Checks the syntax and the values of declarations, the references between them,
and that no agent, rank or credential is declared twice. Warns about rules whose
selector matches no object.`,
		Args: cobra.MinimumNArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			set, err := readDeclarations(args)
			if err != nil {
				return err
			}
			errs := decl.CheckSet(set.declarations)
			if partial {
				errs = lo.Reject(errs, func(err error, _ int) bool { return trace.IsNotFound(err) })
			}
			if len(errs) > 0 {
				lines := lo.Map(errs, func(err error, _ int) string { return trace.UserMessage(err) })
				return withCode(Invalid, errorList(lines))
			}
			if err := p.warnUnmatched(set.declarations); err != nil {
				return err
			}
			rows := [][]string{{"KIND", "DECLARATIONS"}}
			counts := map[string]int{}
			for _, k := range core.DeclarationKinds {
				n := lo.CountBy(set.declarations, func(d decl.Declaration) bool { return d.Key().Kind == k })
				counts[string(k)] = n
				rows = append(rows, []string{string(k), strconv.Itoa(n)})
			}
			return p.print(counts, rows)
		},
	}
	cmd.Flags().BoolVar(&partial, "partial", false, "allow references to declarations that are not in the files")
	return cmd
}

// warnUnmatched warns about rules with a selector that matches no declaration.
func (p *program) warnUnmatched(ds []decl.Declaration) error {
	var objects []core.Object
	for i, d := range ds {
		value, err := decl.Marshal(d)
		if err != nil {
			return withCode(Invalid, err)
		}
		objects = append(objects, core.Object{Key: d.Key(), Version: uint64(i + 1), Value: value})
	}
	table, _ := rules.Compile(objects)
	for _, d := range ds {
		r, ok := d.(decl.Rule)
		if !ok {
			continue
		}
		names, err := rules.Match(table, r.Kind, r.Selector)
		if err != nil {
			return withCode(Invalid, err)
		}
		if len(names) == 0 {
			p.warn("warning: rule %q: selector %q matches no %s", r.Name, r.Selector, r.Kind)
		}
		if r.Action != core.ActionRoute {
			continue
		}
		if names, err = rules.Match(table, core.KindUpstream, r.To); err != nil {
			return withCode(Invalid, err)
		}
		if len(names) == 0 {
			p.warn("warning: rule %q: route target %q matches no upstream", r.Name, r.To)
		}
	}
	return nil
}

// difference is a declaration that differs from the store, as diff prints it.
type difference struct {
	Kind   core.Kind `json:"kind"`
	Name   string    `json:"name"`
	State  string    `json:"state"`
	Fields []string  `json:"fields,omitempty"`
}

func (p *program) diffCmd() *cobra.Command {
	return &cobra.Command{
		Use:   "diff FILE|DIRECTORY...",
		Short: "Compare declarations with the store",
		Long:  "Shows the declarations that are new or differ from the store. Exits with 1 if there are any.",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			set, err := readDeclarations(args)
			if err != nil {
				return err
			}
			current, err := p.storedObjects(cmd.Context(), set.declarations)
			if err != nil {
				return err
			}
			rows := [][]string{{"KIND", "NAME", "STATE", "FIELDS"}}
			list := []difference{}
			for _, d := range set.declarations {
				key := d.Key()
				diff := difference{Kind: key.Kind, Name: key.Name, State: "new"}
				var stored decl.Declaration
				if o, ok := current[key]; ok {
					diff.State = "changed"
					if stored, err = decl.Unmarshal(key, []byte(o.Value)); err != nil {
						diff.State, stored = "unreadable", nil
					}
				}
				if diff.Fields = decl.Diff(stored, d); len(diff.Fields) == 0 {
					continue
				}
				list = append(list, diff)
				rows = append(rows, []string{string(diff.Kind), diff.Name, diff.State, strings.Join(diff.Fields, ",")})
			}
			if err := p.print(map[string]any{"differences": list}, rows); err != nil || len(list) == 0 {
				return err
			}
			return withCode(Differs, trace.CompareFailed("%d of %d declarations differ", len(list), len(set.declarations)))
		},
	}
}
