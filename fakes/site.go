package main

import (
	"time"

	"github.com/spf13/cobra"

	"parsleyroute.example/fakes/process/site"
)

func newSiteCommand() *cobra.Command {
	s := &site.Site{}
	var dir string
	var gates, port int
	cmd := &cobra.Command{
		Use:   "site",
		Short: "Serve the platform's store and workers, and write the settings of gates before them",
		Args:  cobra.NoArgs,
	}
	cmd.Flags().IntVar(&s.WorkersPerPool, "workers", 4, "workers of each service")
	cmd.Flags().DurationVar(&s.RequestDuration, "work", 5*time.Millisecond, "time that a plain request runs")
	cmd.Flags().DurationVar(&s.EventGap, "pause", 20*time.Millisecond, "time between two events of a stream")
	cmd.Flags().IntVar(&s.EventsPerStream, "events", 16, "events of a stream")
	cmd.Flags().StringVar(&dir, "dir", ".", "directory of the settings files")
	cmd.Flags().IntVar(&gates, "gates", 2, "gates")
	cmd.Flags().IntVar(&port, "port", 18300, "first port of the gates")
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		return run(cmd, newLogger(cmd, "site"), &siteServer{Site: s, dir: dir, gates: gates, port: port})
	}
	return cmd
}

// siteServer writes the settings of the gates once the store has an address.
type siteServer struct {
	*site.Site
	dir         string
	gates, port int
}

// Start serves in the background.
func (w *siteServer) Start() error {
	if err := w.Site.Start(); err != nil {
		return err
	}
	return w.WriteGateSettings(w.dir, w.gates, w.port)
}
