package cmds

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"github.com/gravitational/trace"
	"github.com/samber/lo"
	"github.com/spf13/cobra"

	"parsleyroute.example/core/process/admin"
)

func (p *program) statusCmd() *cobra.Command {
	var refs []string
	cmd := &cobra.Command{
		Use:   "status",
		Short: "Show the configuration in force on every instance",
		Long: `Queries every listed instance. Instances with the same digest have the same
configuration in force. Exits with 8 if an instance cannot be reached, or has an
older version of an object that --ref names.`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			q, err := parseRefs(refs)
			if err != nil {
				return err
			}
			s, err := p.client.Status(cmd.Context(), q)
			if err != nil {
				return err
			}
			rows := [][]string{{"INSTANCE", "ROLE", "ZONE", "DIGEST", "OBJECTS", "INFLIGHT", "LIMIT", "STATE"}}
			for _, in := range s.Instances {
				rows = append(rows, []string{
					in.Name, string(in.Role), in.Zone, fmt.Sprintf("%016x", in.Digest), fmt.Sprint(in.Objects),
					fmt.Sprint(in.Inflight), fmt.Sprint(in.Limit), instanceState(in, s),
				})
			}
			if err := p.print(s, rows); err != nil {
				return err
			}
			if len(s.Behind)+len(s.Unreachable) > 0 {
				return withCode(NotInEffect, trace.CompareFailed("behind: [%s]; unreachable: [%s]",
					strings.Join(s.Behind, ", "), strings.Join(s.Unreachable, ", ")))
			}
			return nil
		},
	}
	cmd.Flags().StringArrayVar(&refs, "ref", nil, "object that should be in force, as KIND/NAME@VERSION; may be repeated")
	return cmd
}

func instanceState(in admin.InstanceStatus, s admin.Status) string {
	switch {
	case in.Error != "":
		return "unreachable: " + in.Error
	case lo.Contains(s.Behind, in.Name):
		return "behind"
	case in.Leaving:
		return "leaving"
	case in.Draining:
		return "draining"
	}
	return "ok"
}

func parseRefs(refs []string) (admin.StatusQuery, error) {
	var q admin.StatusQuery
	for _, r := range refs {
		object, version, _ := strings.Cut(r, "@")
		kind, name, ok := strings.Cut(object, "/")
		n, err := strconv.ParseUint(version, 10, 64)
		if !ok || err != nil {
			return q, withCode(Usage, trace.BadParameter("--ref %q is not KIND/NAME@VERSION", r))
		}
		k, err := parseKind(kind)
		if err != nil {
			return q, err
		}
		q.Refs = append(q.Refs, admin.Ref{Kind: k, Name: name, Version: n})
	}
	return q, nil
}

func (p *program) explainCmd() *cobra.Command {
	return &cobra.Command{
		Use:   "explain REQUEST-ID",
		Short: "Show how a request was handled",
		Long:  "Queries the entries in the settings one after another, because each entry records only its own requests. The output is TOML unless -o json is given.",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			v, err := p.client.Explain(cmd.Context(), args[0])
			if err != nil {
				return err
			}
			if p.format == "json" {
				return p.print(json.RawMessage(v), nil)
			}
			return p.printTOML(json.RawMessage(v))
		},
	}
}
