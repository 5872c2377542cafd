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
	rpc  *rpc.Server
	lis  net.Listener
	mu   sync.Mutex
	open map[net.Conn]bool
	done sync.WaitGroup
	// Traffic counts the bytes over all connections.
	Traffic Traffic
}

// Listen opens an address and serves the receivers under their names.
func Listen(addr string, receivers map[string]any) (*Server, error) {
	lis, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fault.At("listen", addr).Wrap(err)
	}
	s := &Server{rpc: rpc.NewServer(), lis: lis, open: map[net.Conn]bool{}}
	for name, r := range receivers {
		if err := s.rpc.RegisterName(name, r); err != nil {
			_ = lis.Close()
			return nil, fault.At("register", name).Wrap(err)
		}
	}
	s.done.Add(1)
	go s.run()
	return s, nil
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() string { return s.lis.Addr().String() }

func (s *Server) run() {
	defer s.done.Done()
	for {
		conn, err := s.lis.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		s.track(conn)
	}
}

func (s *Server) track(conn net.Conn) {
	s.mu.Lock()
	s.open[conn] = true
	s.mu.Unlock()
	go s.loop(conn)
}

func (s *Server) loop(conn net.Conn) {
	s.rpc.ServeConn(counted{conn, &s.Traffic})
	s.mu.Lock()
	delete(s.open, conn)
	s.mu.Unlock()
}

// Close stops listening and cuts all connections. A planned stop waits for
// what is in progress before it closes.
func (s *Server) Close() {
	_ = s.lis.Close()
	s.mu.Lock()
	for c := range s.open {
		_ = c.Close()
	}
	s.mu.Unlock()
	s.done.Wait()
}
