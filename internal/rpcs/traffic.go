package rpcs

import (
	"net"
	"sync/atomic"
)

// Traffic counts the bytes that a process exchanged with others of the system.
// The zero value works.
type Traffic struct{ in, out atomic.Int64 }

// In returns the bytes received so far, and Out those sent.
func (t *Traffic) In() int64 { return t.in.Load() }

// Out returns the bytes sent so far.
func (t *Traffic) Out() int64 { return t.out.Load() }

// counted is a connection that counts its bytes.
type counted struct {
	net.Conn
	traffic *Traffic
}

func (c counted) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.traffic.in.Add(int64(n))
	return n, err
}

func (c counted) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.traffic.out.Add(int64(n))
	return n, err
}
