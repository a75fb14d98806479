package ports_test

import (
	"net"
	"os/exec"
	"sync"
	"testing"

	"parsleyroute.example/fakes/process/ports"
)

// Guards against an address that is in use when a server is to listen at it, while other
// processes are being started.
func TestNextBesideStartingProcesses(t *testing.T) {
	done := make(chan struct{})
	var wg sync.WaitGroup
	for range 4 {
		wg.Go(func() {
			for {
				select {
				case <-done:
					return
				default:
					_ = exec.Command("true").Run()
				}
			}
		})
	}
	for range 400 {
		ln, err := net.Listen("tcp", ports.Next().String())
		if err != nil {
			t.Error(err)
			continue
		}
		_ = ln.Close()
	}
	close(done)
	wg.Wait()
}
