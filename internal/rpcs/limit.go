package rpcs

import (
	"errors"
	"net"

	"lagoonrack/internal/inflow"
)

// errMessageSize says that a peer announced a message over the limit.
var errMessageSize = errors.New("the message is too large")

// limitedConn is a server's connection that tells the core of messages that are not whole. They
// are charged their announced size: package gob reads a message of up to 1 GB before it decodes
// it, and allocates up to 10 MiB of it at its first byte.
type limitedConn struct {
	net.Conn
	server *Server
	state  *inflow.Conn
	frame  frame
}

// Read reads from the connection.
func (c *limitedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n == 0 {
		return n, err
	}
	c.frame.feed(b[:n])
	if !c.server.received(c.state, &c.frame) {
		return 0, errMessageSize
	}
	return n, err
}

// received notes the message that a connection is receiving. It reports whether the connection
// may continue.
func (s *Server) received(state *inflow.Conn, f *frame) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.whole {
		s.core.Whole(0, state)
		s.core.Answered(0, state)
	}
	if f.size > uint64(s.maxMessage) {
		s.core.Refuse(state, inflow.BodySize)
		s.closeLocked(state)
		return false
	}
	if f.held > 0 && !state.Partial() {
		s.core.BeginHead(0, state)
	}
	for _, victim := range s.core.Hold(0, state, int64(f.held+f.left)) {
		s.closeLocked(victim)
	}
	s.peak = max(s.peak, s.core.Held())
	return state.Refused() == inflow.None
}

// frame follows the messages of a stream in the format of package gob: each is preceded by its
// size, which is one byte below 128, or the negated number of the bytes that follow with the
// size, the most significant first.
type frame struct {
	// sizeLeft is how many bytes of the size are missing, and size what it is so far.
	sizeLeft int
	size     uint64
	// held is how many bytes of the message and its size have arrived.
	held uint64
	// left is the number of bytes that are missing.
	left uint64
	// whole is set if the last bytes completed a message.
	whole bool
}

// feed takes bytes of the stream.
func (f *frame) feed(p []byte) {
	f.whole = false
	for len(p) > 0 {
		if f.left == 0 {
			p = f.feedSize(p)
		}
		n := min(f.left, uint64(len(p)))
		f.left -= n
		f.held += n
		p = p[n:]
		if f.left == 0 && f.sizeLeft == 0 && f.held > 0 {
			f.whole, f.held, f.size = true, 0, 0
		}
	}
}

// feedSize takes a byte of a message's size and returns the rest.
func (f *frame) feedSize(p []byte) []byte {
	b := p[0]
	f.held++
	switch {
	case f.sizeLeft > 0:
		f.size = f.size<<8 | uint64(b)
		f.sizeLeft--
	case b < 128:
		f.size = uint64(b)
	default:
		// Package gob rejects sizes of more than 8 bytes.
		f.size, f.sizeLeft = 0, -int(int8(b))
	}
	if f.sizeLeft == 0 {
		f.left = f.size
	}
	return p[1:]
}
