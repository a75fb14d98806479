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

// settings is the content of the settings file.
type settings struct {
	// Entries are the addresses of the entries, in the order in which they are
	// tried.
	Entries []string `toml:"entries"`
	// Key is the operator's key; KeyFile is the path of a file that contains it.
	Key     string `toml:"key"`
	KeyFile string `toml:"keyfile"`
	// Timeout limits one attempt at one entry; zero means 10 s.
	Timeout conf.Duration `toml:"timeout"`
}

// program holds the output streams, flags and client of one run of parsley.
type program struct {
	stdout, stderr io.Writer
	configPath     string
	flags          settings
	timeout        time.Duration
	format         string
	client         *client.Client
}

// Run runs the command line and returns its exit code.
func Run(ctx context.Context, args []string, stdout, stderr io.Writer) Code {
	p := &program{stdout: stdout, stderr: stderr}
	root := p.rootCmd()
	root.SetArgs(args)
	root.SetOut(stdout)
	root.SetErr(stderr)
	err := root.ExecuteContext(ctx)
	if err != nil {
		fmt.Fprintln(stderr, "parsley:", errorText(err))
	}
	return exitCode(err)
}

func errorText(err error) string {
	var callErr *client.Error
	if errors.As(err, &callErr) {
		return callErr.Error()
	}
	return trace.UserMessage(err)
}

func (p *program) rootCmd() *cobra.Command {
	root := &cobra.Command{
		Use:           "parsley",
		Short:         "Operate parsleyroute",
		SilenceUsage:  true,
		SilenceErrors: true,
		PersistentPreRunE: func(cmd *cobra.Command, _ []string) error {
			return withCode(Usage, p.setup(cmd))
		},
	}
	f := root.PersistentFlags()
	f.StringVar(&p.configPath, "config", "", "settings file (default $PARSLEY_CONFIG, or parsley/settings.toml in the user's configuration folder)")
	f.StringSliceVar(&p.flags.Entries, "entry", nil, "address of an entry; may be repeated")
	f.StringVar(&p.flags.Key, "key", "", "operator key; other users of the machine can see it, so prefer --key-file")
	f.StringVar(&p.flags.KeyFile, "key-file", "", "file that holds the operator key")
	f.DurationVar(&p.timeout, "timeout", 0, "time limit of one attempt at one entry (default 10s)")
	f.StringVarP(&p.format, "output", "o", "table", "output format: table, json or toml")
	lo.Must0(root.RegisterFlagCompletionFunc("output", cobra.FixedCompletions(formats, cobra.ShellCompDirectiveNoFileComp)))
	root.AddCommand(
		p.applyCmd(), p.diffCmd(), p.checkCmd(),
		p.getCmd(), p.deleteCmd(), p.selectCmd(),
		p.zoneCmd(), p.drainCmd(), p.statusCmd(), p.explainCmd(),
		p.traceCmd(), p.timelineCmd(),
	)
	return root
}

// setup reads the settings and creates the client. Flags take precedence over
// the settings file.
func (p *program) setup(cmd *cobra.Command) error {
	if !lo.Contains(formats, p.format) {
		return trace.BadParameter("--output %q is not one of %v", p.format, formats)
	}
	if isOffline(cmd) {
		return nil
	}
	var s settings
	path, required := p.configPath, true
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

// isOffline reports whether the command needs neither settings nor a client.
// Such a command also works if the settings are invalid.
func isOffline(cmd *cobra.Command) bool {
	return lo.Contains([]string{"check", "trace", "timeline"}, cmd.Name()) || cmd.Name() == "help" ||
		cmd.HasParent() && cmd.Parent().Name() == "completion"
}

// warn writes a formatted line to the standard error.
func (p *program) warn(format string, args ...any) { fmt.Fprintf(p.stderr, format+"\n", args...) }

// parseKind parses the name of a kind, in the singular or plural.
func parseKind(arg string) (core.Kind, error) {
	kind := core.Kind(strings.TrimSuffix(arg, "s"))
	if !lo.Contains(core.DeclarationKinds, kind) {
		return "", withCode(Usage, trace.BadParameter("kind %q is not one of %v", arg, core.DeclarationKinds))
	}
	return kind, nil
}

// completeNames returns a shell completion function for the names of the
// objects of a kind. If kind is empty, the first argument names the kind and is
// completed as well.
func (p *program) completeNames(kind core.Kind) func(*cobra.Command, []string, string) ([]string, cobra.ShellCompDirective) {
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
