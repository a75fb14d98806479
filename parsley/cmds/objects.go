package cmds

import (
	"bytes"
	"fmt"
	"strconv"
	"strings"

	"github.com/gravitational/trace"
	"github.com/pelletier/go-toml/v2"
	"github.com/spf13/cobra"

	"parsleyroute.example/core"
	"parsleyroute.example/core/process/admin"
	"parsleyroute.example/core/version/decl"
)

// objectJSON is an object in JSON output.
type objectJSON struct {
	Kind        core.Kind      `json:"kind"`
	Name        string         `json:"name"`
	Version     uint64         `json:"version"`
	Writer      string         `json:"writer"`
	Declaration map[string]any `json:"declaration"`
}

func (p *program) getCmd() *cobra.Command {
	var fromStore bool
	cmd := &cobra.Command{
		Use:   "get KIND [NAME...]",
		Short: "Show declarations",
		Long: `Shows declarations. Declarations that are named are read from the store. Lists
are read from the configuration of the entry, so that they work while the store
is down, unless --store is given. With -o toml the output is a file for apply
that includes the versions.`,
		Args:              cobra.MinimumNArgs(1),
		ValidArgsFunction: p.completeNames(""),
		RunE: func(cmd *cobra.Command, args []string) error {
			kind, err := parseKind(args[0])
			if err != nil {
				return err
			}
			objects := []admin.Object{}
			for _, name := range args[1:] {
				o, err := p.client.Object(cmd.Context(), core.Key{Kind: kind, Name: name})
				if err != nil {
					return err
				}
				objects = append(objects, o)
			}
			if len(args) == 1 {
				l, err := p.client.Objects(cmd.Context(), kind, fromStore)
				if err != nil {
					return err
				}
				objects = l.Objects
			}
			return p.printObjects(objects)
		},
	}
	cmd.Flags().BoolVar(&fromStore, "store", false, "read lists from the store")
	return cmd
}

func (p *program) printObjects(objects []admin.Object) error {
	rows := [][]string{{"KIND", "NAME", "VERSION", "WRITER", "DECLARATION"}}
	list := []objectJSON{}
	var tomlText bytes.Buffer
	for _, o := range objects {
		d, err := decl.Unmarshal(core.Key{Kind: o.Kind, Name: o.Name}, []byte(o.Value))
		if err != nil {
			p.warn("warning: unreadable object: %s", trace.UserMessage(err))
			continue
		}
		value, err := decl.Marshal(d)
		if err != nil {
			return withCode(Failed, err)
		}
		var tables map[core.Kind][]map[string]any
		if err := toml.Unmarshal(value, &tables); err != nil || len(tables[o.Kind]) != 1 {
			return withCode(Failed, trace.BadParameter("%s %q cannot be converted for output: %v", o.Kind, o.Name, err))
		}
		header := fmt.Sprintf("[[%s]]\n", o.Kind)
		fmt.Fprintf(&tomlText, "%sversion = %d\n%s\n", header, o.Version, strings.TrimPrefix(string(value), header))
		list = append(list, objectJSON{
			Kind: o.Kind, Name: o.Name, Version: o.Version, Writer: o.Writer, Declaration: tables[o.Kind][0],
		})
		rows = append(rows, []string{
			string(o.Kind), o.Name, strconv.FormatUint(o.Version, 10), o.Writer, summary(d),
		})
	}
	if p.format == "toml" {
		_, err := p.stdout.Write(tomlText.Bytes())
		return withCode(Failed, err)
	}
	return p.print(map[string]any{"objects": list}, rows)
}

// summary returns a short description of a declaration for tables.
func summary(d decl.Declaration) string {
	switch d := d.(type) {
	case decl.Zone:
		return "region " + d.Region
	case decl.Service:
		return fmt.Sprintf("%d routes, timeout %s, queue %d", len(d.Routes), d.Timeout, d.MaxQueued)
	case decl.Upstream:
		return fmt.Sprintf("%s in %s, agent %s, limit %d", d.Service, d.Zone, d.Agent, d.Limit)
	case decl.Team:
		return fmt.Sprintf("rate %g/s, weight %g, priority %d, %d keys", d.Rate, d.Weight, d.Priority, len(d.Keys))
	case decl.Rule:
		argument := map[core.Action]string{
			core.ActionAdmit:    fmt.Sprintf(" %g", d.Share),
			core.ActionRoute:    fmt.Sprintf(" to (%s)", d.To),
			core.ActionLimit:    fmt.Sprintf(" %g", d.Limit),
			core.ActionPriority: fmt.Sprintf(" %d", d.Priority),
		}[d.Action]
		return fmt.Sprintf("%s%s: %s (%s), order %d", d.Action, argument, d.Kind, d.Selector, d.Order)
	}
	return ""
}

func (p *program) deleteCmd() *cobra.Command {
	var wait waitFlags
	var dryRun bool
	var version uint64
	cmd := &cobra.Command{
		Use:               "delete KIND NAME",
		Short:             "Delete a declaration",
		Long:              "Deletes a declaration if its object has the version --version; by default, the version that is current when the command starts.",
		Args:              cobra.ExactArgs(2),
		ValidArgsFunction: p.completeNames(""),
		RunE: func(cmd *cobra.Command, args []string) error {
			kind, err := parseKind(args[0])
			if err != nil {
				return err
			}
			key := core.Key{Kind: kind, Name: args[1]}
			if version == 0 {
				o, err := p.client.Object(cmd.Context(), key)
				if err != nil {
					return err
				}
				version = o.Version
			}
			w, err := p.client.Delete(cmd.Context(), key, version, dryRun)
			if err != nil {
				return err
			}
			if err := p.printResults([]admin.WriteResult{w}); err != nil || dryRun {
				return err
			}
			return p.wait(cmd.Context(), wait, writtenRefs([]admin.WriteResult{w}))
		},
	}
	wait.register(cmd)
	cmd.Flags().BoolVar(&dryRun, "dry-run", false, "only check whether the object could be deleted")
	cmd.Flags().Uint64Var(&version, "version", 0, "expected version of the object to delete")
	return cmd
}

func (p *program) selectCmd() *cobra.Command {
	return &cobra.Command{
		Use:               "select KIND SELECTOR",
		Short:             "List the objects that a rule with this kind and selector applies to",
		Example:           "  parsley select upstream 'service = chat, zone in (zone-a, zone-b)'",
		Args:              cobra.ExactArgs(2),
		ValidArgsFunction: p.completeNames(""),
		RunE: func(cmd *cobra.Command, args []string) error {
			kind, err := parseKind(args[0])
			if err != nil {
				return err
			}
			s, err := p.client.Select(cmd.Context(), kind, args[1])
			if err != nil {
				return err
			}
			rows := [][]string{{"NAME"}}
			for _, n := range s.Names {
				rows = append(rows, []string{n})
			}
			return p.print(s, rows)
		},
	}
}
