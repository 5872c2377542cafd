package entry

import (
	"cmp"
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	"lagoonrack/internal/claim"
	"lagoonrack/internal/digest"
	"lagoonrack/internal/route"
	"lagoonrack/internal/wire"
)

const (
	// followEvery is how often the end of an earlier request is asked for.
	followEvery = 25 * time.Millisecond
	// releaseTimeout bounds the release of a key whose request did not run.
	releaseTimeout = 2 * time.Second
)

// keyed is a request with an Idempotency-Key.
type keyed struct {
	*Entry
	ask  ask
	row  string
	want claim.Claim
}

// serveKeyed handles a request with an Idempotency-Key: it runs only if it gets
// the key, and else is answered with what became of the one that did.
func (e *Entry) serveKeyed(ctx context.Context, rc *app.RequestContext, a ask) {
	row, err := claim.RowKey(a.call.Service, a.key)
	if err != nil {
		e.refuse(rc, refusal{http.StatusBadRequest, wire.NotRun, "key", err.Error()})
		return
	}
	// Under a key a request runs at most once, whatever its method.
	a.call.Idempotent = false
	k := keyed{Entry: e, ask: a, row: row, want: claim.Claim{
		ID:     a.call.ID,
		Digest: digest.Of(a.call.Method, a.call.Path, a.call.Body),
		Entry:  e.PeerAddr(),
	}}
	c, cancel := context.WithTimeout(ctx, cmp.Or(a.budget, a.service.Timeout.Std()))
	defer cancel()
	k.serve(c, rc)
}

func (k keyed) serve(ctx context.Context, rc *app.RequestContext) {
	for {
		got, err := claim.Take(ctx, k.table, k.row, k.want)
		switch {
		case err == nil:
			k.own(rc)
			return
		case errors.Is(err, claim.ErrMismatch):
			k.refuse(rc, refusal{http.StatusUnprocessableEntity, wire.NotRun, "mismatch", err.Error()})
			return
		case !errors.Is(err, claim.ErrTaken):
			k.storeFailed("claim key", err)
			k.refuse(rc, refusal{http.StatusServiceUnavailable, wire.NotRun, "store", "the key could not be claimed; nothing was run"})
			return
		}
		if k.follow(ctx, rc, got) {
			return
		}
	}
}

// own runs the request that got the key.
func (k keyed) own(rc *app.RequestContext) {
	ans := k.run(k.ask)
	if ans.Outcome == wire.NotRun {
		k.release()
	}
	k.respond(rc, k.ask, ans)
}

func (k keyed) release() {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	if err := claim.Release(ctx, k.table, k.row, k.want); err != nil {
		k.storeFailed("release key", err)
	}
}

// follow answers a request whose key another request holds, and reports
// whether it did; if not, the claim is worth another look.
func (k keyed) follow(ctx context.Context, rc *app.RequestContext, c claim.Claim) bool {
	held := k.holds(ctx, c)
	t := k.trace(ctx, c)
	switch {
	case t.Ended:
		k.respond(rc, k.ask, route.Answer{Outcome: wire.Ran, Reason: "key", Result: t.Result})
		return true
	case !held && !t.Running:
		k.refuse(rc, refusal{http.StatusConflict, wire.Unknown, "key", "an earlier request holds this key and its end is not known"})
		return true
	}
	select {
	case <-ctx.Done():
		k.refuse(rc, refusal{http.StatusGatewayTimeout, wire.Unknown, "key", "an earlier request with this key is still running"})
		return true
	case <-time.After(followEvery):
		return false
	}
}

// holds asks the entry that has the earlier request whether it is still at it.
func (k keyed) holds(ctx context.Context, c claim.Claim) bool {
	if c.Entry == k.PeerAddr() {
		return k.holding(c.ID)
	}
	out := new(bool)
	if err := k.pool.Get(c.Entry).Call(ctx, peerName+".Holds", c.ID, out); err != nil {
		return false
	}
	return *out
}

func (e *Entry) holding(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.calls[id] != nil
}

// trace asks what became of a request: first the agents that this entry knows,
// then the entry that sent it, which knows the agent that has it even if that has
// not announced itself here yet.
func (k keyed) trace(ctx context.Context, c claim.Claim) wire.RequestState {
	q := wire.Search{Service: k.ask.service.Name, ID: c.ID}
	t := k.find(ctx, q)
	if t.Ended || c.Entry == k.PeerAddr() {
		return t
	}
	out := new(wire.RequestState)
	if err := k.pool.Get(c.Entry).Call(ctx, peerName+".Find", q, out); err != nil {
		return t
	}
	out.Running = out.Running || t.Running
	return *out
}

// find asks the agents of a service what became of a request.
func (e *Entry) find(ctx context.Context, q wire.Search) wire.RequestState {
	var all wire.RequestState
	for _, a := range e.agentsOf(q.Service) {
		out := new(wire.RequestState)
		if err := e.pool.Get(a).Call(ctx, agentName+".Find", q.ID, out); err != nil {
			continue
		}
		if out.Ended {
			return *out
		}
		all.Running = all.Running || out.Running
	}
	return all
}

func (e *Entry) agentsOf(service string) []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.core.Agents(service)
}
