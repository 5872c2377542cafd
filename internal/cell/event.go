package cell

import (
	"lagoonrack/internal/ledger"
	"lagoonrack/internal/wire"
)

// Event is an input of Core.Step.
type Event interface{ event() }

// Submit asks to accept a job.
type Submit struct {
	// Token is repeated in the Reply.
	Token uint64
	Job   wire.Job
}

// Cancel asks to cancel a job.
type Cancel struct {
	Token uint64
	Name  string
}

// Drain asks to drain a worker, or to end its draining.
type Drain struct {
	Token  uint64
	Worker string
	// Restore ends the draining.
	Restore bool
}

// Heartbeat is a worker's report. It is answered by one Orders with the same
// token.
type Beat struct {
	Token uint64
	wire.Heartbeat
}

// Committed says that the commit of a page has taken effect.
type Committed struct{ Seq uint64 }

// Renewed says that the owner's heartbeat row was written. Sent is when the write
// was sent, in nanoseconds since the takeover.
type Held struct{ Sent int64 }

// SnapshotStored says that a snapshot is in the object store.
type Saved struct {
	Seq  uint64
	Name string
}

// Deposed says that another process has become the owner of the cell.
type Deposed struct{}

// Tick has the core check what is due at the present time, such as expired leases.
// It is sent at regular intervals.
type Tick struct{}

// Leave asks to hand the cell over: nothing more is started, and the cell is
// released once all records are committed.
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

// Effect is an output of Core.Step that the caller carries out.
type Effect interface{ effect() }

// Commit writes a page, on the condition that the owner's term is still current.
// The write is retried until it is known to have taken effect or the owner is
// known to be deposed.
type Commit struct{ Page ledger.Page }

// Orders answers a Heartbeat.
type Orders struct {
	Token  uint64
	Worker string
	wire.Orders
}

// Reply answers a Submit, Cancel or Drain.
type Done struct {
	Token uint64
	// Reason is a one-word code if the request was rejected, or empty.
	Reason string
	// Text is the result as a message for an operator.
	Text string
}

// Snapshot puts the encoded state into the object store.
type Snapshot struct {
	Seq  uint64
	Data []byte
}

// Release gives up the ownership of the cell after a Leave. It is the last effect
// of a core.
type Release struct{}

// Decision describes a decision, for logs and metrics.
type Note struct {
	// Kind is one of start, end, fail, back, lose, evict, quarantine, return and
	// silent. Back means that a task was requeued, return that a worker has left
	// quarantine, and silent that a worker is unresponsive.
	Kind string
	// Reason is a one-word code, or empty.
	Reason string
	// Task and Worker name what the decision concerns; either may be empty.
	Task   string
	Worker string
}

func (Commit) effect()   {}
func (Orders) effect()   {}
func (Done) effect()     {}
func (Snapshot) effect() {}
func (Release) effect()  {}
func (Note) effect()     {}
