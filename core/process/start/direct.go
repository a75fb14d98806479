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
	"parsleyroute.example/core/process/trail"
)

const (
	// flushTime bounds the wait for log lines at the end of the process.
	flushTime = 200 * time.Millisecond
	// smallProcs is the number of processor threads that run Go code at once in
	// processes that have a part of one core.
	smallProcs = 1
	// heapTenths is the part of the memory, in tenths, that the heap may take
	// before it is collected more often.
	heapTenths = 7
	// smallGC is the growth of the heap, in percent, at which it is collected. At
	// 100 a process holds 4 MB of garbage, a third to two thirds of its memory; at
	// 10 it takes no less memory than at 25.
	smallGC = 25
	// reloadPeriod is how often the settings file is compared with what was
	// read, since it can change without a signal.
	reloadPeriod = 5 * time.Second
)

// Checker is implemented by settings that can be checked.
type Checker interface{ Check() error }

// SmallProgram is a program that runs in a small part of a machine and logs its
// decisions. S holds its settings.
type SmallProgram[S any, P interface {
	*S
	Checker
}] struct {
	Name  string
	Short string
	// Version is printed by --version.
	Version string
	// Identity returns the instance's name and its memory in MB, zero if it has
	// no bound.
	Identity func(S) (instance string, memory int)
	// Run serves until ctx ends, then drains. Each settings file that is read
	// anew and passes its check arrives on reloads.
	Run func(ctx context.Context, settings S, reloads <-chan S, t *trail.Logger) error
}

// Main runs the program with the process's command line and ends the process.
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
	instance, memory := p.Identity(s)
	runtime.GOMAXPROCS(smallProcs)
	if memory > 0 {
		debug.SetMemoryLimit(int64(memory) << 20 / 10 * heapTenths)
	}
	debug.SetGCPercent(smallGC)
	t := trail.New(os.Stdout, p.Name, instance)
	defer t.Close(flushTime)
	reloads := make(chan S, 1)
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	go p.reload(ctx, path, hup, reloads, t)
	return p.Run(ctx, s, reloads, t)
}

// reload reads the settings file anew at each SIGHUP and whenever its content
// has changed. Settings that fail their check change nothing.
func (p *SmallProgram[S, P]) reload(ctx context.Context, path string, hup <-chan os.Signal, reloads chan S, t *trail.Logger) {
	last, _ := os.ReadFile(path)
	tick := time.NewTicker(reloadPeriod)
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
				t.Log("reload", "cause", cause, "changed", false)
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
			t.Log("reload_failed", "cause", cause, "error", err)
			continue
		}
		last = data
		t.Log("reload", "cause", cause, "changed", true)
		select {
		case <-reloads:
		default:
		}
		reloads <- s
	}
}
