package cmds

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/gravitational/trace"
	"github.com/samber/lo"
	"github.com/spf13/cobra"

	"parsleyroute.example/core"
	"parsleyroute.example/core/process/conf"
	"parsleyroute.example/parsley/client"
)

// settings is the settings file.
type settings struct {
	// Entries are the entries' addresses, asked in this order.
	Entries []string `toml:"entries"`
	// Key is the operator's key; KeyFile is a file that holds it.
	Key     string `toml:"key"`
	KeyFile string `toml:"keyfile"`
	// Timeout bounds one attempt at one entry; zero means 10 s.
	Timeout conf.Duration `toml:"timeout"`
}

// program is one run of parsley.
type program struct {
	out, errs io.Writer
	config    string
	flags     settings
	timeout   time.Duration
	output    string
	client    *client.Client
}

// Run runs the command line and returns its exit code.
func Run(ctx context.Context, args []string, out, errs io.Writer) Code {
	p := &program{out: out, errs: errs}
	root := p.root()
	root.SetArgs(args)
	root.SetOut(out)
	root.SetErr(errs)
	err := root.ExecuteContext(ctx)
	if err != nil {
		fmt.Fprintln(errs, "parsley:", message(err))
	}
	return codeOf(err)
}

func message(err error) string {
	var call *client.Error
	if errors.As(err, &call) {
		return call.Error()
	}
	return trace.UserMessage(err)
}

func (p *program) root() *cobra.Command {
	root := &cobra.Command{
		Use:           "parsley",
		Short:         "Operate parsleyroute",
		SilenceUsage:  true,
		SilenceErrors: true,
		PersistentPreRunE: func(cmd *cobra.Command, _ []string) error {
			return fail(Usage, p.setup(cmd))
		},
	}
	f := root.PersistentFlags()
	f.StringVar(&p.config, "config", "", "settings file (default $PARSLEY_CONFIG, or parsley/settings.toml in the user's configuration folder)")
	f.StringSliceVar(&p.flags.Entries, "entry", nil, "address of an entry; may be repeated")
	f.StringVar(&p.flags.Key, "key", "", "operator key; other users of the machine can see it, so prefer --key-file")
	f.StringVar(&p.flags.KeyFile, "key-file", "", "file that holds the operator key")
	f.DurationVar(&p.timeout, "timeout", 0, "time limit of one attempt at one entry (default 10s)")
	f.StringVarP(&p.output, "output", "o", "table", "output format: table, json or toml")
	lo.Must0(root.RegisterFlagCompletionFunc("output", cobra.FixedCompletions(formats, cobra.ShellCompDirectiveNoFileComp)))
	root.AddCommand(
		p.applyCmd(), p.diffCmd(), p.checkCmd(),
		p.getCmd(), p.deleteCmd(), p.selectCmd(),
		p.zoneCmd(), p.drainCmd(), p.statusCmd(), p.explainCmd(),
		p.traceCmd(), p.timelineCmd(),
	)
	return root
}

// setup reads the settings and makes the client. Flags win over the file.
func (p *program) setup(cmd *cobra.Command) error {
	if !lo.Contains(formats, p.output) {
		return trace.BadParameter("--output %q is not one of %v", p.output, formats)
	}
	if offline(cmd) {
		return nil
	}
	var s settings
	path, required := p.config, true
	if path == "" {
		path = os.Getenv("PARSLEY_CONFIG")
	}
	if path == "" {
		dir, err := os.UserConfigDir()
		if err == nil {
			path, required = filepath.Join(dir, "parsley", "settings.toml"), false
		}
	}
	if path != "" {
		if err := conf.Load(path, &s); err != nil && (required || !trace.IsNotFound(err)) {
			return err
		}
	}
	if len(p.flags.Entries) > 0 {
		s.Entries = p.flags.Entries
	}
	if p.flags.Key != "" || p.flags.KeyFile != "" {
		s.Key, s.KeyFile = p.flags.Key, p.flags.KeyFile
	}
	if s.Key == "" && s.KeyFile != "" {
		key, err := os.ReadFile(s.KeyFile)
		if err != nil {
			return trace.ConvertSystemError(err)
		}
		s.Key = strings.TrimSpace(string(key))
	}
	timeout := s.Timeout.Duration
	if p.timeout != 0 {
		timeout = p.timeout
	}
	p.client = &client.Client{Entries: s.Entries, Key: s.Key, Timeout: timeout}
	return nil
}

// offline reports whether the command needs no settings, so that it works with
// broken ones.
func offline(cmd *cobra.Command) bool {
	return lo.Contains([]string{"check", "trace", "timeline"}, cmd.Name()) || cmd.Name() == "help" ||
		cmd.HasParent() && cmd.Parent().Name() == "completion"
}

// warn writes a line to the standard error.
func (p *program) warn(format string, args ...any) { fmt.Fprintf(p.errs, format+"\n", args...) }

// kindOf reads a kind; its plural is understood, too.
func kindOf(arg string) (core.Kind, error) {
	kind := core.Kind(strings.TrimSuffix(arg, "s"))
	if !lo.Contains(core.DeclarationKinds, kind) {
		return "", fail(Usage, trace.BadParameter("kind %q is not one of %v", arg, core.DeclarationKinds))
	}
	return kind, nil
}

// complete returns the completion of names of a kind, or of the kind in the
// first argument if kind is empty.
func (p *program) complete(kind core.Kind) func(*cobra.Command, []string, string) ([]string, cobra.ShellCompDirective) {
	return func(cmd *cobra.Command, args []string, _ string) ([]string, cobra.ShellCompDirective) {
		k := kind
		if k == "" && len(args) == 0 {
			return lo.Map(core.DeclarationKinds, func(k core.Kind, _ int) string { return string(k) }),
				cobra.ShellCompDirectiveNoFileComp
		}
		if k == "" {
			k = core.Kind(strings.TrimSuffix(args[0], "s"))
		}
		if p.setup(cmd) != nil {
			return nil, cobra.ShellCompDirectiveError
		}
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		l, err := p.client.Objects(ctx, k, false)
		if err != nil {
			return nil, cobra.ShellCompDirectiveError
		}
		names := make([]string, 0, len(l.Objects))
		for _, o := range l.Objects {
			names = append(names, o.Name)
		}
		return names, cobra.ShellCompDirectiveNoFileComp
	}
}
