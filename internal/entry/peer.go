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

// peerName is the name of the entries' peer service.
const peerName = "Entry"

// Peer is what other processes of the system call at an entry.
type Peer struct{ entry *Entry }

// Offer takes an agent's announcement of its minion.
func (p *Peer) Offer(o wire.Offer, out *wire.Welcome) error {
	e := p.entry
	e.heardOf(o.Name, o.Version)
	e.step(route.Offer{Offer: o})
	*out = e.welcome()
	return nil
}

// Hello answers an agent that has nothing to announce.
func (p *Peer) Hello(h wire.Hello, out *wire.Welcome) error {
	p.entry.heardOf(h.Name, h.Version)
	*out = p.entry.welcome()
	return nil
}

func (e *Entry) heardOf(name string, version uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.agents[name] = agentNews{version: version, at: e.clock.Now()}
}

func (e *Entry) welcome() wire.Welcome {
	a, _ := e.setup.Now()
	w := wire.Welcome{Version: a.Version}
	if !e.leaving.Load() {
		w.Entries = append(w.Entries, e.PeerAddr())
	}
	for _, m := range e.roster.Members() {
		if m.Site == e.proc.Site && m.Peer != e.PeerAddr() {
			w.Entries = append(w.Entries, m.Peer)
		}
	}
	return w
}

// Grant takes an agent's word that a slot is kept for this entry.
func (p *Peer) Grant(g wire.Grant, _ *wire.Empty) error {
	p.entry.step(route.Grant{Agent: g.Agent, Incarnation: g.Incarnation, Service: g.Service, Count: g.Count, Slots: g.Slots})
	return nil
}

// Beat takes a worker's report, or names the process that owns its cell.
func (p *Peer) Beat(b wire.Heartbeat, out *wire.Orders) error {
	e := p.entry
	e.heardOf(b.Agent, b.Version)
	a, _ := e.setup.Now()
	o := e.owner(b.Cell)
	if o == nil {
		return owner.ErrNotOwner
	}
	ctx, cancel := context.WithTimeout(e.ctx, beatTimeout)
	defer cancel()
	v, err := o.Beat(ctx, b)
	if errors.Is(err, owner.ErrNotOwner) {
		out.Redirect = o.Holder()
		out.Version = a.Version
		return nil
	}
	*out = v
	out.Version = a.Version
	return err
}

// beatTimeout bounds the wait for an answer to a worker's report.
const beatTimeout = 10 * time.Second

// Newer returns the settings in force if they are newer than a version.
func (p *Peer) Newer(version uint64, out *setup.Accepted) error {
	if a, _ := p.entry.setup.Now(); a.Version > version {
		*out = a
	}
	return nil
}

// Push takes settings that another entry accepted.
func (p *Peer) Push(a setup.Accepted, _ *wire.Empty) error {
	p.entry.setup.Take(a)
	return nil
}

// Holds reports whether a caller's request is still in progress here.
func (p *Peer) Holds(id string, out *bool) error {
	*out = p.entry.holding(id)
	return nil
}

// Find asks the agents that this entry knows what became of a request.
func (p *Peer) Find(q wire.Search, out *wire.RequestState) error {
	ctx, cancel := context.WithTimeout(p.entry.ctx, findTimeout)
	defer cancel()
	*out = p.entry.find(ctx, q)
	return nil
}

// findTimeout bounds a search for another entry, which asks each agent in turn.
const findTimeout = time.Second

// Recent returns what is remembered of a request.
func (p *Peer) Recent(id string, out *[]recent.Step) error {
	*out = p.entry.recent.Steps(id)
	return nil
}

// Order is an operator's request that concerns one cell.
type Order struct {
	Cell string
	// Kind is submit, cancel, drain, jobs, loads, why or why-worker.
	Kind string
	// Name is that of the job or worker.
	Name string
	Off  bool
	Job  wire.Job
}

// Report is the answer to an Order.
type Report struct {
	Reason  string
	Text    string
	Jobs    []cell.Job
	Loads   []cell.Load
	Records []ledger.Record
	Term    uint64
	// Cell is the cell that answered.
	Cell string
	// Redirect is the owner's address where this process is not it.
	Redirect string
}

// Operate carries out an operator's request at the owner of a cell.
func (p *Peer) Operate(o Order, out *Report) error {
	ctx, cancel := context.WithTimeout(p.entry.ctx, operateTimeout)
	defer cancel()
	r, err := p.entry.operateHere(ctx, o)
	*out = r
	return err
}
