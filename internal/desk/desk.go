// Package desk implements the operator API of an entry for jobs with steps: it
// submits a job, returns its state and cancels it, and returns the entry's status. A job is sent as the JSON form
// of work.Job.
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

// Handler serves the operators' requests. Front must be set.
type Handler struct{ Front *front.Front }

// requestTimeout bounds the handling of one request.
const requestTimeout = 5 * time.Second

// Register registers the handler's paths with a server.
func (d *Handler) Register(s *httpd.Server) {
	s.GET("/v1/status", d.status)
	s.POST("/v1/steps", d.submit)
	s.GET("/v1/steps/:name", d.state)
	s.DELETE("/v1/steps/:name", d.cancel)
	s.POST("/v1/where", d.where)
}

// submit handles the submission of a job.
func (d *Handler) submit(ctx context.Context, rc *app.RequestContext) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	var j work.Job
	if err := json.Unmarshal(rc.Request.Body(), &j); err != nil {
		httpd.Problem(rc, http.StatusBadRequest, "body", err.Error())
		return
	}
	if j, ok := d.checkJob(rc, j); ok {
		writeOutcome(rc, "accepted", d.Front.Submit(ctx, j))
	}
}

// checkJob checks a job and sets its service, which is that of its queue. If the job can't be
// submitted, it writes the response and returns false.
func (d *Handler) checkJob(rc *app.RequestContext, j work.Job) (work.Job, bool) {
	if err := j.Check(); err != nil {
		httpd.Problem(rc, http.StatusBadRequest, "job", err.Error())
		return j, false
	}
	cfg := d.Front.Config()
	if cfg == nil {
		httpd.Problem(rc, http.StatusServiceUnavailable, "settings", "this entry has no configuration yet")
		return j, false
	}
	for _, q := range cfg.Queues {
		if q.Name == j.Queue {
			j.Service = q.Service
		}
	}
	if j.Service == "" {
		httpd.Problem(rc, http.StatusNotFound, "queue", "there is no queue "+j.Queue)
		return j, false
	}
	return j, true
}

// state responds with the state of a job.
func (d *Handler) state(ctx context.Context, rc *app.RequestContext) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	s, out := d.Front.State(ctx, "", rc.Param("name"))
	if s == "" {
		writeOutcome(rc, "", out)
		return
	}
	httpd.JSON(rc, http.StatusOK, api.Done{Text: s})
}

// cancel handles the cancellation of a job.
func (d *Handler) cancel(ctx context.Context, rc *app.RequestContext) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	writeOutcome(rc, "cancelled", d.Front.Cancel(ctx, "", rc.Param("name")))
}

// writeOutcome writes the response for the outcome of a request. Text is the
// response text if the change is stored.
func writeOutcome(rc *app.RequestContext, text string, o front.Outcome) {
	switch o.Status {
	case front.Stored:
		httpd.JSON(rc, http.StatusOK, api.Done{Text: text})
	case front.NotFound:
		httpd.Problem(rc, http.StatusNotFound, "missing", "there is no such job")
	case front.Rejected:
		if o.Reason == front.ReasonCancelled {
			httpd.Problem(rc, http.StatusGone, o.Reason, "the job was cancelled before; it is not accepted and never runs")
			return
		}
		httpd.Problem(rc, http.StatusServiceUnavailable, o.Reason, "not accepted; try again in "+o.After.String())
	default:
		httpd.Problem(rc, http.StatusGatewayTimeout, "unknown", "it is unknown whether the change is stored; query the job's state")
	}
}
