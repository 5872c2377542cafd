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

// operate registers the operators' requests.
func (e *Entry) operate() {
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
	e.operator.NoRoute(func(_ context.Context, rc *app.RequestContext) {
		httpd.Problem(rc, http.StatusNotFound, "path", fmt.Sprintf("there is no %s %s", rc.Method(), rc.Path()))
	})
}

func (e *Entry) getStatus(_ context.Context, rc *app.RequestContext) {
	a, _ := e.setup.Now()
	s := api.Status{Entry: e.proc.Name, Version: a.Version, Members: e.roster.Members()}
	e.ownersMu.Lock()
	for name, o := range e.owners {
		s.Cells = append(s.Cells, api.CellStatus{Name: name, Owner: o.Holder()})
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
	if err := decode(rc, &req); err != nil {
		httpd.Problem(rc, http.StatusBadRequest, "body", err.Error())
		return
	}
	a, err := e.setup.Accept(ctx, req.From, req.Source, e.proc.Name, req.Dry)
	var conflict *setup.ConflictError
	switch {
	case errors.As(err, &conflict):
		httpd.JSON(rc, http.StatusConflict, api.Conflict{Reason: "conflict", Text: err.Error(), Now: conflict.Now})
	case err != nil && a.Version == 0 && invalid(req.Source):
		httpd.Problem(rc, http.StatusUnprocessableEntity, "settings", err.Error())
	case err != nil:
		httpd.Problem(rc, http.StatusServiceUnavailable, "store", err.Error())
	default:
		if !req.Dry {
			e.push(a)
		}
		httpd.JSON(rc, http.StatusOK, a)
	}
}

func invalid(s conf.Source) bool {
	_, err := s.Load()
	return err != nil
}

// push tells the other entries of newly accepted settings. One that does not
// hear it reads the table within a second.
func (e *Entry) push(a setup.Accepted) {
	for _, p := range e.roster.Peers() {
		go func() {
			ctx, cancel := context.WithTimeout(e.ctx, peerTimeout)
			defer cancel()
			_ = e.pool.Get(p).Call(ctx, peerName+".Push", a, new(wire.Empty))
		}()
	}
}

func decode(rc *app.RequestContext, v any) error {
	d := json.NewDecoder(strings.NewReader(string(rc.Request.Body())))
	d.DisallowUnknownFields()
	return d.Decode(v)
}

// cells returns the names of the site's cells.
func (e *Entry) cells() []string {
	_, set := e.setup.Now()
	var out []string
	for _, c := range set.Cells {
		out = append(out, c.Name)
	}
	return out
}

// cellOf returns the cell of a job: the one it names, or one by its name.
func (e *Entry) cellOf(j wire.Job) (string, bool) {
	all := e.cells()
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
	if err := decode(rc, &j); err != nil {
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

// answerOrder carries out a request at one cell and answers with its report.
func (e *Entry) answerOrder(ctx context.Context, rc *app.RequestContext, o Order) {
	c, cancel := context.WithTimeout(ctx, operateTimeout)
	defer cancel()
	r, err := e.operateCell(c, o)
	switch {
	case err != nil:
		httpd.Problem(rc, http.StatusServiceUnavailable, "owner", "the owner of the cell gave no answer: "+err.Error())
	case r.Reason != "":
		httpd.Problem(rc, statusOf(r.Reason), r.Reason, r.Text)
	default:
		httpd.JSON(rc, http.StatusOK, api.Done{Cell: o.Cell, Text: r.Text})
	}
}

func statusOf(reason string) int {
	switch reason {
	case "missing":
		return http.StatusNotFound
	case "conflict":
		return http.StatusConflict
	}
	return http.StatusUnprocessableEntity
}

// each carries out a request at every cell until one answers it.
func (e *Entry) each(ctx context.Context, o Order, f func(Report) bool) error {
	c, cancel := context.WithTimeout(ctx, operateTimeout)
	defer cancel()
	for _, name := range e.cells() {
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

// first answers with the first cell that knows the name of an order.
func (e *Entry) first(ctx context.Context, rc *app.RequestContext, o Order, ok func(Report)) {
	found := false
	var last Report
	err := e.each(ctx, o, func(r Report) bool {
		last = r
		found = r.Reason == ""
		if found {
			ok(r)
		}
		return r.Reason != "missing"
	})
	switch {
	case err != nil:
		httpd.Problem(rc, http.StatusServiceUnavailable, "owner", "the owner of a cell gave no answer: "+err.Error())
	case !found:
		httpd.Problem(rc, statusOf(last.Reason), last.Reason, last.Text)
	}
}

func (e *Entry) deleteJob(ctx context.Context, rc *app.RequestContext) {
	e.change(ctx, rc, Order{Kind: "cancel", Name: rc.Param("name")})
}

func (e *Entry) postDrain(ctx context.Context, rc *app.RequestContext) {
	e.change(ctx, rc, Order{Kind: "drain", Name: rc.Param("name")})
}

func (e *Entry) postRestore(ctx context.Context, rc *app.RequestContext) {
	e.change(ctx, rc, Order{Kind: "drain", Name: rc.Param("name"), Off: true})
}

// change carries out a request at the cell that knows its name.
func (e *Entry) change(ctx context.Context, rc *app.RequestContext, o Order) {
	e.first(ctx, rc, o, func(r Report) {
		httpd.JSON(rc, http.StatusOK, api.Done{Cell: r.Cell, Text: r.Text})
	})
}

func (e *Entry) getJobs(ctx context.Context, rc *app.RequestContext) {
	out := api.Jobs{}
	err := e.each(ctx, Order{Kind: "jobs"}, func(r Report) bool {
		out.Jobs = append(out.Jobs, r.Jobs...)
		return false
	})
	if err != nil {
		httpd.Problem(rc, http.StatusServiceUnavailable, "owner", "the owner of a cell gave no answer: "+err.Error())
		return
	}
	httpd.JSON(rc, http.StatusOK, out)
}

func (e *Entry) getWorkers(ctx context.Context, rc *app.RequestContext) {
	out := api.Workers{}
	err := e.each(ctx, Order{Kind: "loads"}, func(r Report) bool {
		out.Workers = append(out.Workers, r.Loads...)
		return false
	})
	if err != nil {
		httpd.Problem(rc, http.StatusServiceUnavailable, "owner", "the owner of a cell gave no answer: "+err.Error())
		return
	}
	httpd.JSON(rc, http.StatusOK, out)
}

func (e *Entry) whyOf(kind string) app.HandlerFunc {
	return func(ctx context.Context, rc *app.RequestContext) {
		e.first(ctx, rc, Order{Kind: kind, Name: rc.Param("name")}, func(r Report) {
			httpd.JSON(rc, http.StatusOK, api.Why{Records: r.Records})
		})
	}
}

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
