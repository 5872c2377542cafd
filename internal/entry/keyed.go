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
	// followInterval is how often a request checks whether an earlier request
	// with the same key has ended.
	followInterval = 25 * time.Millisecond
	// releaseTimeout bounds the release of a key whose request did not run.
	releaseTimeout = 2 * time.Second
)

// keyedRequest is a request with an Idempotency-Key.
type keyedRequest struct {
	*Entry
	request  parsedRequest
	row      string
	ownClaim claim.Claim
}

// serveKeyed handles a request with an Idempotency-Key. It runs the request only
// if the request gets the claim of the key; otherwise it responds with the outcome
// of the request that holds the claim.
func (e *Entry) serveKeyed(ctx context.Context, rc *app.RequestContext, a parsedRequest) {
	row, err := claim.RowKey(a.call.Service, a.key)
	if err != nil {
		e.respondError(rc, errorResponse{http.StatusBadRequest, wire.NotRun, "key", err.Error()})
		return
	}
	// A request with a key runs at most once, even if its method is idempotent.
	a.call.Idempotent = false
	k := keyedRequest{Entry: e, request: a, row: row, ownClaim: claim.Claim{
		ID:     a.call.ID,
		Digest: digest.Of(a.call.Method, a.call.Path, a.call.Body),
		Entry:  e.PeerAddr(),
	}}
	c, cancel := context.WithTimeout(ctx, cmp.Or(a.budget, a.service.Timeout.Std()))
	defer cancel()
	k.claimAndRun(c, rc)
}

// claimAndRun tries to claim the key until the request has been answered, either
// by running it or from the earlier request that holds the claim.
func (k keyedRequest) claimAndRun(ctx context.Context, rc *app.RequestContext) {
	for {
		got, err := claim.Take(ctx, k.table, k.row, k.ownClaim)
		switch {
		case err == nil:
			k.runClaimed(rc)
			return
		case errors.Is(err, claim.ErrMismatch):
			k.respondError(rc, errorResponse{http.StatusUnprocessableEntity, wire.NotRun, "mismatch", err.Error()})
			return
		case !errors.Is(err, claim.ErrTaken):
			k.storeFailed("claim key", err)
			k.respondError(rc, errorResponse{http.StatusServiceUnavailable, wire.NotRun, "store", "the key could not be claimed; nothing was run"})
			return
		}
		if k.answerFromEarlier(ctx, rc, got) {
			return
		}
	}
}

// runClaimed runs the request that claimed the key. The key is released if the
// request certainly did not run, so that a later request can claim it.
func (k keyedRequest) runClaimed(rc *app.RequestContext) {
	ans := k.run(k.request)
	if ans.Outcome == wire.NotRun {
		k.release()
	}
	k.respond(rc, k.request, ans)
}

// release releases the claim of the key.
func (k keyedRequest) release() {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	if err := claim.Release(ctx, k.table, k.row, k.ownClaim); err != nil {
		k.storeFailed("release key", err)
	}
}

// answerFromEarlier responds with the outcome of the earlier request that holds
// the key, and reports whether it responded. It returns false after
// followInterval while the earlier request may still end or release the key; the
// claim must then be tried again.
func (k keyedRequest) answerFromEarlier(ctx context.Context, rc *app.RequestContext, c claim.Claim) bool {
	held := k.earlierInProgress(ctx, c)
	t := k.earlierState(ctx, c)
	switch {
	case t.Ended:
		k.respond(rc, k.request, route.Answer{Outcome: wire.Ran, Reason: "key", Result: t.Result})
		return true
	case !held && !t.Running:
		k.respondError(rc, errorResponse{http.StatusConflict, wire.Unknown, "key", "an earlier request holds this key and its outcome is unknown"})
		return true
	}
	select {
	case <-ctx.Done():
		k.respondError(rc, errorResponse{http.StatusGatewayTimeout, wire.Unknown, "key", "an earlier request with this key is still running"})
		return true
	case <-time.After(followInterval):
		return false
	}
}

// earlierInProgress reports whether the entry that received the earlier request
// still has it in progress.
func (k keyedRequest) earlierInProgress(ctx context.Context, c claim.Claim) bool {
	if c.Entry == k.PeerAddr() {
		return k.isInProgress(c.ID)
	}
	out := new(bool)
	if err := k.pool.Get(c.Entry).Call(ctx, peerName+".Holds", c.ID, out); err != nil {
		return false
	}
	return *out
}

// isInProgress reports whether a caller's request is in progress at this entry.
func (e *Entry) isInProgress(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.calls[id] != nil
}

// earlierState returns the state of the earlier request. It first asks the agents
// that this entry knows, and then the entry that received the request: that entry
// knows the agent the request was sent to even if the agent has not announced
// itself to this entry yet.
func (k keyedRequest) earlierState(ctx context.Context, c claim.Claim) wire.RequestState {
	q := wire.Search{Service: k.request.service.Name, ID: c.ID}
	t := k.requestState(ctx, q)
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

// requestState asks the agents of a service for the state of a request.
func (e *Entry) requestState(ctx context.Context, q wire.Search) wire.RequestState {
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

// agentsOf returns the addresses of the agents of a service.
func (e *Entry) agentsOf(service string) []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.core.Agents(service)
}
