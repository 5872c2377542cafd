// Package wire defines the messages that lagoonrack's processes send to one
// another over net/rpc. They are plain values, encoded by gob; a process ignores
// fields that only a newer version knows.
//
// Messages contain durations and never points in time, because the processes have
// no common clock.
package wire

import (
	"time"

	"lagoonrack/internal/plat"
	"lagoonrack/internal/vect"
)

// Outcome is the outcome of a request, as reported to its caller.
type Outcome string

// Outcomes of a request.
const (
	// Ran means that a minion returned a whole response.
	Ran Outcome = "ran"
	// NotRun means that no minion has started the request or ever will.
	NotRun Outcome = "not-run"
	// Unknown means that a minion may have started the request, but no response
	// was received.
	Unknown Outcome = "unknown"
)

// Field is an HTTP header field.
type Field struct{ Name, Value string }

// Empty is a message without content.
type Empty struct{}

// Search asks for the state of a request of a service.
type Search struct {
	Service string
	// ID is the ID of the request, as in a Call.
	ID string
}

// RequestState is the state of a request over all its attempts, as known to an
// agent.
type RequestState struct {
	// Running means that an attempt was accepted and has not ended.
	Running bool
	// Ended means that an attempt ended; Result is then its result.
	Ended  bool
	Result Result
}

// Call is an attempt of a request, sent from an entry to an agent.
type Call struct {
	// ID identifies a caller's request; it is the same for all its attempts and
	// unique across entries.
	ID string
	// Attempt increases with each attempt of the request.
	Attempt int
	// Incarnation is the agent's incarnation that the call is for; any other
	// rejects it.
	Incarnation string
	// Entry is the sender's peer address. Serial numbers the sender's calls to
	// this incarnation, in ascending order.
	Entry  string
	Serial uint64
	// Queue allows the agent to queue the call until a slot is free. Without it,
	// the agent rejects the call if no slot is free: the entry expected a free
	// slot and prefers to try another agent.
	Queue bool
	// Waiting and Age describe the requests that still wait at the entry, as in a
	// Demand.
	Waiting int
	Age     time.Duration
	Service string
	Method  string
	Path    string
	Header  []Field
	Body    []byte
	// Budget is the time that remained until the request's timeout when the call
	// was sent.
	Budget time.Duration
	// Idempotent allows the agent to run a later attempt of a request although an
	// earlier one has started.
	Idempotent bool
}

// Result is an agent's answer to a Call.
type Result struct {
	// Refused is the reason why the agent rejected the attempt, or is empty. A
	// rejected attempt has not started and never will.
	Refused string
	// Broken is the reason why the minion, although the request was sent to it,
	// returned no whole response, or is empty.
	Broken string
	Status int
	Header []Field
	Body   []byte
	Slots  Slots
}

// Slots is an agent's report on the request slots of its minion at one instant.
type Slots struct {
	// Seq orders the reports of an incarnation; a report with a lower Seq than
	// one already received is stale.
	Seq uint64
	// Free is the number of slots without a request.
	Free int
	// Queued is the number of accepted requests that wait for a slot.
	Queued int
	// Seen is the highest Serial received from the entry to which the report is
	// sent.
	Seen uint64
}

// Kill asks an agent for a tombstone: if the attempt has not started yet, it never
// will.
type Kill struct {
	ID          string
	Attempt     int
	Incarnation string
}

// KillResult is the answer to a Kill.
type KillResult struct {
	// Certain means that the attempt has not started and never will start.
	Certain bool
	// Found means that the attempt ended; Result is then its result.
	Found  bool
	Result Result
}

// Offer announces a minion to an entry.
type Offer struct {
	Service string
	// Agent is the peer address of the minion's agent.
	Agent       string
	Incarnation string
	Zone        string
	// Size is the number of the minion's slots.
	Size int
	// Leaving means that the minion is draining and gets no new calls.
	Leaving bool
	Slots   Slots
	// Version is the configuration version that the agent uses.
	Version uint64
	// Name is the name of the agent's process.
	Name string
}

// Demand reports to an agent how many requests wait at an entry for a slot.
type Demand struct {
	// Entry is the sender's peer address.
	Entry       string
	Incarnation string
	Waiting     int
	// Age is how long the oldest of them had waited when the message was sent.
	Age time.Duration
}

// Grant notifies an entry that an agent has reserved slots for it.
type Grant struct {
	// Count is the number of reserved slots.
	Count       int
	Agent       string
	Incarnation string
	Service     string
	Slots       Slots
}

// Hello registers an agent without a minion at an entry, as an Offer does for the
// others.
type Hello struct {
	// Name is the name of the agent's process.
	Name string
	// Version is the configuration version that the agent uses.
	Version uint64
}

// Welcome is an entry's answer to an Offer or a Hello.
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
	// Agent is the name of the reporting agent's process, as in its Offer.
	Agent string
	Zone  string
	Rack  string
	// Leaving means that the worker is draining: its tasks are to be moved away.
	Leaving bool
	plat.Report
	// Version is the configuration version that the agent uses.
	Version uint64
}

// Orders is the owner's answer to a Heartbeat.
type Orders struct {
	// Redirect is the owner's address if the process that received the heartbeat
	// is not the owner; all other fields are then empty.
	Redirect string
	// Lease is how long tasks may run, counted from Clock in the heartbeat.
	Lease time.Duration
	plat.Orders
	// Version is the newest configuration version that the owner knows.
	Version uint64
}

// Job is a batch job as an operator submits it.
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
	// Actual is the real run time on a stand-in (simulated) worker; 0 means
	// Runtime.
	Actual time.Duration `json:"actual,omitempty" yaml:"actual"`
	// Deadline is the time from acceptance until all tasks must have ended; 0
	// means none.
	Deadline time.Duration `json:"deadline" yaml:"deadline"`
	// Idempotent allows a task to run again after it was lost or failed.
	Idempotent bool `json:"idempotent" yaml:"idempotent"`
	// Checkpoint means that a task can save its progress.
	Checkpoint bool `json:"checkpoint" yaml:"checkpoint"`
	// Urgent allows the tasks to evict others.
	Urgent bool `json:"urgent" yaml:"urgent"`
	// Limit is the number of failed attempts after which a task is abandoned; 0
	// means the number in the settings.
	Limit int `json:"limit" yaml:"limit"`
}
