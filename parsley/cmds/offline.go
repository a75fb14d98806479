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
		Long: `Checks the syntax and the values of declarations, and that they fit together:
references, and agents, ranks and credentials that are declared twice. Warns of
rules whose selector matches nothing.`,
		Args: cobra.MinimumNArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			b, err := read(args)
			if err != nil {
				return err
			}
			faults := decl.CheckSet(b.declarations)
			if partial {
				faults = lo.Reject(faults, func(err error, _ int) bool { return trace.IsNotFound(err) })
			}
			if len(faults) > 0 {
				lines := lo.Map(faults, func(err error, _ int) string { return trace.UserMessage(err) })
				return fail(Invalid, problems(lines))
			}
			if err := p.warnIdle(b.declarations); err != nil {
				return err
			}
			rows := [][]string{{"KIND", "DECLARATIONS"}}
			counts := map[string]int{}
			for _, k := range core.DeclarationKinds {
				n := lo.CountBy(b.declarations, func(d decl.Declaration) bool { return d.Key().Kind == k })
				counts[string(k)] = n
				rows = append(rows, []string{string(k), strconv.Itoa(n)})
			}
			return p.print(counts, rows)
		},
	}
	cmd.Flags().BoolVar(&partial, "partial", false, "allow references to declarations that are not in the files")
	return cmd
}

// warnIdle warns of rules whose selectors match none of the declarations.
func (p *program) warnIdle(ds []decl.Declaration) error {
	var objects []core.Object
	for i, d := range ds {
		value, err := decl.Marshal(d)
		if err != nil {
			return fail(Invalid, err)
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
			return fail(Invalid, err)
		}
		if len(names) == 0 {
			p.warn("warning: rule %q: selector %q matches no %s", r.Name, r.Selector, r.Kind)
		}
		if r.Action != core.ActionRoute {
			continue
		}
		if names, err = rules.Match(table, core.KindUpstream, r.To); err != nil {
			return fail(Invalid, err)
		}
		if len(names) == 0 {
			p.warn("warning: rule %q: route %q matches no upstream", r.Name, r.To)
		}
	}
	return nil
}

// difference is one line of diff.
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
			b, err := read(args)
			if err != nil {
				return err
			}
			current, err := p.current(cmd.Context(), b.declarations)
			if err != nil {
				return err
			}
			rows := [][]string{{"KIND", "NAME", "STATE", "FIELDS"}}
			list := []difference{}
			for _, d := range b.declarations {
				key := d.Key()
				x := difference{Kind: key.Kind, Name: key.Name, State: "new"}
				var was decl.Declaration
				if o, ok := current[key]; ok {
					x.State = "changed"
					if was, err = decl.Unmarshal(key, []byte(o.Value)); err != nil {
						x.State, was = "unreadable", nil
					}
				}
				if x.Fields = decl.Diff(was, d); len(x.Fields) == 0 {
					continue
				}
				list = append(list, x)
				rows = append(rows, []string{string(x.Kind), x.Name, x.State, strings.Join(x.Fields, ",")})
			}
			if err := p.print(map[string]any{"differences": list}, rows); err != nil || len(list) == 0 {
				return err
			}
			return fail(Differs, trace.CompareFailed("%d of %d declarations differ", len(list), len(b.declarations)))
		},
	}
}
