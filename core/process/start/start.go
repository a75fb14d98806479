// Package start holds what the long-running programs have in common: command line,
// settings, logger, signals and exit code.
package start

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"os"
	"os/signal"
	"syscall"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/spf13/cobra"

	"parsleyroute.example/core/process/conf"
	"parsleyroute.example/core/process/logs"
)

// Settings are a program's settings.
type Settings interface {
	// Check returns an error for the first setting that is missing or out of
	// range.
	Check() error
	// NodeSettings returns the settings that all programs have in common.
	NodeSettings() *conf.Node
}

// Program is a long-running program. S holds its settings.
type Program[S Settings] struct {
	Name  string
	Short string
	// Run serves until ctx ends, then drains.
	Run func(ctx context.Context, settings S, logger log.Logger) error
}

// Main runs the program with the command line of the process. The settings file is
// decoded into settings. The process exits with code 1 after a failure.
func (p *Program[S]) Main(settings S) {
	execute(p.Name, p.command(settings))
}

// SignalContext returns a context that ends at SIGINT or SIGTERM.
func SignalContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
}

func (p *Program[S]) command(settings S) *cobra.Command {
	return command(p.Name, p.Short, func(ctx context.Context, path string, checkOnly bool) error {
		if err := conf.Load(path, settings); err != nil {
			return err
		}
		if err := settings.Check(); err != nil || checkOnly {
			return err
		}
		node := settings.NodeSettings()
		node.SetMaxProcs()
		return p.Run(ctx, settings, logs.New(os.Stdout, p.Name, node.Instance, node.Level))
	})
}

// command returns the root command of a program. run gets the path of the settings
// file and whether to check the settings only.
func command(name, short string, run func(ctx context.Context, path string, checkOnly bool) error) *cobra.Command {
	var path string
	var checkOnly bool
	cmd := &cobra.Command{
		Use:           name + " --settings FILE",
		Short:         short,
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE:          func(cmd *cobra.Command, _ []string) error { return run(cmd.Context(), path, checkOnly) },
	}
	cmd.Flags().StringVar(&path, "settings", name+".toml", "settings file")
	cmd.Flags().BoolVar(&checkOnly, "check", false, "check the settings and exit")
	return cmd
}

// execute runs a command. It exits the process with code 1 after a failure.
func execute(name string, cmd *cobra.Command) {
	ctx, stop := SignalContext()
	defer stop()
	if err := cmd.ExecuteContext(ctx); err != nil {
		_ = level.Error(logs.New(os.Stderr, name, "", "")).Log("msg", "the program failed", "err", err.Error())
		stop()
		os.Exit(1)
	}
}

// Incarnation returns a random number that distinguishes a process from earlier
// ones on the same instance. It is never zero, which means unknown.
func Incarnation() uint64 {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return max(1, binary.BigEndian.Uint64(b[:])>>1)
}
