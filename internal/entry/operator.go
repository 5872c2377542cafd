package entry

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/cloudwego/hertz/pkg/app"

	"lagoonrack/internal/api"
	"lagoonrack/internal/conf"
	"lagoonrack/internal/httpd"
	"lagoonrack/internal/recent"
	"lagoonrack/internal/setup"
	"lagoonrack/internal/wire"
)

// registerOperatorRoutes registers the HTTP handlers of the operator API.
func (e *Entry) registerOperatorRoutes() {
	e.operator.GET("/v1/status", e.getStatus)
	e.operator.GET("/v1/settings", e.getSettings)
	e.operator.POST("/v1/settings", e.postSettings)
	e.operator.GET("/v1/jobs", e.getJobs)
	e.operator.POST("/v1/jobs", e.postJob)
	e.operator.DELETE("/v1/jobs/:name", e.deleteJob)
	e.operator.GET("/v1/workers", e.getWorkers)
	e.operator.POST("/v1/workers/:name/drain", e.postDrain)
	e.operator.POST("/v1/workers/:name/restore", e.postRestore)
	e.operator.GET("/v1/why/job/:name", e.whyOf("why"))
	e.operator.GET("/v1/why/worker/:name", e.whyOf("why-worker"))
	e.operator.GET("/v1/why/request/:name", e.whyRequest)
	e.operator.POST("/v1/where", e.postWhere)
	e.operator.NoRoute(func(_ context.Context, rc *app.RequestContext) {
		httpd.Problem(rc, http.StatusNotFound, "path", fmt.Sprintf("there is no %s %s", rc.Method(), rc.Path()))
	})
}

func (e *Entry) getStatus(_ context.Context, rc *app.RequestContext) {
	a, _ := e.setup.Now()
	s := api.Status{Entry: e.proc.Name, Version: a.Version, Members: e.roster.Members()}
	e.ownersMu.Lock()
	for name, o := range e.owners {
		s.Cells = append(s.Cells, api.CellStatus{Name: name, Owner: o.OwnerAddr()})
	}
	e.ownersMu.Unlock()
	s.Sort()
	httpd.JSON(rc, http.StatusOK, s)
}

func (e *Entry) getSettings(_ context.Context, rc *app.RequestContext) {
	a, _ := e.setup.Now()
	httpd.JSON(rc, http.StatusOK, a)
}

func (e *Entry) postSettings(ctx context.Context, rc *app.RequestContext) {
	var req api.Apply
	if err := decodeBody(rc, &req); err != nil {
		httpd.Problem(rc, http.StatusBadRequest, "body", err.Error())
		return
	}
	a, err := e.setup.Accept(ctx, req.From, req.Source, e.proc.Name, req.Dry)
	var conflict *setup.ConflictError
	switch {
	case errors.As(err, &conflict):
		httpd.JSON(rc, http.StatusConflict, api.Conflict{Reason: "conflict", Text: err.Error(), Now: conflict.Now})
	case err != nil && a.Version == 0 && isInvalid(req.Source):
		httpd.Problem(rc, http.StatusUnprocessableEntity, "settings", err.Error())
	case err != nil:
		httpd.Problem(rc, http.StatusServiceUnavailable, "store", err.Error())
	default:
		if !req.Dry {
			e.pushSettings(a)
		}
		httpd.JSON(rc, http.StatusOK, a)
	}
}

// isInvalid reports whether settings cannot be loaded.
func isInvalid(s conf.Source) bool {
	_, err := s.Load()
	return err != nil
}

// pushSettings sends newly accepted settings to the other entries. An entry that
// does not receive them reads them from the table within a second.
func (e *Entry) pushSettings(a setup.Accepted) {
	for _, p := range e.roster.Peers() {
		go func() {
			ctx, cancel := context.WithTimeout(e.ctx, peerTimeout)
			defer cancel()
			_ = e.pool.Get(p).Call(ctx, peerName+".Push", a, new(wire.Empty))
		}()
	}
}

// decodeBody decodes a JSON request body and rejects unknown fields.
func decodeBody(rc *app.RequestContext, v any) error {
	d := json.NewDecoder(strings.NewReader(string(rc.Request.Body())))
	d.DisallowUnknownFields()
	return d.Decode(v)
}

// cellNames returns the names of the site's cells.
func (e *Entry) cellNames() []string {
	_, set := e.setup.Now()
	var out []string
	for _, c := range set.Cells {
		out = append(out, c.Name)
	}
	return out
}

// cellOf returns the cell of a job: the cell that the job names, or else one chosen
// by the hash of the job's name. It returns false if the site has no such cell.
func (e *Entry) cellOf(j wire.Job) (string, bool) {
	all := e.cellNames()
	if j.Cell == "" && len(all) > 0 {
		return all[xxhash.Sum64String(j.Name)%uint64(len(all))], true
	}
	for _, c := range all {
		if c == j.Cell {
			return c, true
		}
	}
	return "", false
}

func (e *Entry) postJob(ctx context.Context, rc *app.RequestContext) {
	var j wire.Job
	if err := decodeBody(rc, &j); err != nil {
		httpd.Problem(rc, http.StatusBadRequest, "body", err.Error())
		return
	}
	name, ok := e.cellOf(j)
	if !ok {
		httpd.Problem(rc, http.StatusUnprocessableEntity, "cell", fmt.Sprintf("there is no cell %q at this site", j.Cell))
		return
	}
	j.Cell = name
	e.answerOrder(ctx, rc, Order{Cell: name, Kind: "submit", Job: j})
}

