package entry

import (
	"context"
	"errors"
	"fmt"
	"time"

	"lagoonrack/internal/cell"
	"lagoonrack/internal/owner"
)

const (
	// operateTimeout bounds an operator's request.
	operateTimeout = 15 * time.Second
	// ownerPause is the wait for a cell that has no owner at the moment.
	ownerPause = 200 * time.Millisecond
)

// operateHere carries out a request if this process owns the cell.
func (e *Entry) operateHere(ctx context.Context, o Order) (Report, error) {
	own := e.owner(o.Cell)
	if own == nil {
		return Report{Reason: "missing", Text: fmt.Sprintf("there is no cell %q at this site", o.Cell)}, nil
	}
	r, err := carryOut(ctx, own, o)
	if errors.Is(err, owner.ErrNotOwner) {
		return Report{Redirect: own.Holder(), Reason: "owner", Text: "the cell has no owner at the moment"}, nil
	}
	return r, err
}

func carryOut(ctx context.Context, own *owner.Owner, o Order) (Report, error) {
	var d cell.Done
	var err error
	switch o.Kind {
	case "submit":
		d, err = own.Submit(ctx, o.Job)
	case "cancel":
		d, err = own.Cancel(ctx, o.Name)
	case "drain":
		d, err = own.Drain(ctx, o.Name, o.Off)
	default:
		return look(own, o)
	}
	return Report{Reason: d.Reason, Text: d.Text}, err
}

// look answers a request that changes nothing.
func look(own *owner.Owner, o Order) (Report, error) {
	var r Report
	ok := own.View(func(c *cell.Core) {
		r.Term = c.Term()
		switch o.Kind {
		case "jobs":
			r.Jobs = c.Jobs()
		case "loads":
			r.Loads = c.Loads()
		case "why", "why-worker":
			r = explain(c, o)
		}
	})
	if !ok {
		return r, owner.ErrNotOwner
	}
	return r, nil
}

func explain(c *cell.Core, o Order) Report {
	f, what := c.Why, "job"
	if o.Kind == "why-worker" {
		f, what = c.WhyWorker, "worker"
	}
	records, found := f(o.Name)
	if !found {
		return Report{Reason: "missing", Text: fmt.Sprintf("there is no %s %q", what, o.Name)}
	}
	return Report{Records: records}
}

// operateCell carries out a request wherever the cell's owner is, and waits
// for a new owner while there is none.
func (e *Entry) operateCell(ctx context.Context, o Order) (Report, error) {
	for {
		r, err := e.operateHere(ctx, o)
		if err == nil && r.Redirect != "" && r.Redirect != e.PeerAddr() {
			r, err = e.operateAt(ctx, r.Redirect, o)
		}
		if err == nil && r.Reason != "owner" {
			return r, nil
		}
		select {
		case <-ctx.Done():
			return r, errors.Join(ctx.Err(), err)
		case <-time.After(ownerPause):
		}
	}
}

func (e *Entry) operateAt(ctx context.Context, addr string, o Order) (Report, error) {
	out := new(Report)
	if err := e.pool.Get(addr).Call(ctx, peerName+".Operate", o, out); err != nil {
		return Report{}, err
	}
	return *out, nil
}
