package route

import (
	"time"

	"lagoonrack/internal/wire"
)

// Event is something that happened to an entry.
type Event interface{ event() }

// Arrive is a caller's request.
type Arrive struct {
	// ID is unique over all entries.
	ID      string
	Service string
	// Class groups requests of similar run time, such as a method and path.
	Class string
	// Team is the operator that the caller belongs to, or empty.
	Team       string
	Idempotent bool
	// Budget is the time that the caller gives; 0 or more than the service's
	// timeout means the service's timeout.
	Budget time.Duration
}

// Reply is an agent's answer to a Send.
type Reply struct {
	ID      string
	Attempt int
	Result  wire.Result
}

// Break says that a Send got no whole answer.
type Break struct {
	ID      string
	Attempt int
}

// Fate is an agent's answer to a Kill.
type Fate struct {
	ID      string
	Attempt int
	// Lost says that no answer came.
	Lost bool
	wire.KillResult
}

// Offer is an agent's announcement of its minion.
type Offer struct{ wire.Offer }

// Grant is an agent's word that it has room for calls of this entry.
type Grant struct {
	// Count is the number of calls.
	Count       int
	Agent       string
	Incarnation string
	Service     string
	Slots       wire.Slots
}

// Tick lets time pass.
type Tick struct{}

// Leave says that the entry is stopping.
type Leave struct{}

func (Arrive) event() {}
func (Reply) event()  {}
func (Break) event()  {}
func (Fate) event()   {}
func (Offer) event()  {}
func (Grant) event()  {}
func (Tick) event()   {}
func (Leave) event()  {}

// Effect is something that an entry is to do.
type Effect interface{ effect() }

// Send asks an agent to run an attempt of a request.
type Send struct {
	ID          string
	Attempt     int
	Agent       string
	Incarnation string
	Budget      time.Duration
	Serial      uint64
	// Queue allows the agent to let the call wait for a slot.
	Queue bool
	// Waiting and Age say what still waits at the entry, as in a Bid.
	Waiting int
	Age     time.Duration
}

// Kill asks an agent for a tombstone.
type Kill struct {
	ID          string
	Attempt     int
	Agent       string
	Incarnation string
}

// Bid tells an agent how many requests wait at this entry, so that the agent
// grants it a slot that comes free.
type Bid struct {
	Agent       string
	Incarnation string
	// Waiting is the number of requests without a slot; 0 withdraws the bid.
	Waiting int
	// Age is how long the oldest of them has waited.
	Age time.Duration
}

// Answer ends a request towards its caller.
type Answer struct {
	ID      string
	Outcome wire.Outcome
	Reason  string
	// Result is set for wire.Ran only.
	Result wire.Result
	// Attempts is the number of sendings.
	Attempts int
	// Wait is the time spent without a slot, and Total the time at the entry.
	Wait, Total time.Duration
}

// Note tells of a decision that changes no request's end by itself.
type Note struct {
	// Kind is one word: retry, hedge, eject, return or silent.
	Kind   string
	Reason string
	ID     string
	Agent  string
}

func (Send) effect()   {}
func (Kill) effect()   {}
func (Bid) effect()    {}
func (Answer) effect() {}
func (Note) effect()   {}
