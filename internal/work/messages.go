package work

import "time"

// ReportID identifies a report by the start of the agent's process and the time of
// sending, both by the agent's clock. An order repeats the ReportID of the newest
// report that the owner received. The agent carries out no start of the order once
// that report is older than sched.Limits.OwnerTimeout: a delayed start must not be
// carried out after the owner has placed the task elsewhere.
type ReportID struct {
	// Process is the start time of the agent's process.
	Process int64         `cbor:"1,keyasint"`
	Sent    time.Duration `cbor:"2,keyasint"`
	// Echo repeats the newest Challenge that the process received, or is 0.
	Echo uint64 `cbor:"3,keyasint,omitempty"`
}

// Moment is a time on the clock of the owner in a term. The zero value is before all
// others.
type Moment struct {
	Term uint64        `cbor:"1,keyasint,omitempty"`
	At   time.Duration `cbor:"2,keyasint,omitempty"`
}

// Latest returns the later of two moments.
func (m Moment) Latest(x Moment) Moment {
	if x.Term > m.Term || x.Term == m.Term && x.At > m.At {
		return x
	}
	return m
}

// Report describes the state of a worker to the cell's owner. The worker's agent
// sends it.
type Report struct {
	// Agent is the address of the agent.
	Agent  string `cbor:"1,keyasint"`
	Worker Worker `cbor:"2,keyasint"`
	// Listed says that Running is the complete list of the worker's runs. Age is
	// the time since the agent requested that list, in milliseconds. If MoreEnds is set,
	// a run that is in neither list may have ended.
	Listed  bool      `cbor:"3,keyasint,omitempty"`
	Age     int64     `cbor:"4,keyasint,omitempty"`
	Running []Running `cbor:"5,keyasint,omitempty"`
	Ends    []End     `cbor:"6,keyasint,omitempty"`
	// Cut says that the worker is unresponsive or has said farewell, and that its lease is
	// not renewed until the owner allows it. Left is an upper bound of the time until the
	// lease expires, in milliseconds of the agent's clock.
	Cut  bool  `cbor:"7,keyasint,omitempty"`
	Left int64 `cbor:"8,keyasint,omitempty"`
	// Gone says that the worker has certainly ended, and all its runs with it. A farewell
	// does not prove that.
	Gone bool `cbor:"9,keyasint,omitempty"`
	// Unix is the agent's wall clock, in milliseconds since 1970.
	Unix int64 `cbor:"10,keyasint"`
	// Asks lists runs that the worker reports and the agent has no About of.
	Asks []Run `cbor:"11,keyasint,omitempty"`
	// Name is the agent's name.
	Name string   `cbor:"12,keyasint"`
	Word ReportID `cbor:"13,keyasint"`
	// MoreEnds says that the worker has more ends than Ends lists, or that some of its
	// runs or ends could not be read.
	MoreEnds bool `cbor:"14,keyasint,omitempty"`
	// ListedAfter is the newest Moment of an owner that the agent knew when it requested
	// the list of runs: the list is not older.
	ListedAfter Moment `cbor:"15,keyasint,omitempty"`
}

// Reply is the owner's answer to a Report.
type Reply struct {
	// Term is the owner's term, or 0 if the process that answers is not the owner.
	Term uint64 `cbor:"1,keyasint"`
	// Owner is the address of the owner, or empty if it is unknown.
	Owner string `cbor:"2,keyasint"`
	// Noted is the highest End.N that is stored; the worker may forget ends up to
	// it.
	Noted int64 `cbor:"3,keyasint"`
	// Renew says that the agent may renew the worker's lease.
	Renew bool `cbor:"4,keyasint"`
	// About describes the runs in Report.Asks.
	About []About `cbor:"5,keyasint,omitempty"`
	// Entries lists the addresses of all known entries.
	Entries []string `cbor:"6,keyasint,omitempty"`
	// Press holds the interference between the images on the worker, and Bases
	// the tail latency of each latency-critical image without load, in
	// milliseconds.
	Press []Interference     `cbor:"7,keyasint,omitempty"`
	Bases map[string]float64 `cbor:"8,keyasint,omitempty"`
	// Challenge, if it is not 0, says that the report was rejected because the
	// owner's last contact was with another process of this agent. A report that
	// repeats the number in ReportID.Echo proves that its process is the current
	// one.
	Challenge uint64 `cbor:"9,keyasint,omitempty"`
	// Busy says that the owner is so far behind that it has not handled the report. The
	// report counts as lost, but the owner lives.
	Busy bool `cbor:"10,keyasint,omitempty"`
	// Now is the time of the reply.
	Now Moment `cbor:"11,keyasint,omitempty"`
}

