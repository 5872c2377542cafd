package route

import (
	"time"

	"lagoonrack/internal/wire"
)

// Event is an input of Core.Step.
type Event interface{ event() }

// Arrive is the arrival of a caller's request.
type Arrive struct {
	// ID is unique across all entries.
	ID      string
	Service string
	// Class groups requests that are expected to have similar run times, for
	// example by method and path.
	Class string
	// Team is the caller's team, or empty. Teams share the slots of a service
	// in turns.
	Team       string
	Idempotent bool
	// Budget is the time within which the caller wants an answer. It is the
	// timeout of the service if it is 0 or longer than that.
	Budget time.Duration
}

// Reply is an agent's answer to a Send.
type Reply struct {
	ID      string
	Attempt int
	Result  wire.Result
}

// SendFailed reports that a Send got no complete answer, so the attempt may or
// may not have started.
type SendFailed struct {
	ID      string
	Attempt int
}

// KillReply is the result of a Kill.
type KillReply struct {
	ID      string
	Attempt int
	// Lost means that the agent did not answer.
	Lost bool
	wire.KillResult
}

// Offer is an agent's announcement of its minion.
type Offer struct{ wire.Offer }

// Grant reports that an agent has reserved slots for calls of this entry, in
// response to a Bid.
type Grant struct {
	// Count is the number of reserved slots.
	Count       int
	Agent       string
	Incarnation string
	Service     string
	Slots       wire.Slots
}

// Tick only advances the time, so that due timers are handled.
type Tick struct{}

// Drain reports that the entry is stopping: new requests are rejected, and open
// ones are not retried.
type Drain struct{}

func (Arrive) event()     {}
func (Reply) event()      {}
func (SendFailed) event() {}
func (KillReply) event()  {}
func (Offer) event()      {}
func (Grant) event()      {}
func (Tick) event()       {}
func (Drain) event()      {}

// Effect is an output of Core.Step that the entry carries out.
type Effect interface{ effect() }

// Send asks an agent to run an attempt of a request.
type Send struct {
	ID          string
	Attempt     int
	Agent       string
	Incarnation string
	Budget      time.Duration
	// Serial numbers the calls sent to this incarnation of the agent, in
	// ascending order.
	Serial uint64
	// Queue allows the agent to queue the call if it has no free slot.
	Queue bool
	// Waiting and Age describe the requests that still wait at the entry, as
	// in a Bid.
	Waiting int
	Age     time.Duration
}

// Kill asks an agent for a tombstone of an attempt, so that the attempt never
// starts if it has not started yet.
type Kill struct {
	ID          string
	Attempt     int
	Agent       string
	Incarnation string
}

// Bid sends an agent the number of requests that wait at this entry, so that
// the agent grants slots to the entry when they become free.
type Bid struct {
	Agent       string
	Incarnation string
	// Waiting is the number of requests without a slot; 0 withdraws the bid.
	Waiting int
	// Age is how long the oldest of them has waited.
	Age time.Duration
}

// Answer is the answer to the caller of a request.
type Answer struct {
	ID      string
	Outcome wire.Outcome
	Reason  string
	// Result is set for wire.Ran only.
	Result wire.Result
	// Attempts is the number of attempts that were sent.
	Attempts int
	// Wait is the time spent in the queue, and Total the time since arrival.
	Wait, Total time.Duration
}

// Decision reports a routing decision for logs and metrics. Nothing needs to be
// carried out for it.
type Decision struct {
	// Kind is "retry", "hedge", "eject" (minion taken out of use for a while)
	// or "silent" (unresponsive minion removed).
	Kind   string
	Reason string
	ID     string
	Agent  string
}

func (Send) effect()     {}
func (Kill) effect()     {}
func (Bid) effect()      {}
func (Answer) effect()   {}
func (Decision) effect() {}
