// Package main is the program fakes: stand-ins for the platform and the
// upstreams, for tests and experiments on one machine. docs/fakes.md describes
// the subcommands.
package main

import (
	"context"
	"encoding/json"
	"net/netip"
	"os"
	"os/signal"
	"syscall"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/spf13/cobra"

	"parsleyroute.example/core/process/logs"
	"parsleyroute.example/fakes/process/serve"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := program().ExecuteContext(ctx); err != nil {
		_ = level.Error(logs.New(os.Stderr, "fakes", "", "")).Log("msg", "the program failed", "err", err.Error())
		stop()
		os.Exit(1)
	}
}

// program returns the root command.
func program() *cobra.Command {
	root := &cobra.Command{
		Use:           "fakes",
		Short:         "Stand-ins for the platform and the upstreams",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(platform(), engine(), service(), faults(), group(), deployment())
	return root
}

// server is a stand-in that has been set up.
type server interface {
	Start() error
	Addr() netip.AddrPort
	Close() error
}

// run serves until the context of the command ends.
func run(cmd *cobra.Command, logger log.Logger, s server) error {
	if err := s.Start(); err != nil {
		return err
	}
	_ = level.Info(logger).Log("msg", "listening", "address", s.Addr().String())
	<-cmd.Context().Done()
	_ = level.Info(logger).Log("msg", "ending")
	return s.Close()
}

// listenFlag adds the flag --listen, a loopback address.
func listenFlag(cmd *cobra.Command, listen *netip.AddrPort) {
	cmd.Flags().TextVar(listen, "listen", netip.MustParseAddrPort("127.0.0.1:0"), "loopback address and port; port 0 selects a free one")
}

// setFlag adds the flag --set, settings in JSON. Settings that it leaves out
// keep the value that v has.
func setFlag(cmd *cobra.Command, v any) {
	cmd.Flags().Var(&settings{v}, "set", "settings in JSON, as the control endpoint takes them")
}

// settings is a flag that decodes strict JSON.
type settings struct{ v any }

// String implements pflag.Value.
func (s *settings) String() string {
	p, _ := json.Marshal(s.v)
	return string(p)
}

// Set implements pflag.Value.
func (s *settings) Set(text string) error { return serve.Decode([]byte(text), s.v) }

// Type implements pflag.Value.
func (*settings) Type() string { return "json" }

// logger returns the logger of a subcommand.
func logger(cmd *cobra.Command, name string) log.Logger {
	return logs.New(cmd.OutOrStdout(), "fakes", name, "")
}
