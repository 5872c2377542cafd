package entry

import (
	"context"
	"errors"
	"time"

	"lagoonrack/internal/logs"
	"lagoonrack/internal/recent"
	"lagoonrack/internal/route"
	"lagoonrack/internal/rpcs"
	"lagoonrack/internal/wire"
)

const (
	// agentName is the name of the net/rpc service of the agents.
	agentName = "Agent"
	// peerTimeout bounds a call between processes that does not carry a
	// caller's request.
	peerTimeout = time.Second
	// callSlack is how long after the end of a request's budget its call to the
	// agent is cancelled.
	callSlack = 200 * time.Millisecond
)

// step passes an event to the route core and carries out its effects.
func (e *Entry) step(ev route.Event) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stepLocked(ev)
}

// stepLocked is step for callers that hold e.mu.
func (e *Entry) stepLocked(ev route.Event) {
	for _, f := range e.core.Step(e.clock.Now(), ev) {
		e.execute(f)
	}
}

// execute carries out an effect. It runs with e.mu held and does not block: calls
// to agents run in their own goroutines.
func (e *Entry) execute(f route.Effect) {
	switch f := f.(type) {
	case route.Send:
		e.addStep(f.ID, "sent", "", f.Agent)
		p := e.calls[f.ID]
		call := p.call
		call.Attempt = f.Attempt
		call.Incarnation = f.Incarnation
		call.Serial = f.Serial
		call.Queue = f.Queue
		call.Budget = f.Budget
		call.Waiting = f.Waiting
		call.Age = f.Age
		go e.send(f.Agent, call)
	case route.Kill:
		e.addStep(f.ID, "kill", "", f.Agent)
		go e.kill(f)
	case route.Bid:
		e.bids.Post(f.Agent, f)
	case route.Answer:
		e.deliverAnswer(f)
	case route.Decision:
		e.recordDecision(f)
	}
}

// addStep records a step of a request for operators who ask why it ended as it
// did.
func (e *Entry) addStep(id, what, reason, agent string) {
	e.recent.Add(id, recent.Step{At: e.clock.Now(), What: what, Reason: reason, Agent: agent})
}

// deliverAnswer passes an answer to the goroutine that waits for it in run.
func (e *Entry) deliverAnswer(a route.Answer) {
	e.addStep(a.ID, string(a.Outcome), a.Reason, "")
	p := e.calls[a.ID]
	delete(e.calls, a.ID)
	if p != nil {
		p.answer <- a
	}
}

// recordDecision counts and logs a routing decision.
func (e *Entry) recordDecision(n route.Decision) {
	e.tally.Inc("lagoon_routing_total", "kind", n.Kind, "reason", n.Reason)
	fields := logs.Fields{"reason": n.Reason, "id": n.ID, "agent": n.Agent}
	switch n.Kind {
	case "retry":
		e.addStep(n.ID, n.Kind, n.Reason, n.Agent)
		e.log.Debug(logs.Retried, fields)
	case "hedge":
		e.addStep(n.ID, n.Kind, n.Reason, n.Agent)
		e.log.Debug(logs.Hedged, fields)
	case "eject":
		e.log.Info(logs.Ejected, fields)
	case "silent":
		e.log.Info(logs.Silent, fields)
	}
}

// send sends one attempt to an agent and reports the result to the route core.
func (e *Entry) send(agent string, c wire.Call) {
	ctx, cancel := context.WithTimeout(context.Background(), c.Budget+callSlack)
	defer cancel()
	res := new(wire.Result)
	err := e.pool.Get(agent).Call(ctx, agentName+".Call", c, res)
	switch {
	case err == nil:
		e.step(route.Reply{ID: c.ID, Attempt: c.Attempt, Result: *res})
	case errors.Is(err, rpcs.ErrUnsent):
		e.step(route.Reply{ID: c.ID, Attempt: c.Attempt, Result: wire.Result{Refused: "unreachable"}})
	default:
		e.log.Debug(logs.PeerLost, logs.Fields{"agent": agent, "id": c.ID, "error": err.Error()})
		e.step(route.SendFailed{ID: c.ID, Attempt: c.Attempt})
	}
}

// kill asks an agent for a tombstone of an attempt and reports the reply to the
// route core.
func (e *Entry) kill(k route.Kill) {
	ctx, cancel := context.WithTimeout(context.Background(), peerTimeout)
	defer cancel()
	reply := new(wire.KillResult)
	msg := wire.Kill{ID: k.ID, Attempt: k.Attempt, Incarnation: k.Incarnation}
	if err := e.pool.Get(k.Agent).Call(ctx, agentName+".Kill", msg, reply); err != nil {
		e.step(route.KillReply{ID: k.ID, Attempt: k.Attempt, Lost: true})
		return
	}
	e.step(route.KillReply{ID: k.ID, Attempt: k.Attempt, KillResult: *reply})
}

// bid sends an agent the number of requests that wait for a slot.
func (e *Entry) bid(_ string, b route.Bid) {
	ctx, cancel := context.WithTimeout(context.Background(), peerTimeout)
	defer cancel()
	msg := wire.Demand{Entry: e.PeerAddr(), Incarnation: b.Incarnation, Waiting: b.Waiting, Age: b.Age}
	// The error is ignored: the route core repeats bids while requests wait.
	_ = e.pool.Get(b.Agent).Call(ctx, agentName+".Bid", msg, new(wire.Empty))
}
