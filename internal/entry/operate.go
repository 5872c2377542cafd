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
	// operateTimeout bounds the handling of an operator's request.
	operateTimeout = 15 * time.Second
	// ownerRetryInterval is the time between tries while a cell has no owner or its
	// owner does not answer.
	ownerRetryInterval = 200 * time.Millisecond
)

// operateLocal carries out an operator's request if this process owns the cell.
// Otherwise the report names the owner's address, or says that there is no such
// cell.
func (e *Entry) operateLocal(ctx context.Context, o Order) (Report, error) {
	localOwner := e.owner(o.Cell)
	if localOwner == nil {
		return Report{Reason: "missing", Text: fmt.Sprintf("there is no cell %q at this site", o.Cell)}, nil
	}
	r, err := executeOrder(ctx, localOwner, o)
	if errors.Is(err, owner.ErrNotOwner) {
		return Report{Redirect: localOwner.Holder(), Reason: "owner", Text: "the cell has no owner at the moment"}, nil
	}
	return r, err
}

// executeOrder carries out an operator's request at the cell's owner.
func executeOrder(ctx context.Context, localOwner *owner.Owner, o Order) (Report, error) {
	var d cell.Done
	var err error
	switch o.Kind {
	case "submit":
		d, err = localOwner.Submit(ctx, o.Job)
	case "cancel":
		d, err = localOwner.Cancel(ctx, o.Name)
	case "drain":
		d, err = localOwner.Drain(ctx, o.Name, o.Off)
	default:
		return executeQuery(localOwner, o)
	}
	return Report{Reason: d.Reason, Text: d.Text}, err
}

// executeQuery answers a read-only request.
func executeQuery(localOwner *owner.Owner, o Order) (Report, error) {
	var r Report
	ok := localOwner.View(func(c *cell.Core) {
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

// explain answers with the recorded decisions about a job or a worker.
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

// operateCell carries out a request at the cell's owner, here or at another entry.
// While the cell has no owner or the request fails with an error, it retries until
// the context ends.
func (e *Entry) operateCell(ctx context.Context, o Order) (Report, error) {
	for {
		r, err := e.operateLocal(ctx, o)
		if err == nil && r.Redirect != "" && r.Redirect != e.PeerAddr() {
			r, err = e.operateRemote(ctx, r.Redirect, o)
		}
		if err == nil && r.Reason != "owner" {
			return r, nil
		}
		select {
		case <-ctx.Done():
			return r, errors.Join(ctx.Err(), err)
		case <-time.After(ownerRetryInterval):
		}
	}
}

// operateRemote carries out a request at another entry.
func (e *Entry) operateRemote(ctx context.Context, addr string, o Order) (Report, error) {
	out := new(Report)
	if err := e.pool.Get(addr).Call(ctx, peerName+".Operate", o, out); err != nil {
		return Report{}, err
	}
	return *out, nil
}
