package work

import "time"

// ReportID names a report: when the agent's process began and when it sent the
// report, by its own clock. An order repeats the ReportID that the owner had last, and
// is void once that is older than the agent's trust: an order that was held up on
// its way must not be carried out after the owner gave its tasks away.
type ReportID struct {
	Process int64         `cbor:"1,keyasint"`
	Sent    time.Duration `cbor:"2,keyasint"`
	// Echo repeats the newest challenge that the process got, or is 0.
	Echo uint64 `cbor:"3,keyasint,omitempty"`
}

// Report is what an agent tells the owner of its worker.
type Report struct {
	// Agent is the address of the agent.
	Agent  string `cbor:"1,keyasint"`
	Worker Worker `cbor:"2,keyasint"`
	// Listed says that Running lists all that the worker runs, and Age is how
	// many milliseconds ago that list was asked for.
	Listed  bool      `cbor:"3,keyasint,omitempty"`
	Age     int64     `cbor:"4,keyasint,omitempty"`
	Running []Running `cbor:"5,keyasint,omitempty"`
	Ends    []End     `cbor:"6,keyasint,omitempty"`
	// Cut says that the worker gives no answer and that its lease is not
	// renewed until the owner allows it; Left is the longest that the lease may
	// still last, in milliseconds of the agent's clock.
	Cut  bool  `cbor:"7,keyasint,omitempty"`
	Left int64 `cbor:"8,keyasint,omitempty"`
	// Gone says that the worker has ended.
	Gone bool `cbor:"9,keyasint,omitempty"`
	// Unix is the agent's time of day in milliseconds.
	Unix int64 `cbor:"10,keyasint"`
	// Asks lists runs that the agent was not told of.
	Asks []Run `cbor:"11,keyasint,omitempty"`
	// Name is the agent's name.
	Name string   `cbor:"12,keyasint"`
	Word ReportID `cbor:"13,keyasint"`
}

// Reply answers a report.
type Reply struct {
	// Term is that of the owner, or 0 if the process is not the owner.
	Term uint64 `cbor:"1,keyasint"`
	// Owner is the address of the owner, or empty.
	Owner string `cbor:"2,keyasint"`
	// Noted is the highest end that is stored.
	Noted int64 `cbor:"3,keyasint"`
	// Renew says that the agent may renew the worker's lease.
	Renew bool `cbor:"4,keyasint"`
	// About answers Asks.
	About []About `cbor:"5,keyasint,omitempty"`
	// Entries are the addresses of the entries that are known.
	Entries []string `cbor:"6,keyasint,omitempty"`
	// Press tells how the images on the worker disturb one another, and Bases
	// the tails, in milliseconds, of serving images that are idle.
	Press []Interference     `cbor:"7,keyasint,omitempty"`
	Bases map[string]float64 `cbor:"8,keyasint,omitempty"`
	// Challenge, if it is not 0, says that the report was not taken in: the owner
	// last heard another process of this agent. Only a report that repeats the
	// number shows that its process is the present one.
	Challenge uint64 `cbor:"9,keyasint,omitempty"`
}

// About tells an agent what it has to know of a run to guard it.
type About struct {
	Run
	Lasts  bool   `cbor:"3,keyasint,omitempty"`
	Fills  bool   `cbor:"4,keyasint,omitempty"`
	Target int64  `cbor:"5,keyasint,omitempty"`
	Image  string `cbor:"6,keyasint,omitempty"`
}

// Start orders a run.
type Start struct {
	About
	Saved  string `cbor:"7,keyasint,omitempty"`
	Ticket string `cbor:"8,keyasint,omitempty"`
}

// Order is what an agent is to do.
type Order struct {
	Term uint64 `cbor:"1,keyasint"`
	// Owner is the address of the owner.
	Owner  string   `cbor:"2,keyasint"`
	Life   Life     `cbor:"3,keyasint"`
	Word   ReportID `cbor:"8,keyasint"`
	Starts []Start  `cbor:"4,keyasint,omitempty"`
	// Specs holds the specification of each job in Starts.
	Specs map[string]string `cbor:"5,keyasint,omitempty"`
	Stops []Run             `cbor:"6,keyasint,omitempty"`
	Noted int64             `cbor:"7,keyasint,omitempty"`
}

// Code says what became of an order to start a run.
type Code string

// The fates of an order. Only Started and Unknown may have started the run.
const (
	Started    Code = "started"
	Unknown    Code = "unknown"
	Fenced     Code = "fenced"
	OldRun     Code = "old"
	Late       Code = "late"
	NoCapacity Code = "room"
	BadTicket  Code = "ticket"
	// Unhealthy is the answer of a worker that refuses although it has room.
	Unhealthy Code = "sick"
	// Leaving is the answer of an agent whose worker takes nothing new.
	Leaving Code = "leaving"
	// OtherIncarnation is the answer of an agent whose worker has another life.
	OtherIncarnation Code = "other"
	// NeverStarts says that the run was called off and certainly never starts.
	NeverStarts Code = "void"
)

// Result is the fate of one start.
type Result struct {
	Run
	Code Code `cbor:"3,keyasint"`
}

// Results answers an Order.
type Results struct {
	Life   Life     `cbor:"1,keyasint"`
	Starts []Result `cbor:"2,keyasint,omitempty"`
	// Stops lists the stops that the worker has taken: none of these runs
	// starts any more.
	Stops []Run `cbor:"4,keyasint,omitempty"`
	// Term is the highest that the agent has seen.
	Term uint64 `cbor:"3,keyasint"`
}

// Throttle is the share at which a run is to work.
type Throttle struct {
	Run
	// Percent is between 0 and 100.
	Percent int
	Reason  string
}

// The names under which processes of the system serve one another.
const (
	EntryService = "Entry"
	AgentService = "Agent"
)

// Ping is what one entry tells another.
type Ping struct {
	// Addr is the address of the sender, and Version the configuration that it
	// runs.
	Addr    string
	Version uint64
}

// Pong answers a Ping. Spans are in milliseconds.
type Pong struct {
	// Owns is the term in which the entry owns the cell, or 0.
	Owns uint64
	// Owner and Term are those of the owner that it knows, and Age is how long
	// ago it heard that owner.
	Owner string
	Term  uint64
	Age   int64
	// Cut is for how long the store has given the owner no answer.
	Cut int64
	// Version is the configuration that the entry runs.
	Version uint64
	Weight  int64
	Leaving bool
	Entries []string
	// Pending is the owner's count of jobs, by queue, of which no task was
	// started.
	Pending map[string]int
}

// Admission is the owner's answer to a job that is not accepted yet.
type Admission struct {
	// Refused says that the job should be sent away, to come back after so many
	// milliseconds.
	Refused bool  `cbor:"1,keyasint"`
	After   int64 `cbor:"2,keyasint"`
}

// Interference is how much a filling image disturbs a serving one: the stress that it
// adds for each share of the worker's processors.
type Interference struct {
	Fill   string  `cbor:"1,keyasint"`
	Serve  string  `cbor:"2,keyasint"`
	Factor float32 `cbor:"3,keyasint"`
}
