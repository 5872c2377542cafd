package logs

// Event is a numbered kind of log line. A number is never reused for another
// event; docs/events.md lists them all.
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
	Started              = Event{101, "started", "The process serves its addresses."}
	Stopping             = Event{102, "stopping", "A planned stop began; requests in progress continue."}
	Stopped              = Event{103, "stopped", "The planned stop is complete."}
	Failed               = Event{104, "failed", "The process can't continue. The fields name the step and the peer."}
	StoreOperationFailed = Event{105, "store operation failed", "An operation on the platform's table or object store failed and is retried. Running work continues."}
	StoreUp              = Event{106, "store answers again", "The outage of the platform's service is over."}
	PeerLost             = Event{107, "call to peer failed", "A call between two processes failed."}
	PeerFound            = Event{108, "peer answers", "Another entry answers for the first time, or again after it was unresponsive."}
	SettingsFileReread   = Event{109, "settings file reread", "The process read its settings file after a SIGHUP and found no error. Changes take effect at the next start."}
	SettingsFileRejected = Event{110, "settings file rejected", "The settings file read after a SIGHUP is invalid; the process keeps the settings that it started with."}
	StoreUnavailable     = Event{111, "store away", "The store is unavailable to an entry. Until it answers, the entry uses the store through other entries or rejects callers."}
	LinesDropped         = Event{112, "log lines dropped", "The reader of the log was too slow, or the log exceeded its volume limit. The field count says how many lines are missing here."}
	Panicked             = Event{113, "handler panicked", "Handling one message failed by a programming error. The message was dropped; the process continues. The fields hold the stack."}
	EntrySkipped         = Event{114, "odd entry skipped", "An entry of a list or a row in the store can't be used, so it was left out; the others hold. The fields say which and why."}
	ClientsRefused       = Event{115, "clients refused", "Connections were refused or closed before they carried a whole request. The reason names the limit; count says how many since the last such line. The runbook is in docs/OPERATIONS.md, \"Clients that send without end\"."}
	Retried              = Event{201, "request retried", "An attempt ended without an answer, and the request may be sent to another minion."}
	Hedged               = Event{202, "request hedged", "An idempotent request was slow, and a second attempt was sent."}
	Ejected              = Event{203, "minion ejected", "A minion failed several consecutive requests and gets no requests for a while."}
	MinionUnresponsive   = Event{204, "minion unresponsive", "A minion has stopped announcing itself and was removed from routing."}
	Answered             = Event{205, "request answered", "An entry answered a request with an error, because no minion returned a whole response. Logged at debug level."}
	Accepted             = Event{206, "job accepted", "An entry stored a job that a caller submitted."}
	Rejected             = Event{207, "job refused", "An entry rejected a job; it never runs unless it is submitted again. The reason is invalid, store, full, busy, overload, cancelled: a client had cancelled it before, or taken: another queue has a job with its ID."}
	OutcomeUnknown       = Event{208, "outcome unknown", "An entry could not find out in time whether a caller's change was stored."}
	JobCancelled         = Event{209, "job cancelled", "An entry stored the cancellation of a job. early says that no such job was accepted; a submission that is still under way is rejected."}
	Overloaded           = Event{210, "job refused for overload", "A job would end after three times its objective. The fields are the inputs of the decision: the work of the jobs ahead of it, the rate at which that is done, how long the job would wait, how long it may wait, how long it then takes, and its own work."}
	CancelRefused        = Event{211, "cancellation refused", "An entry has stored as many cancellations of unknown jobs as it may. The job may still be accepted; after is the time until the next one is stored."}
	Owned                = Event{301, "cell taken over", "This process owns the cell from now on."}
	CellLost             = Event{302, "cell lost", "Another process owns the cell; this one discards its state of the cell."}
	Released             = Event{303, "cell handed over", "The owner released the cell in a planned stop."}
	Decided              = Event{304, "task decision", "A task was started, ended, returned to the queue, evicted or abandoned."}
	Snapshot             = Event{305, "snapshot stored", "The state of a cell is in the object store."}
	OwnerBehind          = Event{306, "owner behind", "The owner handles events later than they arrive. It drops hints of jobs, which it reads from the store later, and answers reports that it could not handle in time as such."}
	OwnerCaughtUp        = Event{307, "owner caught up", "The owner handles events as they arrive again."}
	AdviceFailed         = Event{308, "advice failed", "A question to the advisor was given up at its time limit, or got no usable answer. It is asked again after a pause."}
	Quarantine           = Event{401, "worker quarantined", "Failures speak against a worker; it gets only probe tasks until one succeeds, their tasks fail on other workers too, or the failures are old."}
	Restored             = Event{402, "worker in use again", "Nothing speaks against a quarantined worker any more, or a silent one answers. The reason is success, or evidence: its tasks fail on other workers too, or the failures are old."}
	WorkerUnresponsive   = Event{403, "worker silent", "A worker did not answer or report until its leases expired."}
	Fenced               = Event{404, "orders refused", "A worker rejected orders of an owner that has been replaced."}
	WorkerNew            = Event{405, "worker announced", "A worker began a new incarnation; no run of an earlier incarnation is left."}
	WorkerDraining       = Event{406, "worker draining", "A worker accepts no new work and will stop; or it accepts work again."}
	WorkerEnded          = Event{407, "worker ended", "A worker has ended. The fields name the proof, and how many runs its newest list showed, of which age."}
	OwnerChanged         = Event{408, "owner changed", "An agent learned which entry owns its cell."}
	RunThrottled         = Event{409, "run paced", "A best-effort run was throttled, or its throttling was changed or lifted."}
	StartRefused         = Event{410, "start refused", "A worker did not start a run; the code says why."}
	OtherIncarnation     = Event{411, "another incarnation answers", "An incarnation of the worker that has not announced itself answers under its ID; runs counts what it has at work."}
	WorkerFarewell       = Event{412, "worker says farewell", "A worker deregistered. Its lease is not renewed any more; its runs count as at work until it is known to have ended, or its lease has expired. The fields say whether it still answered, and how many runs its newest list showed."}
	ZoneEvacuated        = Event{413, "zone evacuated", "The operator has evacuated a zone; nothing is started on its workers any more. The version is that of the store."}
	ZoneRestored         = Event{414, "zone taken back", "A zone is not evacuated any more; its workers get work again."}
	Applied              = Event{501, "settings in force", "The process runs a new version of the settings."}
	SettingsRejected     = Event{502, "settings refused", "A version of the settings could not be read; the earlier one stays in force."}
)

// All returns every event in order of its number.
func All() []Event {
	return []Event{
		Started, Stopping, Stopped, Failed, StoreOperationFailed, StoreUp, PeerLost, PeerFound, SettingsFileReread, SettingsFileRejected, StoreUnavailable, LinesDropped, Panicked, EntrySkipped, ClientsRefused,
		Retried, Hedged, Ejected, MinionUnresponsive, Answered,
		Accepted, Rejected, OutcomeUnknown, JobCancelled, Overloaded, CancelRefused,
		Owned, CellLost, Released, Decided, Snapshot, OwnerBehind, OwnerCaughtUp, AdviceFailed,
		Quarantine, Restored, WorkerUnresponsive, Fenced,
		WorkerNew, WorkerDraining, WorkerEnded, OwnerChanged, RunThrottled, StartRefused, OtherIncarnation, WorkerFarewell, ZoneEvacuated, ZoneRestored,
		Applied, SettingsRejected,
	}
}
