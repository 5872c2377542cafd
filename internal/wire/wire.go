// Package wire holds the messages that lagoonrack's processes send to one
// another over net/rpc. They are plain values: gob encodes them, and a field
// that is added later is ignored by an older process.
//
// Durations in messages are spans, never instants, because the processes share
// no clock.
package wire

import (
	"time"

	"lagoonrack/internal/plat"
	"lagoonrack/internal/vect"
)

// Outcome tells a caller what became of a request.
type Outcome string

// The outcomes of a request.
const (
	// Ran means that a minion answered.
	Ran Outcome = "ran"
	// NotRun means that no minion started the request, and none ever will.
	NotRun Outcome = "not-run"
	// Unknown means that a minion may have started the request.
	Unknown Outcome = "unknown"
)

// Field is one header field.
type Field struct{ Name, Value string }

// Empty is a message without content.
type Empty struct{}

// Search names a request of a service.
type Search struct {
	Service string
	ID      string
}

// RequestState is what an agent knows of a request, over all its attempts.
type RequestState struct {
	// Running says that an attempt is accepted and has not ended.
	Running bool
	// Ended says that an attempt ended; Result is then its answer.
	Ended  bool
	Result Result
}

// Call is a request on its way from an entry to an agent.
type Call struct {
	// ID is unique for each request of a caller, over all entries.
	ID string
	// Attempt grows with each sending of the same request.
	Attempt int
	// Incarnation is that of the agent the entry means; another refuses.
	Incarnation string
	// Entry is the sender's peer address, and Serial numbers its calls to this
	// incarnation.
	Entry  string
	Serial uint64
	// Queue allows the agent to let the call wait for a slot. Without it the
	// entry believed that a slot was free, and would rather try another agent.
	Queue bool
	// Waiting and Age say what still waits at the entry, as in a Demand.
	Waiting int
	Age     time.Duration
	Service string
	Method  string
	Path    string
	Header  []Field
	Body    []byte
	// Budget is the time left for the request when it was sent.
	Budget time.Duration
	// Idempotent allows the agent to run a later attempt after an earlier one.
	Idempotent bool
}

// Result is an agent's answer to a Call.
type Result struct {
	// Refused is the reason why the agent certainly did not and will not run
	// this attempt, or is empty.
	Refused string
	// Broken says that the minion was asked and gave no whole answer.
	Broken string
	Status int
	Header []Field
	Body   []byte
	Slots  Slots
}

// Slots is what an agent says of its minion's capacity at one instant.
type Slots struct {
	// Seq orders the reports of one incarnation; a lower one is stale.
	Seq uint64
	// Free is the number of slots with no request.
	Free int
	// Queued is the number of accepted requests that wait for a slot.
	Queued int
	// Seen is the highest Serial received from the entry that is told.
	Seen uint64
}

// Kill asks an agent never to start an attempt that it has not started yet.
type Kill struct {
	ID          string
	Attempt     int
	Incarnation string
}

// KillResult is the answer to a Kill.
type KillResult struct {
	// Certain means that the attempt has not started and never will.
	Certain bool
	// Found says that the attempt ended; Result is then its answer.
	Found  bool
	Result Result
}

// Offer announces a minion to an entry.
type Offer struct {
	Service     string
	Agent       string
	Incarnation string
	Zone        string
	Size        int
	Leaving     bool
	Slots       Slots
	// Version is the configuration version that the agent runs.
	Version uint64
	Name    string
}

// Demand tells an agent how many requests wait at an entry.
type Demand struct {
	// Entry is the sender's peer address.
	Entry       string
	Incarnation string
	Waiting     int
	// Age is how long the oldest of them had waited when the bid was sent.
	Age time.Duration
}

// Grant tells an entry that an agent expects calls from it.
type Grant struct {
	// Count is the number of calls.
	Count       int
	Agent       string
	Incarnation string
	Service     string
	Slots       Slots
}

// Hello keeps an agent without a minion in touch with an entry.
type Hello struct {
	Name string
	// Version is the configuration version that the agent runs.
	Version uint64
}

// Welcome is an entry's answer to an Offer.
type Welcome struct {
	// Version is the newest configuration version that the entry knows.
	Version uint64
	// Entries lists the peer addresses of all entries that the entry knows.
	Entries []string
}

// Heartbeat is a worker agent's report to the owner of its cell.
type Heartbeat struct {
	Cell   string
	Worker string
	// Agent is the name of the reporting agent, under which it also announces
	// its minion.
	Agent string
	Zone  string
	Rack  string
	// Leaving says that the worker is to be emptied.
	Leaving bool
	plat.Report
	// Version is the configuration version that the agent runs.
	Version uint64
}

// Orders is the owner's answer to a Heartbeat.
type Orders struct {
	// Redirect is the address of the owner where the asked process is not it;
	// all else is then empty.
	Redirect string
	// Lease is how long, from the worker's clock in the beat, tasks may run.
	Lease time.Duration
	plat.Orders
	// Version is the newest configuration version.
	Version uint64
}

// Job is what an operator submits.
type Job struct {
	Name string `json:"name" yaml:"name"`
	Team string `json:"team" yaml:"team"`
	Kind string `json:"kind" yaml:"kind"`
	Cell string `json:"cell" yaml:"cell"`
	// Tasks is at least 1.
	Tasks int       `json:"tasks" yaml:"tasks"`
	Size  vect.Size `json:"size" yaml:"size"`
	// Runtime is the declared run time of one task.
	Runtime time.Duration `json:"runtime" yaml:"runtime"`
	// Actual is the true run time on a stand-in worker; 0 means Runtime.
	Actual time.Duration `json:"actual,omitempty" yaml:"actual"`
	// Deadline is the time from acceptance until all tasks must have ended.
	Deadline   time.Duration `json:"deadline" yaml:"deadline"`
	Idempotent bool          `json:"idempotent" yaml:"idempotent"`
	Checkpoint bool          `json:"checkpoint" yaml:"checkpoint"`
	Urgent     bool          `json:"urgent" yaml:"urgent"`
	// Limit is the number of attempts after which a failing task stops.
	Limit int `json:"limit" yaml:"limit"`
}
