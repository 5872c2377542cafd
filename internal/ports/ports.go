// Package ports gives tests ports for processes that they start.
//
// A port that was found free by listening on port 0 lies in the range from which
// the system takes ports for outgoing connections: another test's connection may
// take it before the process listens, or while it is being started again. The
// ranges here lie below that, one for each package of tests.
package ports

import (
	"net"
	"strconv"
	"sync/atomic"
)

// The first ports of the packages that take some. Each has a few thousand.
const (
	Scene    = 20_000
	Platform = 23_000
	Soak     = 26_000
)

// Range gives out the ports from First on, each once.
type Range struct {
	// First must be set before the first call of Next.
	First int
	given atomic.Int32
}

// Next returns an address on loopback on which nobody listens and that was not
// given out before.
func (r *Range) Next() string {
	for {
		addr := net.JoinHostPort("127.0.0.1", strconv.Itoa(r.First+int(r.given.Add(1))))
		l, err := net.Listen("tcp", addr)
		if err != nil {
			continue // Taken by somebody else.
		}
		_ = l.Close()
		return addr
	}
}
