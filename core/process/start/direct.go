package start

import (
	"bytes"
	"context"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"parsleyroute.example/core/process/conf"
	"parsleyroute.example/core/process/evlog"
)

const (
	// flushTimeout bounds the wait until buffered log lines are written at exit.
	flushTimeout = 200 * time.Millisecond
	// smallMaxProcs is GOMAXPROCS for processes that get a fraction of a core.
	smallMaxProcs = 1
	// memoryLimitTenths is the soft memory limit of the Go runtime in tenths of the
	// process's memory. Close to the limit the garbage collector runs more often.
	memoryLimitTenths = 7
	// smallGCPercent is the heap growth in percent (GOGC) that triggers a garbage
	// collection. At 100 a process holds 4 MB of garbage, a third to two thirds of
	// its memory; at 10 it needs as much memory as at 25.
	smallGCPercent = 25
	// reloadInterval is the interval at which the settings file is checked for
	// changes, since it can change without a signal.
	reloadInterval = 5 * time.Second
)

// Checker is implemented by settings that can validate themselves.
type Checker interface{ Check() error }

// SmallProgram is a long-running program that gets a fraction of a core and little
// memory and that writes a decision log. S holds its settings.
type SmallProgram[S any, P interface {
	*S
	Checker
}] struct {
	Name  string
	Short string
	// Version is printed by --version.
	Version string
	// Identity returns the name of the instance and the memory available to the
	// process in MB, or zero if it is unlimited.
	Identity func(S) (instance string, memoryMB int)
	// Run serves until ctx ends, then drains. Reloaded settings that pass their
	// check are sent on reloads.
	Run func(ctx context.Context, settings S, reloads <-chan S, logger *evlog.Logger) error
}

// Main runs the program with the command line of the process. The process exits
// with code 1 after a failure.
func (p *SmallProgram[S, P]) Main() {
	cmd := command(p.Name, p.Short, func(ctx context.Context, path string, checkOnly bool) error {
		var s S
		if err := conf.Load(path, &s); err != nil {
			return err
		}
		if err := P(&s).Check(); err != nil || checkOnly {
			return err
		}
		return p.run(ctx, path, s)
	})
	cmd.Version = p.Version
	execute(p.Name, cmd)
}

func (p *SmallProgram[S, P]) run(ctx context.Context, path string, s S) error {
	instance, memoryMB := p.Identity(s)
	runtime.GOMAXPROCS(smallMaxProcs)
	if memoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryMB) << 20 / 10 * memoryLimitTenths)
	}
	debug.SetGCPercent(smallGCPercent)
	logger := evlog.New(os.Stdout, p.Name, instance)
	defer logger.Close(flushTimeout)
	reloads := make(chan S, 1)
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	go p.reload(ctx, path, hup, reloads, logger)
	return p.Run(ctx, s, reloads, logger)
}

// reload reads the settings file again at each SIGHUP and when its content has
// changed. Settings that fail their check are ignored. If the program has not yet
// received the previous settings, the new ones replace them.
func (p *SmallProgram[S, P]) reload(ctx context.Context, path string, hup <-chan os.Signal, reloads chan S, logger *evlog.Logger) {
	last, _ := os.ReadFile(path)
	tick := time.NewTicker(reloadInterval)
	defer tick.Stop()
	for {
		cause := "signal"
		select {
		case <-ctx.Done():
			return
		case <-hup:
		case <-tick.C:
			cause = "change"
		}
		data, err := os.ReadFile(path)
		if err == nil && bytes.Equal(data, last) {
			if cause == "signal" {
				logger.Log("reload", "cause", cause, "changed", false)
			}
			continue
		}
		var s S
		if err == nil {
			err = conf.Decode(path, data, &s)
		}
		if err == nil {
			err = P(&s).Check()
		}
		if err != nil {
			logger.Log("reload_failed", "cause", cause, "error", err)
			continue
		}
		last = data
		logger.Log("reload", "cause", cause, "changed", true)
		select {
		case <-reloads:
		default:
		}
		reloads <- s
	}
}