// answerOrder carries out an operator's request at one cell and responds with the
// result.
func (e *Entry) answerOrder(ctx context.Context, rc *app.RequestContext, o Order) {
	c, cancel := context.WithTimeout(ctx, operateTimeout)
	defer cancel()
	r, err := e.operateCell(c, o)
	switch {
	case err != nil:
		httpd.Problem(rc, http.StatusServiceUnavailable, "owner", "the owner of the cell did not answer: "+err.Error())
	case r.Reason != "":
		httpd.Problem(rc, statusOf(r.Reason), r.Reason, r.Text)
	default:
		httpd.JSON(rc, http.StatusOK, api.Done{Cell: o.Cell, Text: r.Text})
	}
}

// statusOf returns the HTTP status for the reason of a failed request.
func statusOf(reason string) int {
	switch reason {
	case "missing":
		return http.StatusNotFound
	case "conflict":
		return http.StatusConflict
	}
	return http.StatusUnprocessableEntity
}

// forEachCell carries out a request at one cell after the other, until f returns
// true for a cell's report.
func (e *Entry) forEachCell(ctx context.Context, o Order, f func(Report) bool) error {
	c, cancel := context.WithTimeout(ctx, operateTimeout)
	defer cancel()
	for _, name := range e.cellNames() {
		o.Cell = name
		r, err := e.operateCell(c, o)
		if err != nil {
			return err
		}
		r.Cell = name
		if f(r) {
			return nil
		}
	}
	return nil
}

// operateFirstMatch carries out a request at one cell after the other until a cell
// knows the job or worker that the request names. It passes a successful report to
// ok, and responds with an error otherwise.
func (e *Entry) operateFirstMatch(ctx context.Context, rc *app.RequestContext, o Order, ok func(Report)) {
	found := false
	var last Report
	err := e.forEachCell(ctx, o, func(r Report) bool {
		last = r
		found = r.Reason == ""
		if found {
			ok(r)
		}
		return r.Reason != "missing"
	})
	switch {
	case err != nil:
		httpd.Problem(rc, http.StatusServiceUnavailable, "owner", "the owner of a cell did not answer: "+err.Error())
	case !found:
		httpd.Problem(rc, statusOf(last.Reason), last.Reason, last.Text)
	}
}

func (e *Entry) deleteJob(ctx context.Context, rc *app.RequestContext) {
	e.changeFirstMatch(ctx, rc, Order{Kind: "cancel", Name: rc.Param("name")})
}

func (e *Entry) postDrain(ctx context.Context, rc *app.RequestContext) {
	e.changeFirstMatch(ctx, rc, Order{Kind: "drain", Name: rc.Param("name")})
}

func (e *Entry) postRestore(ctx context.Context, rc *app.RequestContext) {
	e.changeFirstMatch(ctx, rc, Order{Kind: "drain", Name: rc.Param("name"), Off: true})
}

// changeFirstMatch carries out a changing request at the cell that knows the job
// or worker that the request names.
func (e *Entry) changeFirstMatch(ctx context.Context, rc *app.RequestContext, o Order) {
	e.operateFirstMatch(ctx, rc, o, func(r Report) {
		httpd.JSON(rc, http.StatusOK, api.Done{Cell: r.Cell, Text: r.Text})
	})
}

func (e *Entry) getJobs(ctx context.Context, rc *app.RequestContext) {
	out := api.Jobs{}
	err := e.forEachCell(ctx, Order{Kind: "jobs"}, func(r Report) bool {
		out.Jobs = append(out.Jobs, r.Jobs...)
		return false
	})
	if err != nil {
		httpd.Problem(rc, http.StatusServiceUnavailable, "owner", "the owner of a cell did not answer: "+err.Error())
		return
	}
	httpd.JSON(rc, http.StatusOK, out)
}

func (e *Entry) getWorkers(ctx context.Context, rc *app.RequestContext) {
	out := api.Workers{}
	err := e.forEachCell(ctx, Order{Kind: "loads"}, func(r Report) bool {
		out.Workers = append(out.Workers, r.Loads...)
		return false
	})
	if err != nil {
		httpd.Problem(rc, http.StatusServiceUnavailable, "owner", "the owner of a cell did not answer: "+err.Error())
		return
	}
	httpd.JSON(rc, http.StatusOK, out)
}

// whyOf returns the handler that explains the decisions about a job or a worker.
func (e *Entry) whyOf(kind string) app.HandlerFunc {
	return func(ctx context.Context, rc *app.RequestContext) {
		e.operateFirstMatch(ctx, rc, Order{Kind: kind, Name: rc.Param("name")}, func(r Report) {
			httpd.JSON(rc, http.StatusOK, api.Why{Records: r.Records})
		})
	}
}

// whyRequest responds with the steps of a request, from this entry or from the
// first other entry that has recorded them.
func (e *Entry) whyRequest(ctx context.Context, rc *app.RequestContext) {
	id := rc.Param("name")
	steps := e.recent.Steps(id)
	for _, p := range e.roster.Peers() {
		if len(steps) > 0 {
			break
		}
		out := new([]recent.Step)
		c, cancel := context.WithTimeout(ctx, peerTimeout)
		if err := e.pool.Get(p).Call(c, peerName+".Recent", id, out); err == nil {
			steps = *out
		}
		cancel()
	}
	if len(steps) == 0 {
		httpd.Problem(rc, http.StatusNotFound, "missing", fmt.Sprintf("no entry remembers a request %q", id))
		return
	}
	httpd.JSON(rc, http.StatusOK, api.Why{Steps: steps})
}
