package admit

import (
	"time"

	"lagoonrack/internal/wire"
)

// Event is an input of Core.
type Event interface{ event() }

// Call is an attempt of a request, sent by an entry. The caller of Core keeps the
// body.
type Call struct{ wire.Call }

// Done is the end of a started attempt.
type Done struct {
	ID      string
	Attempt int
	Result  wire.Result
}

// Kill asks for a tombstone: the attempt must never start if it has not yet.
type Kill struct{ wire.Kill }

// Demand reports how many requests wait at an entry.
type Demand struct{ wire.Demand }

// Tick handles what is due at the time of the step.
type Tick struct{}

// Drain reports that the agent is stopping.
type Drain struct{}

func (Call) event()   {}
func (Done) event()   {}
func (Kill) event()   {}
func (Demand) event() {}
func (Tick) event()   {}
func (Drain) event()  {}

// Effect is an output of Core: something that the agent must do.
type Effect interface{ effect() }

// Start passes an attempt to the minion.
type Start struct {
	ID      string
	Attempt int
	Budget  time.Duration
}

// Reply answers an attempt.
type Reply struct {
	ID      string
	Attempt int
	Result  wire.Result
}

// KillReply answers a Kill.
type KillReply struct {
	wire.Kill
	wire.KillResult
}

// Grant notifies an entry that slots are reserved for calls from it.
type Grant struct {
	// Count is the number of reserved slots.
	Count int
	Entry string
	Slots wire.Slots
}

func (Start) effect()     {}
func (Reply) effect()     {}
func (KillReply) effect() {}
func (Grant) effect()     {}
