// Package httpd implements the HTTP server that all programs use. Listen opens the
// address before it returns, so that the port chosen for port 0 is known and an
// address that is in use is an error at once.
package httpd

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/config"
	"github.com/cloudwego/hertz/pkg/common/hlog"
	"github.com/cloudwego/hertz/pkg/network/standard"

	"lagoonrack/internal/fault"
	"lagoonrack/internal/guard"
	"lagoonrack/internal/inflow"
	"lagoonrack/internal/logs"
	"lagoonrack/internal/proc"
	"lagoonrack/internal/tally"
)

// Server is an HTTP server that listens on one address.
type Server struct {
	*server.Hertz
	// Guard records panics of handlers. It must be set before Start; the zero value
	// records them nowhere.
	Guard   guard.Guard
	addr    string
	stopped chan struct{}
}

// idleTimeout is set, because the library does not keep connections open without one. The gate
// closes idle connections.
const idleTimeout = 2 * time.Minute

var silenceOnce sync.Once

// SilenceLibraryLog turns off the log of the HTTP library, except for fatal
// errors. It sets the level once in a process, because the level must not change
// while a server runs.
func SilenceLibraryLog() { silenceOnce.Do(func() { hlog.SetLevel(hlog.LevelFatal) }) }

// Listen returns a server that listens on an address and rejects bodies of more
// than limit bytes. It has a gate of its own with the default limits.
func Listen(addr string, limit int) (*Server, error) {
	return NewGate(proc.Inflow{}, logs.Log{}, nil).ListenClients(addr, limit)
}

// ListenClients returns a server for clients that listens on an address and rejects bodies of
// more than limit bytes.
func (g *Gate) ListenClients(addr string, limit int) (*Server, error) {
	return g.listen(addr, limit, g.connections)
}

// Listen returns a server for a few internal peers, such as operators or the worker beside an
// agent.
func (g *Gate) Listen(addr string, limit int) (*Server, error) {
	return g.listen(addr, limit, max(minConnections, g.connections/internalShare))
}

func (g *Gate) listen(addr string, limit, connections int) (*Server, error) {
	SilenceLibraryLog()
	lis, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fault.At("listen", addr).Wrap(err)
	}
	h := server.New(
		server.WithListener(&listener{Listener: lis, gate: g, door: inflow.Door{Limit: connections}, body: limit}),
		server.WithTransport(standard.NewTransporter),
		server.WithMaxRequestBodySize(limit),
		// The gate bounds the size of a head; the library has no limit with 0.
		server.WithMaxHeaderBytes(0),
		// A form's files would be written to a disk, which machines do not have.
		server.WithDisablePreParseMultipartForm(true),
		server.WithIdleTimeout(idleTimeout),
		server.WithKeepAliveTimeout(idleTimeout),
		server.WithExitWaitTime(time.Second),
		server.WithDisablePrintRoute(true),
		server.WithUseRawPath(true),
		config.Option{F: func(o *config.Options) { o.NoDefaultServerHeader = true }},
	)
	s := &Server{Hertz: h, addr: lis.Addr().String(), stopped: make(chan struct{})}
	h.Use(s.recoverPanic)
	return s, nil
}

// recoverPanic answers a request whose handler panicked with an error, so that the process
// continues.
func (s *Server) recoverPanic(ctx context.Context, rc *app.RequestContext) {
	defer func() {
		if v := recover(); v != nil {
			_ = s.Guard.Record("serve request", v)
			Problem(rc, http.StatusInternalServerError, "panic", "the request could not be handled")
		}
	}()
	rc.Next(ctx)
}

// Start serves requests in its own goroutine. All handlers must be registered
// before.
func (s *Server) Start() { go s.run() }

func (s *Server) run() {
	defer close(s.stopped)
	_ = s.Run()
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() string { return s.addr }

// Stop stops the server after the requests in progress have been answered, or
// when the context ends.
func (s *Server) Stop(ctx context.Context) {
	_ = s.Shutdown(ctx)
	<-s.stopped
}

// JSON writes a response with a value encoded as JSON.
func JSON(rc *app.RequestContext, status int, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		status, data = http.StatusInternalServerError, []byte(`{"error":"encoding failed"}`)
	}
	rc.SetStatusCode(status)
	rc.SetContentType("application/json")
	rc.Response.SetBody(append(data, '\n'))
}

// Problem writes an error response with a reason for programs and a text for
// people.
func Problem(rc *app.RequestContext, status int, reason, text string) {
	JSON(rc, status, Error{Reason: reason, Text: text})
}

// Error is the body of an error response to an operator.
type Error struct {
	// Reason is the error's code, one word.
	Reason string `json:"reason"`
	Text   string `json:"error"`
}

// RegisterMonitoring registers the paths for metrics, health and readiness.
func RegisterMonitoring(s *Server, t *tally.Set, ready func() bool) {
	s.GET("/metrics", func(_ context.Context, rc *app.RequestContext) {
		rc.SetContentType("text/plain; version=0.0.4")
		t.Write(rc)
	})
	s.GET("/healthz", func(_ context.Context, rc *app.RequestContext) { rc.SetBodyString("ok\n") })
	s.GET("/readyz", func(_ context.Context, rc *app.RequestContext) {
		if !ready() {
			rc.SetStatusCode(http.StatusServiceUnavailable)
			rc.SetBodyString("not ready\n")
			return
		}
		rc.SetBodyString("ready\n")
	})
}
