package ports

import (
	"net"
	"os/exec"
	"sync"
	"testing"
)

// TestPortIsFreeBesideForks guards against an address on which its user can't listen, since a
// process that another test is starting still holds a copy of the socket that tried it.
func TestPortIsFreeBesideForks(t *testing.T) {
	const (
		ports   = 2000
		forkers = 4
	)
	stop := make(chan struct{})
	var all sync.WaitGroup
	for range forkers {
		all.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				if err := exec.Command("true").Run(); err != nil {
					t.Error(err)
					return
				}
			}
		})
	}
	r := Range{First: Ports}
	used := 0
	for range ports {
		l, err := net.Listen("tcp", r.Next())
		if err != nil {
			used++
			continue
		}
		_ = l.Close()
	}
	close(stop)
	all.Wait()
	if used > 0 {
		t.Errorf("%d of %d ports are in use", used, ports)
	}
}
