package rpcs

import (
	"errors"
	"net"
	"net/rpc"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"lagoonrack/internal/fault"
	"lagoonrack/internal/inflow"
)

const (
	// MaxMessage is the maximum size of a message, in bytes. It carries at most a request
	// body of 64 MiB.
	MaxMessage = 65 << 20
	// maxConnections bounds the connections of a server: three eighths of the 4,096
	// descriptors of the smallest machine. The peers of the largest planned cell are 1,000
	// workers and some entries.
	maxConnections = 1536
	// acceptPause is the pause after a failed accept, such as for lack of descriptors.
	acceptPause = 20 * time.Millisecond
	// releaseShare is the share of the maximum size of a message from which on the memory of
	// messages is returned to the system, and releaseDelay the time from the end of a
	// connection to that. It costs a collection.
	releaseShare = 4
	releaseDelay = 2 * time.Second
)

// Server serves net/rpc on one address.
type Server struct {
	rpc        *rpc.Server
	listener   net.Listener
	maxMessage int
	// mu guards core, door and conns.
	mu sync.Mutex
	// core decides which connection is closed when too many are open, or when their messages
	// that are not whole are too large together. Its limits of time are not used: a peer may be
	// paused at any point.
	core      inflow.Core
	door      inflow.Door
	conns     map[*inflow.Conn]net.Conn
	accepting sync.WaitGroup
	refused   atomic.Int64
	// peak is the largest charge since memory was last returned to the system, and releasing
	// is set while that is planned.
	peak      int64
	releasing bool
	// Traffic counts the bytes of all connections.
	Traffic Traffic
}

// Listen listens on an address and serves the receivers under the given names. It accepts
// messages of up to MaxMessage bytes.
func Listen(addr string, receivers map[string]any) (*Server, error) {
	return ListenWithin(addr, receivers, MaxMessage)
}

// ListenWithin is like Listen, but accepts messages of up to maxMessage bytes. The
// messages that are not whole may not be larger together either, unless there is only one.
func ListenWithin(addr string, receivers map[string]any, maxMessage int) (*Server, error) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fault.At("listen", addr).Wrap(err)
	}
	s := &Server{rpc: rpc.NewServer(), listener: listener, maxMessage: maxMessage, conns: map[*inflow.Conn]net.Conn{}}
	s.core.Limits.Memory = int64(maxMessage)
	s.door.Limit = maxConnections
	for name, r := range receivers {
		if err := s.rpc.RegisterName(name, r); err != nil {
			_ = listener.Close()
			return nil, fault.At("register", name).Wrap(err)
		}
	}
	s.accepting.Add(1)
	go s.acceptLoop()
	return s, nil
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// acceptLoop accepts connections until the listener is closed.
func (s *Server) acceptLoop() {
	defer s.accepting.Done()
	for {
		conn, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(acceptPause)
			continue
		}
		s.startConn(conn)
	}
}

// startConn registers a connection and serves it in its own goroutine. If there are too many,
// it closes the oldest that has not carried a whole message.
func (s *Server) startConn(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	state, victim := s.core.Open(0, &s.door)
	if victim != nil {
		s.closeLocked(victim)
	}
	if state == nil {
		s.refused.Add(1)
		_ = conn.Close()
		return
	}
	s.conns[state] = conn
	go s.serveConn(&limitedConn{Conn: countedConn{conn, &s.Traffic}, server: s, state: state})
}

// closeLocked closes a connection that was refused.
func (s *Server) closeLocked(state *inflow.Conn) {
	s.refused.Add(1)
	if c := s.conns[state]; c != nil {
		_ = c.Close()
	}
}

// serveConn serves a connection until it is closed.
func (s *Server) serveConn(conn *limitedConn) {
	s.rpc.ServeConn(conn)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.core.Close(conn.state)
	delete(s.conns, conn.state)
	if s.peak >= int64(s.maxMessage/releaseShare) && !s.releasing {
		s.releasing = true
		time.AfterFunc(releaseDelay, s.release)
	}
}

// release returns memory to the system, unless it is still needed. The collector would keep what
// large messages took for minutes.
func (s *Server) release() {
	s.mu.Lock()
	s.releasing = false
	needed := s.core.Held() >= s.peak/releaseShare
	if !needed {
		s.peak = 0
	}
	s.mu.Unlock()
	if !needed {
		debug.FreeOSMemory()
	}
}

// Refused returns the number of connections that were closed, because there were too many or
// because they held or announced too much.
func (s *Server) Refused() int64 { return s.refused.Load() }

// Close stops listening and closes all connections. It does not wait for
// calls in progress: a planned stop must do so before it calls Close.
func (s *Server) Close() {
	_ = s.listener.Close()
	s.mu.Lock()
	for _, c := range s.conns {
		_ = c.Close()
	}
	s.mu.Unlock()
	s.accepting.Wait()
}
