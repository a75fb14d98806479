// Command parsley is the operators' command line of parsleyroute.
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