// About holds what an agent needs to know about a run in order to throttle it or
// protect it from interference. The fields have the same meaning as in Step.
type About struct {
	Run
	Lasts  bool   `cbor:"3,keyasint,omitempty"`
	Fills  bool   `cbor:"4,keyasint,omitempty"`
	Target int64  `cbor:"5,keyasint,omitempty"`
	Image  string `cbor:"6,keyasint,omitempty"`
}

// Start orders the start of a run.
type Start struct {
	About
	// Saved names the checkpoint to continue from, or is empty.
	Saved string `cbor:"7,keyasint,omitempty"`
	// Ticket is the advisor's permission to run the task on this worker, or empty.
	Ticket string `cbor:"8,keyasint,omitempty"`
}

// Order lists the runs that an agent has to start and to stop on its worker.
type Order struct {
	Term uint64 `cbor:"1,keyasint"`
	// Owner is the address of the owner.
	Owner string `cbor:"2,keyasint"`
	// Life is the incarnation of the worker that the order is for.
	Life Life `cbor:"3,keyasint"`
	// Word identifies the newest report that the owner received.
	Word   ReportID `cbor:"8,keyasint"`
	Starts []Start  `cbor:"4,keyasint,omitempty"`
	// Specs holds the specification of each job in Starts.
	Specs map[string]string `cbor:"5,keyasint,omitempty"`
	Stops []Run             `cbor:"6,keyasint,omitempty"`
	// Noted and Now are as in Reply.
	Noted int64  `cbor:"7,keyasint,omitempty"`
	Now   Moment `cbor:"9,keyasint,omitempty"`
	// StartBy is the time, by the clock of the agent's process that Word names, after which
	// none of Starts may be sent to the worker. 0 means no limit.
	StartBy time.Duration `cbor:"10,keyasint,omitempty"`
}

// Code is the outcome of an order to start, stop or throttle a run.
type Code string

// The outcomes of an order. Only after Started, Unknown and OldRun may the order have
// started the run.
const (
	// Started means that the worker accepted the order. It is also the code for an
	// accepted order to stop or throttle a run.
	Started Code = "started"
	Unknown Code = "unknown"
	// Fenced means that the order's term is lower than one seen before.
	Fenced Code = "fenced"
	// OldRun means that the worker has already accepted the start or the stop of
	// this run and does not start it again.
	OldRun Code = "old"
	// Late means that the lease has expired, that the report which the order
	// answers is too old, or that the run was stopped before it started.
	Late       Code = "late"
	NoCapacity Code = "room"
	BadTicket  Code = "ticket"
	// Unhealthy means that the worker rejected the order although it has free
	// capacity.
	Unhealthy Code = "sick"
	// Leaving means that the worker is draining and accepts no new runs.
	Leaving Code = "leaving"
	// OtherIncarnation means that the order is for another incarnation of the
	// worker.
	OtherIncarnation Code = "other"
	// NeverStarts means that the worker rejected the order for another reason and
	// the run never starts.
	NeverStarts Code = "void"
)

// Result is the outcome of one Start.
type Result struct {
	Run
	Code Code `cbor:"3,keyasint"`
}

// Results is an agent's answer to an Order.
type Results struct {
	Life   Life     `cbor:"1,keyasint"`
	Starts []Result `cbor:"2,keyasint,omitempty"`
	// Stops lists the runs whose stop the worker has accepted: none of them can
	// start any more.
	Stops []Run `cbor:"4,keyasint,omitempty"`
	// Term is the highest term that the agent has seen.
	Term uint64 `cbor:"3,keyasint"`
}

// Throttle limits a run to a share of its full speed.
type Throttle struct {
	Run
	// Percent is between 0 and 100; 100 is full speed.
	Percent int
	Reason  string
}

// The names of the RPC services that the processes register.
const (
	EntryService = "Entry"
	AgentService = "Agent"
)

