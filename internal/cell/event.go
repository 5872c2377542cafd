package cell

import (
	"lagoonrack/internal/ledger"
	"lagoonrack/internal/wire"
)

// Event is something that happened to the owner of a cell.
type Event interface{ event() }

// Submit asks to accept a job.
type Submit struct {
	// Token is repeated in the Done that answers.
	Token uint64
	Job   wire.Job
}

// Cancel asks to withdraw a job.
type Cancel struct {
	Token uint64
	Name  string
}

// Drain asks to empty a worker, or to use it again.
type Drain struct {
	Token  uint64
	Worker string
	Off    bool
}

// Beat is a worker's report. It is answered by one Orders with its token.
type Beat struct {
	Token uint64
	wire.Heartbeat
}

// Committed says that a page took effect.
type Committed struct{ Seq uint64 }

// Held says that the owner's row was written. Sent is when the write was sent.
type Held struct{ Sent int64 }

// Saved says that a snapshot is in the object store.
type Saved struct {
	Seq  uint64
	Name string
}

// Deposed says that another owner has the cell.
type Deposed struct{}

// Tick lets time pass.
type Tick struct{}

// Leave asks to hand the cell over.
type Leave struct{}

func (Submit) event()    {}
func (Cancel) event()    {}
func (Drain) event()     {}
func (Beat) event()      {}
func (Committed) event() {}
func (Held) event()      {}
func (Saved) event()     {}
func (Deposed) event()   {}
func (Tick) event()      {}
func (Leave) event()     {}

// Effect is something that the owner of a cell is to do.
type Effect interface{ effect() }

// Commit writes a page, on the condition that the owner's term is still in
// force. It is repeated until it is known to have taken effect or the owner is
// known to be deposed.
type Commit struct{ Page ledger.Page }

// Orders answers a Beat.
type Orders struct {
	Token  uint64
	Worker string
	wire.Orders
}

// Done answers a Submit, Cancel or Drain.
type Done struct {
	Token uint64
	// Reason is one word where the request was refused, or empty.
	Reason string
	// Text says the same to a person.
	Text string
}

// Snapshot puts the encoded state into the object store.
type Snapshot struct {
	Seq  uint64
	Data []byte
}

// Release gives the cell up after a Leave; nothing follows it.
type Release struct{}

// Note tells of a decision.
type Note struct {
	// Kind is one word: start, end, back, lose, evict, quarantine, return or
	// silent.
	Kind   string
	Reason string
	Task   string
	Worker string
}

func (Commit) effect()   {}
func (Orders) effect()   {}
func (Done) effect()     {}
func (Snapshot) effect() {}
func (Release) effect()  {}
func (Note) effect()     {}
