// Package minion is a stand-in for a back end of a service. It answers each
// request with the request's own digest after the time that the request asks
// for, and remembers which requests it started.
package minion

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"

	"lagoonrack/internal/digest"
	"lagoonrack/internal/httpd"
	"lagoonrack/internal/stand/flaw"
)

// Header fields that the stand-in reads.
const (
	// WorkHeader gives the run time of the request.
	WorkHeader = "Stand-Work"
	// RequestHeader and AttemptHeader name the request, as agents write them.
	RequestHeader = "Lagoon-Request"
	AttemptHeader = "Lagoon-Attempt"
)

// Minion is a stand-in minion. Name and Addr must be set before Start.
type Minion struct {
	flaw.Switch

	Name string
	Addr string
	// Started is called at the start of each request. It may be nil.
	Started func(id string)

	mu     sync.Mutex
	starts map[string]int
	server *server.Hertz
}

// Start serves the address.
func (m *Minion) Start() {
	httpd.Quiet()
	m.starts = map[string]int{}
	m.server = server.New(
		server.WithHostPorts(m.Addr),
		server.WithMaxRequestBodySize(64<<20),
		server.WithExitWaitTime(time.Second),
		server.WithDisablePrintRoute(true),
	)
	m.server.NoRoute(m.serve)
	go m.run()
}

func (m *Minion) run() { _ = m.server.Run() }

// Stop ends the minion at once.
func (m *Minion) Stop() { _ = m.server.Close() }

// Starts returns how often each request was started.
func (m *Minion) Starts() map[string]int {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make(map[string]int, len(m.starts))
	for k, v := range m.starts {
		out[k] = v
	}
	return out
}

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
