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
	if err := newRootCommand().ExecuteContext(ctx); err != nil {
		_ = level.Error(logs.New(os.Stderr, "fakes", "", "")).Log("msg", "the program failed", "err", err.Error())
		stop()
		os.Exit(1)
	}
}

// newRootCommand returns the root command.
func newRootCommand() *cobra.Command {
	root := &cobra.Command{
		Use:           "fakes",
		Short:         "Stand-ins for the platform and the upstreams",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(newPlatformCommand(), newEngineCommand(), newPlainCommand(), newProxyCommand(), newGroupCommand(), newSiteCommand())
	return root
}

// server is a configured stand-in that has not been started.
type server interface {
	Start() error
	Addr() netip.AddrPort
	Close() error
}

// run starts the server, waits until the context of the command is canceled, and
// stops the server.
func run(cmd *cobra.Command, logger log.Logger, s server) error {
	if err := s.Start(); err != nil {
		return err
	}
	_ = level.Info(logger).Log("msg", "listening", "address", s.Addr().String())
	<-cmd.Context().Done()
	_ = level.Info(logger).Log("msg", "ending")
	return s.Close()
}

// addListenFlag adds the flag --listen, a loopback address.
func addListenFlag(cmd *cobra.Command, listen *netip.AddrPort) {
	cmd.Flags().TextVar(listen, "listen", netip.MustParseAddrPort("127.0.0.1:0"), "loopback address and port; port 0 selects a free one")
}

// addSettingsFlag adds the flag --set, which decodes settings in JSON into v. Keys
// that are absent from the JSON keep their value in v.
func addSettingsFlag(cmd *cobra.Command, v any) {
	cmd.Flags().Var(&jsonFlag{v}, "set", "settings in JSON, as the control endpoint accepts them")
}

// jsonFlag is a flag whose value is decoded as strict JSON.
type jsonFlag struct{ v any }

// String implements pflag.Value.
func (s *jsonFlag) String() string {
	p, _ := json.Marshal(s.v)
	return string(p)
}

// Set implements pflag.Value.
func (s *jsonFlag) Set(text string) error { return serve.DecodeStrict([]byte(text), s.v) }

// Type implements pflag.Value.
func (*jsonFlag) Type() string { return "json" }

// newLogger returns the logger of a subcommand.
func newLogger(cmd *cobra.Command, name string) log.Logger {
	return logs.New(cmd.OutOrStdout(), "fakes", name, "")
}
