package rpcs

import (
	"net"
	"sync/atomic"
)

// Traffic counts the bytes that a process has exchanged with other lagoonrack
// processes. The zero value is ready to use.
type Traffic struct{ in, out atomic.Int64 }

// In returns the number of bytes received so far.
func (t *Traffic) In() int64 { return t.in.Load() }

// Out returns the number of bytes sent so far.
func (t *Traffic) Out() int64 { return t.out.Load() }

// countedConn is a connection that adds its bytes to traffic.
type countedConn struct {
	net.Conn
	traffic *Traffic
}

func (c countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.traffic.in.Add(int64(n))
	return n, err
}

func (c countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.traffic.out.Add(int64(n))
	return n, err
}
