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
		Short: "Serve the platform's store and workers, and write the settings files of gates that use them",
		Args:  cobra.NoArgs,
	}
	cmd.Flags().IntVar(&s.WorkersPerPool, "workers", 4, "number of workers of each pool")
	cmd.Flags().DurationVar(&s.RequestDuration, "work", 5*time.Millisecond, "duration of a plain request")
	cmd.Flags().DurationVar(&s.EventGap, "pause", 20*time.Millisecond, "time between two events of a stream")
	cmd.Flags().IntVar(&s.EventsPerStream, "events", 16, "number of events of a stream")
	cmd.Flags().StringVar(&dir, "dir", ".", "directory of the settings files")
	cmd.Flags().IntVar(&gates, "gates", 2, "number of gates")
	cmd.Flags().IntVar(&port, "port", 18300, "first port of the gates")
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		return run(cmd, newLogger(cmd, "site"), &siteServer{Site: s, dir: dir, gates: gates, port: port})
	}
	return cmd
}

// siteServer is a site that writes the settings files of the gates once its store
// has an address.
type siteServer struct {
	*site.Site
	dir         string
	gates, port int
}

// Start starts the site in the background and writes the settings files.
func (s *siteServer) Start() error {
	if err := s.Site.Start(); err != nil {
		return err
	}
	return s.WriteGateSettings(s.dir, s.gates, s.port)
}
