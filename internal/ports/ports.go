// Package ports allocates ports to tests for the processes that they start.
//
// A free port found by listening on port 0 lies in the range that the system uses
// for outgoing connections: a connection of another test may take the port before
// the process listens on it, or while the process restarts. The ranges here lie
// below the system's range, one for each package of tests.
package ports

import (
	"net"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
)

// The first port of the range of each test package. Each range has 3,000 ports or
// more.
const (
	Hostile  = 17_000
	Scene    = 20_000
	Platform = 23_000
	Soak     = 26_000
	Ports    = 29_000
)

// Range allocates the ports from First+1 upwards, each once.
type Range struct {
	// First must be set before the first call of Next.
	First  int
	issued atomic.Int32
}

// Next returns a loopback address on which no process listens and that it has not
// returned before.
func (r *Range) Next() string {
	for {
		addr := net.JoinHostPort("127.0.0.1", strconv.Itoa(r.First+int(r.issued.Add(1))))
		if isFree(addr) {
			return addr
		}
	}
}

// checkPidfd makes package os try once whether a new process can have a pidfd. It does so before
// it starts its first process, by one that it starts without the lock.
var checkPidfd = sync.OnceFunc(func() {
	if p, err := os.FindProcess(os.Getpid()); err == nil {
		_ = p.Release()
	}
})

// isFree reports whether no process listens on an address. A process that is being started
// holds copies of this process's sockets until it executes its program, so none is started
// while the address is tried.
func isFree(addr string) bool {
	checkPidfd()
	syscall.ForkLock.RLock()
	defer syscall.ForkLock.RUnlock()
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return false
	}
	return l.Close() == nil
}
