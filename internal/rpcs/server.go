package rpcs

import (
	"errors"
	"net"
	"net/rpc"
	"sync"

	"lagoonrack/internal/fault"
)

// Server serves net/rpc on one address.
type Server struct {
	rpc       *rpc.Server
	listener  net.Listener
	mu        sync.Mutex
	conns     map[net.Conn]bool
	accepting sync.WaitGroup
	// Traffic counts the bytes of all connections.
	Traffic Traffic
}

// Listen listens on an address and serves the receivers under the given names.
func Listen(addr string, receivers map[string]any) (*Server, error) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fault.At("listen", addr).Wrap(err)
	}
	s := &Server{rpc: rpc.NewServer(), listener: listener, conns: map[net.Conn]bool{}}
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
			continue
		}
		s.startConn(conn)
	}
}

// startConn registers a connection and serves it in its own goroutine.
func (s *Server) startConn(conn net.Conn) {
	s.mu.Lock()
	s.conns[conn] = true
	s.mu.Unlock()
	go s.serveConn(conn)
}

// serveConn serves a connection until it is closed.
func (s *Server) serveConn(conn net.Conn) {
	s.rpc.ServeConn(countedConn{conn, &s.Traffic})
	s.mu.Lock()
	delete(s.conns, conn)
	s.mu.Unlock()
}

// Close stops listening and closes all connections. It does not wait for
// calls in progress: a planned stop must do so before it calls Close.
func (s *Server) Close() {
	_ = s.listener.Close()
	s.mu.Lock()
	for c := range s.conns {
		_ = c.Close()
	}
	s.mu.Unlock()
	s.accepting.Wait()
}
