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
	// Shared returns the settings that all programs have.
	Shared() *conf.Node
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
	ctx, stop := Signals()
	defer stop()
	if err := p.command(settings).ExecuteContext(ctx); err != nil {
		_ = level.Error(logs.New(os.Stderr, p.Name, "", "")).Log("msg", "the program failed", "err", err.Error())
		stop()
		os.Exit(1)
	}
}

// Signals returns a context that ends with the signal to shut down.
func Signals() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
}

func (p *Program[S]) command(settings S) *cobra.Command {
	var path string
	var checkOnly bool
	cmd := &cobra.Command{
		Use:           p.Name + " --settings FILE",
		Short:         p.Short,
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := conf.Load(path, settings); err != nil {
				return err
			}
			if err := settings.Check(); err != nil || checkOnly {
				return err
			}
			shared := settings.Shared()
			shared.LimitProcs()
			return p.Run(cmd.Context(), settings, logs.New(os.Stdout, p.Name, shared.Instance, shared.Level))
		},
	}
	cmd.Flags().StringVar(&path, "settings", p.Name+".toml", "settings file")
	cmd.Flags().BoolVar(&checkOnly, "check", false, "check the settings and exit")
	return cmd
}

// Incarnation returns a random number that tells a process from those that ran
// on the instance before. It is never zero, which stands for unknown.
func Incarnation() uint64 {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return max(1, binary.BigEndian.Uint64(b[:])>>1)
}
