package entry

import (
	"context"
	"errors"
	"time"

	"lagoonrack/internal/cell"
	"lagoonrack/internal/ledger"
	"lagoonrack/internal/owner"
	"lagoonrack/internal/recent"
	"lagoonrack/internal/route"
	"lagoonrack/internal/setup"
	"lagoonrack/internal/wire"
)

// peerName is the name of the net/rpc service of the entries.
const peerName = "Entry"

// Peer is the net/rpc receiver for calls from other processes to an entry.
type Peer struct{ entry *Entry }

// Offer handles an agent's announcement of its minion.
func (p *Peer) Offer(o wire.Offer, out *wire.Welcome) (err error) {
	defer p.entry.guard().Recover("Offer", &err)
	e := p.entry
	e.recordAgent(o.Name, o.Version)
	e.step(route.Offer{Offer: o})
	*out = e.welcome()
	return nil
}

// Hello handles the message of an agent without a minion.
func (p *Peer) Hello(h wire.Hello, out *wire.Welcome) (err error) {
	defer p.entry.guard().Recover("Hello", &err)
	p.entry.recordAgent(h.Name, h.Version)
	*out = p.entry.welcome()
	return nil
}

// recordAgent records the settings version of an agent and the time of contact.
func (e *Entry) recordAgent(name string, version uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.agents[name] = agentVersion{version: version, lastContact: e.clock.Now()}
}

// welcome returns the version of the settings and the peer addresses of the site's
// entries. A stopping entry leaves itself out.
func (e *Entry) welcome() wire.Welcome {
	a, _ := e.setup.Now()
	w := wire.Welcome{Version: a.Version}
	if !e.stopping.Load() {
		w.Entries = append(w.Entries, e.PeerAddr())
	}
	for _, m := range e.roster.Members() {
		if m.Site == e.proc.Site && m.Peer != e.PeerAddr() {
			w.Entries = append(w.Entries, m.Peer)
		}
	}
	return w
}

// Grant handles an agent's message that slots are reserved for calls from this
// entry.
func (p *Peer) Grant(g wire.Grant, _ *wire.Empty) (err error) {
	defer p.entry.guard().Recover("Grant", &err)
	p.entry.step(route.Grant{Agent: g.Agent, Incarnation: g.Incarnation, Service: g.Service, Count: g.Count, Slots: g.Slots})
	return nil
}

// Beat handles a worker's heartbeat if this process owns the worker's cell.
// Otherwise the reply names the owner's address.
func (p *Peer) Beat(b wire.Heartbeat, out *wire.Orders) (err error) {
	defer p.entry.guard().Recover("Beat", &err)
	e := p.entry
	e.recordAgent(b.Agent, b.Version)
	a, _ := e.setup.Now()
	o := e.owner(b.Cell)
	if o == nil {
		return owner.ErrNotOwner
	}
	ctx, cancel := context.WithTimeout(e.ctx, heartbeatTimeout)
	defer cancel()
	v, err := o.Beat(ctx, b)
	if errors.Is(err, owner.ErrNotOwner) {
		out.Redirect = o.OwnerAddr()
		out.Version = a.Version
		return nil
	}
	*out = v
	out.Version = a.Version
	return err
}

// heartbeatTimeout bounds the handling of a worker's heartbeat.
const heartbeatTimeout = 10 * time.Second

// Newer returns the settings in force if they are newer than the given version.
func (p *Peer) Newer(version uint64, out *setup.Accepted) (err error) {
	defer p.entry.guard().Recover("Newer", &err)
	if a, _ := p.entry.setup.Now(); a.Version > version {
		*out = a
	}
	return nil
}

// Push applies settings that another entry accepted, if they are newer.
func (p *Peer) Push(a setup.Accepted, _ *wire.Empty) (err error) {
	defer p.entry.guard().Recover("Push", &err)
	p.entry.setup.ApplyIfNewer(a)
	return nil
}

// Holds reports whether a caller's request is in progress at this entry.
func (p *Peer) Holds(id string, out *bool) (err error) {
	defer p.entry.guard().Recover("Holds", &err)
	*out = p.entry.isInProgress(id)
	return nil
}

// Find asks the agents that this entry knows for the state of a request.
func (p *Peer) Find(q wire.Search, out *wire.RequestState) (err error) {
	defer p.entry.guard().Recover("Find", &err)
	ctx, cancel := context.WithTimeout(p.entry.ctx, findTimeout)
	defer cancel()
	*out = p.entry.requestState(ctx, q)
	return nil
}

// findTimeout bounds Find, which asks one agent after the other.
const findTimeout = time.Second

// Recent returns the recorded steps of a request.
func (p *Peer) Recent(id string, out *[]recent.Step) (err error) {
	defer p.entry.guard().Recover("Recent", &err)
	*out = p.entry.recent.Steps(id)
	return nil
}

// Order is an operator's request to one cell.
type Order struct {
	Cell string
	// Kind is submit, cancel, drain, jobs, loads, why or why-worker.
	Kind string
	// Name is the name of the job or worker. It is unused for submit, jobs and
	// loads.
	Name string
	// Off ends the drain of a worker.
	Off bool
	// Job is the job to submit.
	Job wire.Job
}

// Report is the answer to an Order.
type Report struct {
	// Reason is one word if the order failed, and Text explains it. After a
	// successful change Reason is empty and Text may say what was done.
	Reason  string
	Text    string
	Jobs    []cell.Job
	Loads   []cell.Load
	Records []ledger.Record
	Term    uint64
	// Cell is the name of the cell that answered.
	Cell string
	// Redirect is the owner's address if this process does not own the cell.
	Redirect string
}

// Operate carries out an operator's request for another entry, if this process
// owns the cell.
func (p *Peer) Operate(o Order, out *Report) (err error) {
	defer p.entry.guard().Recover("Operate", &err)
	ctx, cancel := context.WithTimeout(p.entry.ctx, operateTimeout)
	defer cancel()
	r, err := p.entry.operateLocal(ctx, o)
	*out = r
	return err
}
