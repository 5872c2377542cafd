package entry

import (
	"context"
	"net/http"

	"github.com/cloudwego/hertz/pkg/app"

	"lagoonrack/internal/api"
	"lagoonrack/internal/httpd"
)

// postWhere responds with an explanation of where a request of a service that arrives at this entry
// would go now.
func (e *Entry) postWhere(_ context.Context, rc *app.RequestContext) {
	var in api.Where
	if err := decodeBody(rc, &in); err != nil {
		httpd.Problem(rc, http.StatusBadRequest, "body", err.Error())
		return
	}
	if in.Service == "" {
		httpd.Problem(rc, http.StatusNotFound, "service", "this entry serves requests and no jobs of steps")
		return
	}
	e.mu.Lock()
	a, ok := e.core.Where(e.clock.Now(), in.Service, in.Most)
	e.mu.Unlock()
	if !ok {
		httpd.Problem(rc, http.StatusNotFound, "service", "there is no service \""+in.Service+"\"")
		return
	}
	a.Owner = e.proc.Name
	httpd.JSON(rc, http.StatusOK, a)
}
