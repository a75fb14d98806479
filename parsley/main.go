// Package main is the program parsley, the operators' command line.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"parsleyroute.example/parsley/cmds"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	os.Exit(int(cmds.Run(ctx, os.Args[1:], os.Stdout, os.Stderr)))
}
