// Package httpd is the HTTP listener that all programs share: it opens its
// address before it returns, so that port 0 works and a taken address is an
// error at once.
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
	"lagoonrack/internal/tally"
)

// Server is an HTTP server of one address.
type Server struct {
	*server.Hertz
	addr string
	done chan struct{}
}

// idle bounds how long a connection without requests is kept.
const idle = 2 * time.Minute

var quiet sync.Once

// Quiet silences the library's own log, once for the process: its level must
// not change while a server runs.
func Quiet() { quiet.Do(func() { hlog.SetLevel(hlog.LevelFatal) }) }

// Listen opens an address. Bodies over limit bytes are refused.
func Listen(addr string, limit int) (*Server, error) {
	Quiet()
	lis, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fault.At("listen", addr).Wrap(err)
	}
	h := server.New(
		server.WithListener(lis),
		server.WithTransport(standard.NewTransporter),
		server.WithMaxRequestBodySize(limit),
		server.WithIdleTimeout(idle),
		server.WithKeepAliveTimeout(idle),
		server.WithExitWaitTime(time.Second),
		server.WithDisablePrintRoute(true),
		server.WithUseRawPath(true),
		config.Option{F: func(o *config.Options) { o.NoDefaultServerHeader = true }},
	)
	return &Server{Hertz: h, addr: lis.Addr().String(), done: make(chan struct{})}, nil
}

// Start serves what was registered.
func (s *Server) Start() { go s.run() }

func (s *Server) run() {
	defer close(s.done)
	_ = s.Run()
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() string { return s.addr }

// Stop ends the server once requests in progress have been answered, or at the
// context's end.
func (s *Server) Stop(ctx context.Context) {
	_ = s.Shutdown(ctx)
	<-s.done
}

// JSON answers with a value.
func JSON(rc *app.RequestContext, status int, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		status, data = http.StatusInternalServerError, []byte(`{"error":"encoding failed"}`)
	}
	rc.SetStatusCode(status)
	rc.SetContentType("application/json")
	rc.Response.SetBody(append(data, '\n'))
}

// Problem answers with an error that a person can read.
func Problem(rc *app.RequestContext, status int, reason, text string) {
	JSON(rc, status, Error{Reason: reason, Text: text})
}

// Error is the body of an answer that refuses an operator's request.
type Error struct {
	// Reason is one word.
	Reason string `json:"reason"`
	Text   string `json:"error"`
}

// Observe serves metrics, health and readiness.
func Observe(s *Server, t *tally.Set, ready func() bool) {
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
