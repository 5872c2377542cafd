package desk

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/cloudwego/hertz/pkg/app"

	"lagoonrack/internal/api"
	"lagoonrack/internal/httpd"
	"lagoonrack/internal/work"
)

// where responds with an explanation of where a job would go now. The job is not submitted.
func (d *Handler) where(ctx context.Context, rc *app.RequestContext) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	var in api.Where
	if err := json.Unmarshal(rc.Request.Body(), &in); err != nil {
		httpd.Problem(rc, http.StatusBadRequest, "body", err.Error())
		return
	}
	if in.Service != "" {
		httpd.Problem(rc, http.StatusNotFound, "service", "this entry serves jobs of steps and no requests")
		return
	}
	j, ok := d.checkJob(rc, in.Job)
	if !ok {
		return
	}
	a, err := d.Front.Where(ctx, work.PlacementQuery{Job: j, Most: in.Most})
	if err != nil {
		httpd.Problem(rc, http.StatusServiceUnavailable, "owner", "the cell's owner gave no answer: "+err.Error())
		return
	}
	httpd.JSON(rc, http.StatusOK, a)
}
