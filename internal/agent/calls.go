package agent

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"

	"lagoonrack/internal/admit"
	"lagoonrack/internal/logs"
	"lagoonrack/internal/wire"
)

// Peer is what entries call at an agent.
type Peer struct{ agent *Agent }

// Call runs one attempt of a request, or refuses it.
func (p *Peer) Call(c wire.Call, out *wire.Result) error {
	*out = <-p.agent.take(c)
	return nil
}

// Kill asks for a tombstone.
func (p *Peer) Kill(k wire.Kill, out *wire.KillResult) error {
	*out = p.agent.kill(k)
	return nil
}

// Bid takes an entry's word on how many of its requests wait.
func (p *Peer) Bid(b wire.Demand, _ *wire.Empty) error {
	p.agent.step(admit.Demand{Demand: b})
	return nil
}

// Find tells what became of a request.
func (p *Peer) Find(id string, out *wire.RequestState) error {
	p.agent.mu.Lock()
	defer p.agent.mu.Unlock()
	*out = p.agent.core.RequestState(id)
	return nil
}

// take passes a call to the core. The returned channel gets its answer.
func (a *Agent) take(c wire.Call) <-chan wire.Result {
	ch := make(chan wire.Result, 1)
	k := callKey{c.ID, c.Attempt}
	a.mu.Lock()
	defer a.mu.Unlock()
	p := a.calls[k]
	if p == nil {
		p = &pending{call: c}
		a.calls[k] = p
	}
	p.waiters = append(p.waiters, ch)
	head := c
	head.Body, head.Header = nil, nil
	a.stepLocked(admit.Call{Call: head})
	return ch
}

func (a *Agent) kill(k wire.Kill) wire.KillResult {
	a.mu.Lock()
	defer a.mu.Unlock()
	var fate wire.KillResult
	for _, f := range a.core.Step(a.clock.Now(), admit.Kill{Kill: k}) {
		if v, ok := f.(admit.KillReply); ok {
			fate = v.KillResult
			continue
		}
		a.do(f)
	}
	return fate
}

func (a *Agent) step(ev admit.Event) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.stepLocked(ev)
}

func (a *Agent) stepLocked(ev admit.Event) {
	for _, f := range a.core.Step(a.clock.Now(), ev) {
		a.do(f)
	}
	if a.core.NeedsTick() {
		a.ticker.Wake()
	}
}

// do carries out an effect without waiting for anything.
func (a *Agent) do(f admit.Effect) {
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

func (a *Agent) reply(r admit.Reply) {
	if r.Result.Refused != "" {
		a.tally.Inc("lagoon_agent_refusals_total", "reason", r.Result.Refused)
	}
	k := callKey{r.ID, r.Attempt}
	p := a.calls[k]
	if p == nil {
		return
	}
	delete(a.calls, k)
	for _, ch := range p.waiters {
		ch <- r.Result
	}
}

func (a *Agent) grant(_ string, g admit.Grant) {
	ctx, cancel := context.WithTimeout(a.ctx, peerTimeout)
	defer cancel()
	msg := wire.Grant{Agent: a.Addr(), Incarnation: a.incarnation, Service: a.proc.Minion.Service, Count: g.Count, Slots: g.Slots}
	// A lost grant lapses by itself.
	_ = a.pool.Get(g.Entry).Call(ctx, entryName+".Grant", msg, new(wire.Empty))
}

// mergeGrants adds up grants that wait for an earlier one to be delivered.
func mergeGrants(old, now admit.Grant) admit.Grant {
	now.Count += old.Count
	return now
}

// graceFactor is how many times its budget a started request may take before
// its slot is given up. A minion that never answers must not hold a slot for
// ever.
const graceFactor = 10

// forward passes a request to the minion. It always ends in a Done.
func (a *Agent) forward(c wire.Call, budget time.Duration) {
	res, err := a.exchange(c, budget)
	if err != nil {
		a.tally.Inc("lagoon_minion_errors_total")
		a.log.Debug(logs.PeerLost, logs.Fields{"minion": a.proc.Minion.Address, "id": c.ID, "error": err.Error()})
		res = wire.Result{Broken: "minion"}
	}
	a.step(admit.Done{ID: c.ID, Attempt: c.Attempt, Result: res})
}

func (a *Agent) exchange(c wire.Call, budget time.Duration) (wire.Result, error) {
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
	ctx, cancel := context.WithTimeout(context.Background(), graceFactor*budget)
	defer cancel()
	if err := a.http.Do(ctx, req, resp); err != nil {
		return wire.Result{}, err
	}
	res := wire.Result{Status: resp.StatusCode(), Body: append([]byte(nil), resp.Body()...)}
	resp.Header.VisitAll(func(k, v []byte) {
		if !hopField(string(k)) {
			res.Header = append(res.Header, wire.Field{Name: string(k), Value: string(v)})
		}
	})
	return res, nil
}

// hopField reports whether a field of an answer concerns one connection only.
func hopField(name string) bool {
	switch strings.ToLower(name) {
	case "connection", "keep-alive", "transfer-encoding", "content-length", "upgrade", "trailer":
		return true
	}
	return false
}