// MaxMessage is the maximum size of a request between processes, in bytes. The largest are
// transactions that are relayed to another entry, with jobs of up to 1 MiB, and reports of an
// agent, with some hundred bytes a run. Responses are not bounded.
const MaxMessage = 16 << 20

// Ping is sent by an entry to each of the others to exchange state.
type Ping struct {
	// Addr is the address of the sender, and Version the configuration version
	// that it runs.
	Addr    string
	Version uint64
}

// Found is what is known of a job. The state is empty if there is no such job.
type Found struct {
	State string `cbor:"1,keyasint"`
	// Queue is the queue that the job was submitted to.
	Queue string `cbor:"2,keyasint"`
}

// Pong is an entry's answer to a Ping. Durations are in milliseconds.
type Pong struct {
	// Owns is the term in which the entry owns the cell, or 0.
	Owns uint64
	// Owner and Term are the address and the term of the owner that the entry
	// knows, and Age is the time since its last contact with that owner.
	Owner string
	Term  uint64
	Age   int64
	// Cut is how long the store has not answered the owner.
	Cut int64
	// Lag is how long the oldest event that the owner has not handled has waited.
	Lag int64
	// Version is the configuration version that the entry runs.
	Version uint64
	// Weight rates how well the entry's machine can carry the owner's load; the
	// owner should have a high one.
	Weight int64
	// Leaving says that the entry is draining.
	Leaving bool
	// Entries lists the addresses of the entries that the entry knows.
	Entries []string
	// Pending is, for each queue, the number of jobs of which no task was started.
	// Only the owner knows it.
	Pending map[string]int
	// Evacuated lists the evacuated zones as of the store's version ZonesVersion, which was
	// the newest ZonesAge ago or later. ZonesAge is 0 if the entry does not know.
	Evacuated    []string
	ZonesVersion uint64
	ZonesAge     int64
	// Loading says that the entry has claimed the cell and does not know its jobs yet:
	// Pending is not a count.
	Loading bool
}

// Admission is the owner's decision whether a submitted job may be accepted.
type Admission struct {
	// Refused says that the job is to be rejected; the caller may retry After
	// milliseconds later.
	Refused bool  `cbor:"1,keyasint"`
	After   int64 `cbor:"2,keyasint"`
	// Submitted is when the job was first submitted, if it was rejected then, in milliseconds of
	// the store's clock.
	Submitted int64 `cbor:"3,keyasint,omitempty"`
	// Cores is the capacity that a rejected long-running job needs, in thousandths of a core, and
	// Work the work of another rejected job, in thousandths of a core times seconds. One of them
	// is set if the next owner is to know of the rejection.
	Cores int64 `cbor:"4,keyasint,omitempty"`
	Work  int64 `cbor:"5,keyasint,omitempty"`
	// Overload holds the inputs of the decision on a job that is not long-running.
	Overload Overload `cbor:"6,keyasint,omitempty"`
}

// Overload holds the inputs of a decision by overload control. It is zero if there was none.
type Overload struct {
	// Decided says that overload control decided, and Priority is that of the job.
	Decided  bool `cbor:"1,keyasint,omitempty"`
	Priority int  `cbor:"2,keyasint,omitempty"`
	// Wait is how long the job would wait for the backlog Ahead of it, Spare how long it may
	// wait, and Chain how long it then takes, in milliseconds.
	Wait  int64 `cbor:"3,keyasint,omitempty"`
	Spare int64 `cbor:"4,keyasint,omitempty"`
	Chain int64 `cbor:"5,keyasint,omitempty"`
	// Ahead is in thousandths of a core times seconds, and Rate, at which it is done, in
	// thousandths of a core.
	Ahead int64 `cbor:"6,keyasint,omitempty"`
	Rate  int64 `cbor:"7,keyasint,omitempty"`
}

// Interference is how much a best-effort image (Fill) slows a latency-critical one
// (Serve) on the same worker: Factor is the load that the best-effort task adds to the
// latency-critical one, divided by the share of the worker's processors that the
// best-effort task uses.
type Interference struct {
	Fill   string  `cbor:"1,keyasint"`
	Serve  string  `cbor:"2,keyasint"`
	Factor float32 `cbor:"3,keyasint"`
}
