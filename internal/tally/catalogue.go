package tally

// Metric describes one metric that processes publish.
type Metric struct {
	Name string
	// Kind is counter, gauge or histogram.
	Kind string
	// Labels are the names of the labels, or empty.
	Labels string
	// By says which processes publish it: entry, agent or both.
	By string
	// Meaning describes the metric to operators in one sentence.
	Meaning string
}

// All returns every metric, sorted by name. A test checks that the list matches
// the names in the sources.
func All() []Metric {
	return []Metric{
		{"lagoon_accept_seconds", "histogram", "", "entry", "Time from reading a job to its row being stored."},
		{"lagoon_advice_errors_total", "counter", "", "entry", "Queries to the platform's advisor that failed."},
		{"lagoon_advice_seconds", "histogram", "", "entry", "Time from a question to the platform's advisor to its answer."},
		{"lagoon_agent_refusals_total", "counter", "reason", "agent", "Requests that an agent rejected; they certainly did not run."},
		{"lagoon_answers_total", "counter", "service, outcome", "entry", "Answers to requests of callers."},
		{"lagoon_commit_seconds", "histogram", "", "entry", "Time of one transaction of the owner, including its retries."},
		{"lagoon_decisions_total", "counter", "kind, reason", "entry", "Decisions of the owner on jobs with steps."},
		{"lagoon_early_cancels_refused_total", "counter", "", "entry", "Cancellations of unknown jobs that were refused, because the entry has stored as many as it may."},
		{"lagoon_early_cancels_total", "counter", "", "entry", "Cancellations of unknown jobs that were stored: a submission that is still under way is rejected."},
		{"lagoon_ends_unstored", "gauge", "", "agent", "Ended runs whose end the owner has not stored yet."},
		{"lagoon_entries_heard", "gauge", "", "entry", "Other entries that answered recently."},
		{"lagoon_fenced_total", "counter", "", "agent", "Calls that a worker rejected because it had been called by a newer owner."},
		{"lagoon_hints_dropped", "gauge", "", "entry", "Notifications of new or cancelled jobs that the owner dropped in this term because it was behind; it reads the jobs from the store instead."},
		{"lagoon_inflow_bytes", "gauge", "", "both", "Memory charged to requests that are being received or answered, on all HTTP addresses."},
		{"lagoon_inflow_connections", "gauge", "", "both", "Connections of all HTTP addresses."},
		{"lagoon_inflow_refusals_total", "counter", "reason", "both", "Connections that were refused or closed before they carried a whole request, or whose client did not read its answer."},
		{"lagoon_job_refusals_total", "counter", "reason", "entry", "Jobs that were rejected; they never run unless they are submitted again."},
		{"lagoon_job_seconds", "histogram", "", "entry", "Time from the acceptance of a job to its completion."},
		{"lagoon_jobs_accepted_total", "counter", "", "entry", "Jobs that were stored."},
		{"lagoon_jobs_active", "gauge", "", "entry", "Jobs that have not ended, at the owner; 0 at other entries."},
		{"lagoon_jobs_cancelled_total", "counter", "", "entry", "Cancellations of jobs that were stored."},
		{"lagoon_jobs_doubtful_total", "counter", "", "entry", "Submitted jobs whose outcome was unknown when the caller's time was over."},
		{"lagoon_known_term", "gauge", "", "both", "Term of the newest owner that the process knows of."},
		{"lagoon_lease_left_seconds", "gauge", "", "agent", "How long the worker may continue without a renewal of its lease."},
		{"lagoon_minion_errors_total", "counter", "", "agent", "Calls to a minion that failed."},
		{"lagoon_order_refusals_total", "counter", "reason", "agent", "Orders of an owner that were rejected."},
		{"lagoon_orders_lost_total", "counter", "", "entry", "Orders to agents that got no answer; they are sent again."},
		{"lagoon_other_incarnations_total", "counter", "", "agent", "Incarnations of the worker that answered under its ID before they had announced themselves."},
		{"lagoon_overload_backlog_core_seconds", "gauge", "", "entry", "Expected remaining work of all jobs that are not long-running, at the owner; 0 without fleet.overload."},
		{"lagoon_overload_decisions_total", "counter", "decision, priority", "entry", "Decisions of the owner to accept or reject a job with overload control, by the priority of its queue."},
		{"lagoon_overload_demand_cores", "gauge", "", "entry", "Work that jobs bring in a second at learned run times, averaged over some 10 s, at the owner; 0 without fleet.overload."},
		{"lagoon_overload_end_seconds", "histogram", "priority", "entry", "Predicted time to the end of each job about which overload control decided."},
		{"lagoon_owned_term", "gauge", "", "entry", "Term in which the entry owns the cell, or 0."},
		{"lagoon_owner_lag_seconds", "gauge", "", "entry", "How long the oldest event that the owner has not handled has waited; 0 at other entries."},
		{"lagoon_owner_silent_seconds", "gauge", "", "both", "Time since the last contact with the owner; it grows while there is none, and is 0 at the owner."},
		{"lagoon_owner_untold_total", "counter", "step", "entry", "Failed calls to the owner about a new job or a cancellation; the owner reads the stored rows instead."},
		{"lagoon_paces_total", "counter", "", "agent", "Orders to throttle a run or to lift its throttling."},
		{"lagoon_panics_total", "counter", "step", "both", "Messages whose handling panicked; only that call failed."},
		{"lagoon_peer_bytes", "gauge", "way", "both", "Bytes sent or received on connections between processes."},
		{"lagoon_peer_refused", "gauge", "", "both", "Connections between processes that this one closed, because there were too many or because they held or announced too much."},
		{"lagoon_pings_lost_total", "counter", "", "entry", "Pings to other entries that got no answer."},
		{"lagoon_ready_cores", "gauge", "", "entry", "CPU cores of the workers that may get new runs, at the owner."},
		{"lagoon_refusals_total", "counter", "reason", "entry", "Requests that certainly did not run."},
		{"lagoon_relayed_total", "counter", "step, code", "entry", "Calls to the store that were made through another entry; code is empty for success."},
		{"lagoon_reports_lost_total", "counter", "", "agent", "Reports to the owner that got no answer."},
		{"lagoon_request_seconds", "histogram", "service", "entry", "Time of a caller's request."},
		{"lagoon_requests_open", "gauge", "", "entry", "Requests in progress."},
		{"lagoon_reserved_cores", "gauge", "", "entry", "CPU cores of lagoon_ready_cores that tasks reserve; best-effort tasks reserve none."},
		{"lagoon_routing_total", "counter", "kind, reason", "entry", "Decisions on requests: sent, retried, hedged."},
		{"lagoon_rows_skipped_total", "counter", "step", "entry", "Rows of the store that could not be used and were left out."},
		{"lagoon_runs_listed", "gauge", "", "agent", "Runs in the last list of the worker."},
		{"lagoon_settings_age_seconds", "gauge", "", "entry", "Time since the configuration in force was applied."},
		{"lagoon_settings_fetch_errors_total", "counter", "", "entry", "Failed fetches of a configuration from another entry."},
		{"lagoon_settings_refused_total", "counter", "", "entry", "Configurations that could not be read."},
		{"lagoon_settings_version", "gauge", "", "both", "Version of the configuration in force."},
		{"lagoon_start_seconds", "histogram", "", "entry", "Time from the acceptance of a job to its first confirmed start."},
		{"lagoon_starts_total", "counter", "code", "agent", "Starts that were ordered of the worker, by outcome."},
		{"lagoon_store_away_seconds", "gauge", "", "entry", "How long the store has been unavailable to this entry, or 0."},
		{"lagoon_store_errors_total", "counter", "step", "both", "Calls to the platform's store that failed."},
		{"lagoon_takeover_seconds", "histogram", "", "entry", "Time from the claim of the cell to the first decision."},
		{"lagoon_takeovers_in_row", "gauge", "", "entry", "Takeovers of the cell that followed one another within 10 s each; with the second one, the time after which an owner counts as lost grows."},
		{"lagoon_takeovers_total", "counter", "cell or reason", "entry", "Takeovers of the cell by this process."},
		{"lagoon_task_decisions_total", "counter", "kind, reason", "entry", "Decisions of the owner when the system runs on the stand-in platform."},
		{"lagoon_tasks", "gauge", "state", "entry", "Tasks that are placed on a worker and tasks that wait for placement, at the owner."},
		{"lagoon_tasks_held", "gauge", "reason", "entry", "Tasks that wait for over a second although a worker has the capacity, by reason, among the first ones in the order of scheduling: label (no worker has it), advice (the advisor has not answered), refused (the advisor allows no such worker), moving, avoided (moved off the only worker), suspect (only suspect workers), spread (tasks of a step have to be apart), headroom (latency-critical tasks would suffer), gang (not all members fit), zone (only workers of evacuated zones have the capacity)."},
		{"lagoon_worker_errors_total", "counter", "step", "agent", "Calls to the worker that failed."},
		{"lagoon_worker_share", "gauge", "of", "entry", "Least and median share of the CPU time expected for them that best-effort runs of a worker get, as estimated by the owner; 0 unless fleet.uneven is set."},
		{"lagoon_worker_speed", "gauge", "of", "entry", "Speed of the slowest, median and fastest worker relative to what the run times of the queues say, as estimated by the owner; 0 unless fleet.uneven is set."},
		{"lagoon_worker_speed_age_seconds", "gauge", "", "entry", "Median time since the newest evidence about the speed of a worker, at most 90; 0 unless fleet.uneven is set."},
		{"lagoon_workers", "gauge", "state", "entry", "Workers by their state at the owner: ready, leaving (draining), cut (the agent can't reach the worker), suspect (runs fail or stall), silent (the agent is unresponsive), evacuated (only with fleet.evacuation)."},
		{"lagoon_zones_evacuated", "gauge", "", "entry", "Zones that the operator has evacuated, as far as the entry knows; only with fleet.evacuation."},
	}
}
