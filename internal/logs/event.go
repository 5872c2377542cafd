package logs

// Event is a numbered kind of log line. Numbers are never used again for
// something else; docs/events.md lists them all.
type Event struct {
	Number int
	// Text is the constant part of the line.
	Text string
	// Meaning tells an operator what happened and what to do, if anything.
	Meaning string
}

// The events. 1xx concern a process, 2xx requests, 3xx cells and jobs, 4xx
// workers and minions, 5xx settings.
var (
	Started      = Event{101, "started", "The process serves its addresses."}
	Stopping     = Event{102, "stopping", "A planned stop began; requests in progress go on."}
	Stopped      = Event{103, "stopped", "The planned stop is complete."}
	Failed       = Event{104, "failed", "The process could not go on. The fields name step and peer."}
	StoreDown    = Event{105, "store gives no answer", "The platform's table or object store failed an operation, which is repeated. Running work goes on."}
	StoreUp      = Event{106, "store answers again", "The outage of the platform's service is over."}
	PeerLost     = Event{107, "peer gives no answer", "A call between two processes failed."}
	PeerFound    = Event{108, "peer answers", "Another entry answers for the first time or again."}
	Reread       = Event{109, "settings file read again", "The process was told that its settings file has changed. What it says counts from the next start."}
	Unread       = Event{110, "settings file refused", "The changed settings file can't be used; the process goes on with what it has."}
	StoreAway    = Event{111, "store away", "The store failed a call of an entry. Callers are served through other entries or sent away until it answers."}
	LinesLost    = Event{112, "log lines dropped", "The log's reader was too slow or its budget used up; so many lines are missing here."}
	Retried      = Event{201, "request sent again", "An attempt ended without an answer and the request may go elsewhere."}
	Hedged       = Event{202, "request sent twice", "An idempotent request was slow and a second attempt was sent."}
	Ejected      = Event{203, "minion ejected", "A minion failed several requests in a row and gets nothing for a while."}
	Silent       = Event{204, "minion silent", "A minion has not announced itself and was forgotten."}
	Answered     = Event{205, "request answered", "A request ended other than by the answer of a minion. Logged at debug level for those that ran."}
	Accepted     = Event{206, "job accepted", "An entry stored a job that a caller handed in."}
	Rejected     = Event{207, "job refused", "An entry did not take a job; it never runs unless it is handed in again."}
	Doubtful     = Event{208, "fate unknown", "An entry could not find out in time whether a caller's change was stored."}
	Withdrawn    = Event{209, "job withdrawn", "An entry stored that a job is cancelled."}
	Owned        = Event{301, "cell taken over", "This process owns the cell from now on."}
	Deposed      = Event{302, "cell lost", "Another process owns the cell; this one drops what it knew of it."}
	Released     = Event{303, "cell handed over", "The cell was given up by a planned stop."}
	Decided      = Event{304, "task decision", "A task was started, ended, returned to the queue, evicted or given up."}
	Snapshot     = Event{305, "snapshot stored", "The state of a cell is in the object store."}
	Quarantine   = Event{401, "worker quarantined", "A worker fails what it starts and is only probed for a while."}
	Restored     = Event{402, "worker in use again", "A quarantined worker ended a task well."}
	WorkerGone   = Event{403, "worker silent", "A worker's leases are over without a word from it."}
	Fenced       = Event{404, "orders refused", "A worker refused orders that were out of date."}
	WorkerNew    = Event{405, "worker announced", "A worker began a new life; nothing of an earlier one runs any more."}
	WorkerLeaves = Event{406, "worker leaving", "A worker takes nothing new and will end; or it takes work again."}
	WorkerEnded  = Event{407, "worker ended", "A worker has told that it ends."}
	OwnerHeard   = Event{408, "owner heard", "An agent learned of the owner of its cell."}
	Paced        = Event{409, "run paced", "A run that uses what others leave was slowed down, or let go again."}
	StartRefused = Event{410, "start refused", "A worker did not start a run; the code says why."}
	Applied      = Event{501, "settings in force", "The process runs a new version of the settings."}
	Refused      = Event{502, "settings refused", "A version of the settings could not be read; the earlier one stays in force."}
)

// All returns every event in order of its number.
func All() []Event {
	return []Event{
		Started, Stopping, Stopped, Failed, StoreDown, StoreUp, PeerLost, PeerFound, Reread, Unread, StoreAway, LinesLost,
		Retried, Hedged, Ejected, Silent, Answered,
		Accepted, Rejected, Doubtful, Withdrawn,
		Owned, Deposed, Released, Decided, Snapshot,
		Quarantine, Restored, WorkerGone, Fenced,
		WorkerNew, WorkerLeaves, WorkerEnded, OwnerHeard, Paced, StartRefused,
		Applied, Refused,
	}
}
