package entry

import (
	"context"
	"errors"
	"fmt"

	"lagoonrack/internal/cell"
	"lagoonrack/internal/conf"
	"lagoonrack/internal/wire"
)

// Knows reports whether the entry serves all that its site's settings expect:
// every minion is announced and every cell has an owner.
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

// Loads returns the workers of the cells that this process owns.
func (e *Entry) Loads() []cell.Load {
	var out []cell.Load
	for _, name := range e.cells() {
		if o := e.owner(name); o != nil {
			o.View(func(c *cell.Core) { out = append(out, c.Loads()...) })
		}
	}
	return out
}

// Jobs lists the jobs of the site's cells.
func (e *Entry) Jobs(ctx context.Context) ([]cell.Job, error) {
	var out []cell.Job
	err := e.each(ctx, Order{Kind: "jobs"}, func(r Report) bool {
		out = append(out, r.Jobs...)
		return false
	})
	return out, err
}

// errCell says that a job names a cell that is not of this site.
var errCell = errors.New("no such cell")

// Submit passes a job to the owner of its cell.
func (e *Entry) Submit(ctx context.Context, j wire.Job) (Report, error) {
	name, ok := e.cellOf(j)
	if !ok {
		return Report{}, fmt.Errorf("%w: %q", errCell, j.Cell)
	}
	j.Cell = name
	return e.operateCell(ctx, Order{Cell: name, Kind: "submit", Job: j})
}
