package main

import (
	"os"
	"os/exec"
	"os/signal"
	"sync"
	"syscall"
)

// children holds the processes that the test has started and that have not ended.
var children = struct {
	sync.Mutex
	running map[*exec.Cmd]bool
}{running: map[*exec.Cmd]bool{}}

// startChild starts a process of the test.
func startChild(cmd *exec.Cmd) error {
	children.Lock()
	defer children.Unlock()
	if err := cmd.Start(); err != nil {
		return err
	}
	children.running[cmd] = true
	return nil
}

// awaitChild waits for the end of a process.
func awaitChild(cmd *exec.Cmd) error {
	err := cmd.Wait()
	children.Lock()
	defer children.Unlock()
	delete(children.running, cmd)
	return err
}

// endChildrenOnSignal ends all processes of the test when the test is interrupted.
func endChildrenOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-signals
		children.Lock()
		for cmd := range children.running {
			_ = cmd.Process.Kill()
		}
		os.Exit(couldNot)
	}()
}
