package tally

// Metric is an entry of the catalogue of what processes publish.
type Metric struct {
	Name string
	// Kind is counter, gauge or histogram.
	Kind string
	// Labels are the names of the labels, or empty.
	Labels string
	// By is who publishes it: entry, agent or both.
	By string
	// Meaning is one sentence for those who watch.
	Meaning string
}

// All returns the catalogue in the order of names. A test holds it to the names
// in the sources.
func All() []Metric {
	return []Metric{
		{"lagoon_accept_seconds", "histogram", "", "entry", "Time from reading a job to its row being stored."},
		{"lagoon_advice_errors_total", "counter", "", "entry", "Questions to the platform's advisor without an answer."},
		{"lagoon_agent_refusals_total", "counter", "reason", "agent", "Requests that an agent certainly did not run."},
		{"lagoon_answers_total", "counter", "service, outcome", "entry", "Answers to callers' requests."},
		{"lagoon_commit_seconds", "histogram", "", "entry", "Time of one transaction of the owner, with its repeats."},
		{"lagoon_decisions_total", "counter", "kind, reason", "entry", "Decisions of the owner on jobs of steps."},
		{"lagoon_ends_unstored", "gauge", "", "agent", "Ends of runs that the owner has not stored yet."},
		{"lagoon_entries_heard", "gauge", "", "entry", "Other entries that answered lately."},
		{"lagoon_fenced_total", "counter", "", "agent", "Calls that a worker refused because a newer owner had called it."},
		{"lagoon_job_refusals_total", "counter", "reason", "entry", "Jobs that were sent away; they never run unless they are handed in again."},
		{"lagoon_job_seconds", "histogram", "", "entry", "Time from the acceptance of a job to its end as completed."},
		{"lagoon_jobs_accepted_total", "counter", "", "entry", "Jobs that were stored."},
		{"lagoon_jobs_active", "gauge", "", "entry", "Jobs that still need something, as the owner; 0 at other entries."},
		{"lagoon_jobs_cancelled_total", "counter", "", "entry", "Withdrawals that were stored."},
		{"lagoon_jobs_doubtful_total", "counter", "", "entry", "Jobs whose fate was not known in the caller's time."},
		{"lagoon_known_term", "gauge", "", "both", "Term of the newest owner that the process knows of."},
		{"lagoon_lease_left_seconds", "gauge", "", "agent", "How long the worker may run on without a renewal."},
		{"lagoon_minion_errors_total", "counter", "", "agent", "Calls of a minion that failed."},
		{"lagoon_order_refusals_total", "counter", "reason", "agent", "Orders of an owner that were not carried out."},
		{"lagoon_orders_lost_total", "counter", "", "entry", "Orders to agents without an answer; they are repeated."},
		{"lagoon_owned_term", "gauge", "", "entry", "Term in which the entry owns the cell, or 0."},
		{"lagoon_owner_silent_seconds", "gauge", "", "both", "Time since the owner was heard; it grows without one, and is 0 at the owner."},
		{"lagoon_owner_untold_total", "counter", "step", "entry", "Calls of the owner that failed; it reads the rows instead."},
		{"lagoon_paces_total", "counter", "", "agent", "Runs that were slowed down or let go again."},
		{"lagoon_peer_bytes", "gauge", "way", "both", "Bytes that went over connections between processes."},
		{"lagoon_pings_lost_total", "counter", "", "entry", "Pings to other entries without an answer."},
		{"lagoon_ready_cores", "gauge", "", "entry", "Processors of the workers that may get new runs, as the owner."},
		{"lagoon_refusals_total", "counter", "reason", "entry", "Requests that certainly did not run."},
		{"lagoon_relayed_total", "counter", "step, code", "entry", "Calls of the store that another entry made; code is empty for success."},
		{"lagoon_reports_lost_total", "counter", "", "agent", "Reports to the owner without an answer."},
		{"lagoon_request_seconds", "histogram", "service", "entry", "Time of a caller's request."},
		{"lagoon_requests_open", "gauge", "", "entry", "Requests in progress."},
		{"lagoon_reserved_cores", "gauge", "", "entry", "What tasks reserve of them; tasks that fill reserve none."},
		{"lagoon_routing_total", "counter", "kind, reason", "entry", "Decisions on requests: sent, retried, hedged."},
		{"lagoon_runs_listed", "gauge", "", "agent", "Runs that the worker listed last."},
		{"lagoon_settings_age_seconds", "gauge", "", "entry", "Time since the configuration in force was taken in."},
		{"lagoon_settings_fetch_errors_total", "counter", "", "entry", "Configurations that another entry did not hand over."},
		{"lagoon_settings_refused_total", "counter", "", "entry", "Configurations that can't be read."},
		{"lagoon_settings_version", "gauge", "", "both", "Version of the configuration in force."},
		{"lagoon_start_seconds", "histogram", "", "entry", "Time from the acceptance of a job to its first confirmed start."},
		{"lagoon_starts_total", "counter", "code", "agent", "Starts that were ordered of the worker, by their fate."},
		{"lagoon_store_away_seconds", "gauge", "", "entry", "For how long the store has given this entry no answer, or 0."},
		{"lagoon_store_errors_total", "counter", "step", "both", "Calls of the platform's store that failed."},
		{"lagoon_takeover_seconds", "histogram", "", "entry", "Time from the claim of the cell to the first decision."},
		{"lagoon_takeovers_total", "counter", "cell or reason", "entry", "Times that the process took the cell over."},
		{"lagoon_task_decisions_total", "counter", "kind, reason", "entry", "Decisions of the owner on the stand-ins."},
		{"lagoon_tasks", "gauge", "state", "entry", "Tasks with a place, and tasks that wait for one, as the owner."},
		{"lagoon_worker_errors_total", "counter", "step", "agent", "Calls of the worker that failed."},
		{"lagoon_workers", "gauge", "state", "entry", "Workers by what the owner believes of them: ready, leaving, cut, suspect, silent."},
	}
}
