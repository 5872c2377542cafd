package agent

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"

	"lagoonrack/internal/admit"
	"lagoonrack/internal/logs"
	"lagoonrack/internal/wire"
)

// Peer serves the calls of entries to an agent.
type Peer struct{ agent *Agent }

// Call runs one attempt of a request, or refuses it. It returns once the result is
// known.
func (p *Peer) Call(c wire.Call, out *wire.Result) (err error) {
	defer p.agent.guard().Recover("Call", &err)
	*out = <-p.agent.submit(c)
	return nil
}

// Kill requests a tombstone for an attempt, so that the attempt never starts if it has
// not started yet.
func (p *Peer) Kill(k wire.Kill, out *wire.KillResult) (err error) {
	defer p.agent.guard().Recover("Kill", &err)
	*out = p.agent.killAttempt(k)
	return nil
}

// Bid records how many requests wait at an entry.
func (p *Peer) Bid(b wire.Demand, _ *wire.Empty) (err error) {
	defer p.agent.guard().Recover("Bid", &err)
	p.agent.step(admit.Demand{Demand: b})
	return nil
}

// Find returns the recorded state of a request.
func (p *Peer) Find(id string, out *wire.RequestState) (err error) {
	defer p.agent.guard().Recover("Find", &err)
	p.agent.mu.Lock()
	defer p.agent.mu.Unlock()
	*out = p.agent.core.RequestState(id)
	return nil
}

// submit passes a call to the core. The result is sent to the returned channel.
func (a *Agent) submit(c wire.Call) <-chan wire.Result {
	ch := make(chan wire.Result, 1)
	key := callKey{c.ID, c.Attempt}
	a.mu.Lock()
	defer a.mu.Unlock()
	p := a.calls[key]
	if p == nil {
		p = &pendingCall{call: c}
		a.calls[key] = p
	}
	p.waiters = append(p.waiters, ch)
	withoutPayload := c
	withoutPayload.Body, withoutPayload.Header = nil, nil
	a.stepLocked(admit.Call{Call: withoutPayload})
	return ch
}

// killAttempt passes a request for a tombstone to the core and returns its reply.
func (a *Agent) killAttempt(k wire.Kill) wire.KillResult {
	a.mu.Lock()
	defer a.mu.Unlock()
	var result wire.KillResult
	for _, f := range a.core.Step(a.clock.Now(), admit.Kill{Kill: k}) {
		if v, ok := f.(admit.KillReply); ok {
			result = v.KillResult
			continue
		}
		a.execute(f)
	}
	return result
}

// step passes an event to the core and executes the effects.
func (a *Agent) step(ev admit.Event) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.stepLocked(ev)
}

// stepLocked is step for a caller that holds the mutex.
func (a *Agent) stepLocked(ev admit.Event) {
	for _, f := range a.core.Step(a.clock.Now(), ev) {
		a.execute(f)
	}
	if a.core.NeedsTick() {
		a.ticker.Wake()
	}
}

// execute carries out an effect of the core. It does not block.
func (a *Agent) execute(f admit.Effect) {
	switch f := f.(type) {
	case admit.Start:
		p := a.calls[callKey{f.ID, f.Attempt}]
		go a.forward(p.call, f.Budget)
	case admit.Reply:
		a.reply(f)
	case admit.Grant:
		a.grants.Post(f.Entry, f)
	}
}

// reply sends the result of an attempt to its waiters.
func (a *Agent) reply(r admit.Reply) {
	if r.Result.Refused != "" {
		a.tally.Inc("lagoon_agent_refusals_total", "reason", r.Result.Refused)
	}
	key := callKey{r.ID, r.Attempt}
	p := a.calls[key]
	if p == nil {
		return
	}
	delete(a.calls, key)
	for _, ch := range p.waiters {
		ch <- r.Result
	}
}

// sendGrant notifies an entry of the slots that are reserved for it.
func (a *Agent) sendGrant(_ string, g admit.Grant) {
	ctx, cancel := context.WithTimeout(a.ctx, peerTimeout)
	defer cancel()
	msg := wire.Grant{Agent: a.Addr(), Incarnation: a.incarnation, Service: a.proc.Minion.Service, Count: g.Count, Slots: g.Slots}
	// If the message is lost, the reservations expire.
	_ = a.pool.Get(g.Entry).Call(ctx, entryService+".Grant", msg, new(wire.Empty))
}

// mergeGrants adds up grants that are queued while an earlier one is delivered.
func mergeGrants(old, now admit.Grant) admit.Grant {
	now.Count += old.Count
	return now
}

// minionTimeoutFactor limits how long a started attempt may take, as a multiple of its
// budget. After that the attempt is cancelled and its slot is free again, so that a
// minion that never answers does not occupy a slot forever.
const minionTimeoutFactor = 10

// forward sends a call to the minion and passes the result to the core as a Done event.
func (a *Agent) forward(c wire.Call, budget time.Duration) {
	res, err := a.callMinion(c, budget)
	if err != nil {
		a.tally.Inc("lagoon_minion_errors_total")
		a.log.Debug(logs.PeerLost, logs.Fields{"minion": a.proc.Minion.Address, "id": c.ID, "error": err.Error()})
		res = wire.Result{Broken: "minion"}
	}
	a.step(admit.Done{ID: c.ID, Attempt: c.Attempt, Result: res})
}

// callMinion sends a call to the minion and returns its whole answer.
func (a *Agent) callMinion(c wire.Call, budget time.Duration) (wire.Result, error) {
	req, resp := protocol.AcquireRequest(), protocol.AcquireResponse()
	defer protocol.ReleaseRequest(req)
	defer protocol.ReleaseResponse(resp)
	req.SetMethod(c.Method)
	req.SetRequestURI("http://" + a.proc.Minion.Address + c.Path)
	for _, f := range c.Header {
		if !strings.EqualFold(f.Name, "Host") {
			req.Header.Add(f.Name, f.Value)
		}
	}
	req.Header.Set("Lagoon-Request", c.ID)
	req.Header.Set("Lagoon-Attempt", fmt.Sprint(c.Attempt))
	req.SetBody(c.Body)
	if !c.Idempotent && c.Method != http.MethodPost {
		// When a kept connection is closed without an answer, the client repeats a request
		// by itself, unless its method is POST.
		req.SetConnectionClose()
	}
	ctx, cancel := context.WithTimeout(context.Background(), minionTimeoutFactor*budget)
	defer cancel()
	if err := a.http.Do(ctx, req, resp); err != nil {
		return wire.Result{}, err
	}
	res := wire.Result{Status: resp.StatusCode(), Body: append([]byte(nil), resp.Body()...)}
	resp.Header.VisitAll(func(k, v []byte) {
		if !isHopByHop(string(k)) {
			res.Header = append(res.Header, wire.Field{Name: string(k), Value: string(v)})
		}
	})
	return res, nil
}

// isHopByHop reports whether a header field applies only to one connection or to the
// framing of one message, so that it is not passed on to the entry.
func isHopByHop(name string) bool {
	switch strings.ToLower(name) {
	case "connection", "keep-alive", "transfer-encoding", "content-length", "upgrade", "trailer":
		return true
	}
	return false
}
