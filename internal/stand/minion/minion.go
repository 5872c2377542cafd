// Package minion is a stand-in for a minion, a back-end server of a service. It
// responds to each request with the request's digest, after the run time given in a
// header, and counts how often it started each request.
package minion

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	"lagoonrack/internal/digest"
	"lagoonrack/internal/httpd"
	"lagoonrack/internal/stand/flaw"
)

// Header fields of requests to the stand-in.
const (
	// WorkHeader is the run time of the request, as a duration such as "20ms".
	WorkHeader = "Stand-Work"
	// RequestHeader and AttemptHeader hold the ID and the attempt of the request,
	// which agents set.
	RequestHeader = "Lagoon-Request"
	AttemptHeader = "Lagoon-Attempt"
)

// Minion is a stand-in minion. Name and Addr, its listen address, must be set before
// Start, which replaces port 0 in Addr by the port that it listens on.
type Minion struct {
	flaw.Switch

	Name string
	Addr string
	// Started is called at the start of each request. It may be nil.
	Started func(id string)

	mu     sync.Mutex
	starts map[string]int
	server *httpd.Server
}

// maxBodySize is the maximum size in bytes of the body of a request.
const maxBodySize = 64 << 20

// Start starts the HTTP server in the background.
func (m *Minion) Start() error {
	s, err := httpd.Listen(m.Addr, maxBodySize)
	if err != nil {
		return err
	}
	m.starts = map[string]int{}
	m.server, m.Addr = s, s.Addr()
	s.NoRoute(m.serve)
	s.Start()
	return nil
}

// Stop closes the HTTP server immediately.
func (m *Minion) Stop() { _ = m.server.Close() }

// Starts returns how often each request was started, by its ID.
func (m *Minion) Starts() map[string]int {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make(map[string]int, len(m.starts))
	for k, v := range m.starts {
		out[k] = v
	}
	return out
}

// serve handles a request.
func (m *Minion) serve(_ context.Context, rc *app.RequestContext) {
	f := m.Get()
	if f.Refuse {
		rc.SetStatusCode(http.StatusServiceUnavailable)
		return
	}
	id := string(rc.GetHeader(RequestHeader))
	m.mu.Lock()
	m.starts[id]++
	m.mu.Unlock()
	if m.Started != nil {
		m.Started(id)
	}
	work, _ := time.ParseDuration(string(rc.GetHeader(WorkHeader)))
	if f.Factor > 1 {
		work = time.Duration(float64(work) * f.Factor)
	}
	if work > 0 {
		time.Sleep(work)
	}
	sum := digest.Of(string(rc.Method()), string(rc.Request.RequestURI()), rc.Request.Body())
	rc.SetStatusCode(http.StatusOK)
	rc.Header("Stand-Minion", m.Name)
	rc.SetBodyString(fmt.Sprintf("%s\n", sum))
}
