package stand

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	"lagoonrack/internal/httpd"
	"lagoonrack/internal/stand/flaw"
	"lagoonrack/internal/tally"
	"lagoonrack/internal/vect"
)

// FaultRequest is the body of a request that sets the faults of one part.
type Wanted struct {
	// Slow and Lag are durations such as "200ms"; an empty one means none. All
	// fields correspond to those of flaw.Faults.
	Slow   string  `json:"slow,omitempty"`
	Lag    string  `json:"lag,omitempty"`
	Down   bool    `json:"down,omitempty"`
	Lose   bool    `json:"lose,omitempty"`
	Fail   bool    `json:"fail,omitempty"`
	Factor float64 `json:"factor,omitempty"`
	Refuse bool    `json:"refuse,omitempty"`
}

// faults converts the request to the faults that it sets.
func (w Wanted) faults() (flaw.Faults, error) {
	f := flaw.Faults{Down: w.Down, Lose: w.Lose, Fail: w.Fail, Factor: w.Factor, Refuse: w.Refuse}
	var err error
	if f.Slow, err = parseDuration("slow", w.Slow); err != nil {
		return f, err
	}
	f.Lag, err = parseDuration("lag", w.Lag)
	return f, err
}

// parseDuration parses the duration of a field, which must not be negative; an empty
// one is 0.
func parseDuration(key, v string) (time.Duration, error) {
	if v == "" {
		return 0, nil
	}
	d, err := time.ParseDuration(v)
	if err != nil || d < 0 {
		return 0, fmt.Errorf("%s: %q is not a duration such as 200ms", key, v)
	}
	return d, nil
}

// Operate registers the HTTP endpoints that set faults, replace workers and show
// counters of the platform.
func (p *Platform) Operate(h *httpd.Server) {
	var none tally.Set
	httpd.Observe(h, &none, func() bool { return true })
	h.POST("/v1/fault/:part/:name", p.postFault)
	h.POST("/v1/replace/:name", p.postReplace)
	h.GET("/v1/starts", func(_ context.Context, rc *app.RequestContext) {
		httpd.JSON(rc, http.StatusOK, p.Starts())
	})
	h.GET("/v1/counts", func(_ context.Context, rc *app.RequestContext) {
		r, w := p.Table.Counts()
		httpd.JSON(rc, http.StatusOK, map[string]int{"reads": r, "writes": w})
	})
}

func (p *Platform) postFault(_ context.Context, rc *app.RequestContext) {
	var w Wanted
	if err := json.Unmarshal(rc.Request.Body(), &w); err != nil {
		httpd.Problem(rc, http.StatusBadRequest, "body", err.Error())
		return
	}
	f, err := w.faults()
	if err != nil {
		httpd.Problem(rc, http.StatusBadRequest, "body", err.Error())
		return
	}
	if !p.setFaults(rc.Param("part"), rc.Param("name"), f) {
		httpd.Problem(rc, http.StatusNotFound, "missing", fmt.Sprintf("there is no %s %q", rc.Param("part"), rc.Param("name")))
		return
	}
	httpd.JSON(rc, http.StatusOK, w)
}

// setFaults sets the faults of a part and reports whether it exists. The name is
// used only for workers and minions.
func (p *Platform) setFaults(part, name string, f flaw.Faults) bool {
	switch part {
	case "table":
		p.Table.Set(f)
	case "store":
		p.Store.Set(f)
	case "worker":
		return p.SetWorkerFaults(name, f)
	case "minion":
		m := p.Minion(name)
		if m == nil {
			return false
		}
		m.Set(f)
	default:
		return false
	}
	return true
}

func (p *Platform) postReplace(_ context.Context, rc *app.RequestContext) {
	name := rc.Param("name")
	p.mu.Lock()
	r := p.workers[name]
	p.mu.Unlock()
	if r == nil {
		httpd.Problem(rc, http.StatusNotFound, "missing", fmt.Sprintf("there is no worker %q", name))
		return
	}
	p.AddWorker(name, r.size())
	httpd.JSON(rc, http.StatusOK, Wanted{})
}

func (r *runtime) size() vect.Size {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.simulated.Size
}
