package admit

import (
	"time"

	"lagoonrack/internal/wire"
)

// Event is something that happened to an agent.
type Event interface{ event() }

// Call is a request from an entry. Its body stays with the shell.
type Call struct{ wire.Call }

// Done is the end of a started attempt.
type Done struct {
	ID      string
	Attempt int
	Result  wire.Result
}

// Kill asks for a tombstone.
type Kill struct{ wire.Kill }

// Bid says how many requests wait at an entry.
type Bid struct{ wire.Demand }

// Tick lets time pass.
type Tick struct{}

// Leave says that the agent is stopping.
type Leave struct{}

func (Call) event()  {}
func (Done) event()  {}
func (Kill) event()  {}
func (Bid) event()   {}
func (Tick) event()  {}
func (Leave) event() {}

// Effect is something that an agent is to do.
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

// Fate answers a Kill.
type Fate struct {
	wire.Kill
	wire.KillResult
}

// Grant tells an entry that there is room for calls of its.
type Grant struct {
	// Count is the number of calls.
	Count int
	Entry string
	Slots wire.Slots
}

func (Start) effect() {}
func (Reply) effect() {}
func (Fate) effect()  {}
func (Grant) effect() {}
