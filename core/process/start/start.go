// Package start is the common part of the long-running programs: command line,
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
	// Check reports the first setting that is missing or out of range.
	Check() error
	// NodeSettings returns the settings that all nodes have in common.
	NodeSettings() *conf.Node
}

// Program is a long-running program with the settings S.
type Program[S Settings] struct {
	Name  string
	Short string
	// Run serves until ctx ends, then drains.
	Run func(ctx context.Context, settings S, logger log.Logger) error
}

// Main runs the program with the process's command line and ends the process.
// settings is what the settings file is decoded into. The process ends with 1
// after a failure.
func (p *Program[S]) Main(settings S) {
	execute(p.Name, p.command(settings))
}

// SignalContext returns a context that ends with the signal to shut down.
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
		shared := settings.NodeSettings()
		shared.SetMaxProcs()
		return p.Run(ctx, settings, logs.New(os.Stdout, p.Name, shared.Instance, shared.Level))
	})
}

// command returns the command of a program that run serves with the settings file
// at path, or whose settings it only checks.
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

// execute runs a command and ends the process with 1 after a failure.
func execute(name string, cmd *cobra.Command) {
	ctx, stop := SignalContext()
	defer stop()
	if err := cmd.ExecuteContext(ctx); err != nil {
		_ = level.Error(logs.New(os.Stderr, name, "", "")).Log("msg", "the program failed", "err", err.Error())
		stop()
		os.Exit(1)
	}
}

// Incarnation returns a random number that tells a process from those that ran
// on the instance before. It is never zero, which stands for unknown.
func Incarnation() uint64 {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return max(1, binary.BigEndian.Uint64(b[:])>>1)
}
