package entry

import (
	"context"
	"errors"
	"fmt"

	"lagoonrack/internal/cell"
	"lagoonrack/internal/conf"
	"lagoonrack/internal/wire"
)

// ServesAll reports whether the entry is ready to serve all of its site's
// settings: every minion has been announced and every cell has an owner.
func (e *Entry) Knows(s conf.Settings) bool {
	if !e.ready.Load() {
		return false
	}
	for _, v := range s.Services {
		if len(e.agentsOf(v.Name)) < v.Minions {
			return false
		}
	}
	for _, c := range s.Cells {
		o := e.owner(c.Name)
		if o == nil || o.Holder() == "" {
			return false
		}
	}
	return true
}

// Loads returns the loads of the workers in the cells that this process owns.
func (e *Entry) Loads() []cell.Load {
	var out []cell.Load
	for _, name := range e.cellNames() {
		if o := e.owner(name); o != nil {
			o.View(func(c *cell.Core) { out = append(out, c.Loads()...) })
		}
	}
	return out
}

// Jobs returns the jobs of all cells of the site.
func (e *Entry) Jobs(ctx context.Context) ([]cell.Job, error) {
	var out []cell.Job
	err := e.forEachCell(ctx, Order{Kind: "jobs"}, func(r Report) bool {
		out = append(out, r.Jobs...)
		return false
	})
	return out, err
}

// errCell says that a job names a cell that this site does not have.
var errCell = errors.New("no such cell")

// Submit passes a job to the owner of its cell and returns the owner's report.
func (e *Entry) Submit(ctx context.Context, j wire.Job) (Report, error) {
	name, ok := e.cellOf(j)
	if !ok {
		return Report{}, fmt.Errorf("%w: %q", errCell, j.Cell)
	}
	j.Cell = name
	return e.operateCell(ctx, Order{Cell: name, Kind: "submit", Job: j})
}
