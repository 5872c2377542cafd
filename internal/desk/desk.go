// Package desk serves the operators of an entry that runs jobs with steps: they
// hand jobs in, ask for them and withdraw them with the product's own files.
package desk

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	"lagoonrack/internal/api"
	"lagoonrack/internal/front"
	"lagoonrack/internal/httpd"
	"lagoonrack/internal/work"
)

// Desk answers operators.
type Desk struct{ Front *front.Front }

// timeout bounds one request of an operator.
const timeout = 5 * time.Second

// Register adds the desk's paths to a server.
func (d *Desk) Register(s *httpd.Server) {
	s.POST("/v1/steps", d.submit)
	s.GET("/v1/steps/:name", d.state)
	s.DELETE("/v1/steps/:name", d.cancel)
}

func (d *Desk) submit(ctx context.Context, rc *app.RequestContext) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var j work.Job
	if err := json.Unmarshal(rc.Request.Body(), &j); err != nil {
		httpd.Problem(rc, http.StatusBadRequest, "body", err.Error())
		return
	}
	if err := j.Check(); err != nil {
		httpd.Problem(rc, http.StatusBadRequest, "job", err.Error())
		return
	}
	cfg := d.Front.Config()
	if cfg == nil {
		httpd.Problem(rc, http.StatusServiceUnavailable, "settings", "this entry has no configuration yet")
		return
	}
	for _, q := range cfg.Queues {
		if q.Name == j.Queue {
			j.Service = q.Service
		}
	}
	if j.Service == "" {
		httpd.Problem(rc, http.StatusNotFound, "queue", "there is no queue "+j.Queue)
		return
	}
	answer(rc, "accepted", d.Front.Submit(ctx, j))
}

func (d *Desk) state(ctx context.Context, rc *app.RequestContext) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	s, out := d.Front.State(ctx, rc.Param("name"))
	if s == "" {
		answer(rc, "", out)
		return
	}
	httpd.JSON(rc, http.StatusOK, api.Done{Text: s})
}

func (d *Desk) cancel(ctx context.Context, rc *app.RequestContext) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	answer(rc, "cancelled", d.Front.Cancel(ctx, rc.Param("name")))
}

// answer turns an outcome into an answer for an operator.
func answer(rc *app.RequestContext, done string, o front.Outcome) {
	switch o.Status {
	case front.Stored:
		httpd.JSON(rc, http.StatusOK, api.Done{Text: done})
	case front.NotFound:
		httpd.Problem(rc, http.StatusNotFound, "missing", "there is no such job")
	case front.Rejected:
		httpd.Problem(rc, http.StatusServiceUnavailable, o.Reason, "not accepted; try again in "+o.After.String())
	default:
		httpd.Problem(rc, http.StatusGatewayTimeout, "unknown", "it is not known whether the change is stored; ask for the job's state")
	}
}
