package front

import (
	"time"

	"lagoonrack/internal/sched"
)

// registerGauges registers the metrics of this entry's state: the requests, the
// configuration, the store, the other entries and the owner, and those of
// registerOwnerGauges.
func (f *Front) registerGauges() {
	f.Tally.Gauge(func() float64 { return float64(f.openRequests.Load()) }, "lagoon_requests_open")
	f.Tally.Gauge(func() float64 { return float64(f.server.Refused()) }, "lagoon_peer_refused")
	f.Tally.Gauge(f.configVersion, "lagoon_settings_version")
	f.Tally.Gauge(func() float64 { return f.secondsSince(f.appliedAt.Load()) }, "lagoon_settings_age_seconds")
	f.Tally.Gauge(func() float64 { return f.secondsSince(f.storeDownSince.Load()) }, "lagoon_store_away_seconds")
	f.Tally.Gauge(func() float64 { return float64(len(f.alivePeers())) }, "lagoon_entries_heard")
	f.Tally.Gauge(func() float64 { return float64(f.leader.Status().OwnedTerm) }, "lagoon_owned_term")
	f.Tally.Gauge(func() float64 { return float64(f.leader.Status().Term) }, "lagoon_known_term")
	f.Tally.Gauge(func() float64 { return f.leader.Status().SinceContact.Seconds() }, "lagoon_owner_silent_seconds")
	f.Tally.Gauge(func() float64 { return f.leader.Status().Lag.Seconds() }, "lagoon_owner_lag_seconds")
	f.Tally.Gauge(func() float64 { return float64(f.leader.Status().Takeovers) }, "lagoon_takeovers_in_row")
	f.Tally.Gauge(func() float64 { return float64(f.leader.HintsDropped()) }, "lagoon_hints_dropped")
	if f.followsZones() {
		f.Tally.Gauge(f.zonesCount, "lagoon_zones_evacuated")
		f.Tally.Gauge(func() float64 { return float64(f.leader.Census().Evacuated) }, "lagoon_workers", "state", "evacuated")
	}
	f.registerOwnerGauges()
}

// registerOwnerGauges registers the metrics of the owner's workers, tasks and jobs.
// All are 0 at other entries.
func (f *Front) registerOwnerGauges() {
	each := func(read func(sched.Census) float64, name string, labels ...string) {
		f.Tally.Gauge(func() float64 { return read(f.leader.Census()) }, name, labels...)
	}
	each(func(c sched.Census) float64 { return float64(c.Ready) }, "lagoon_workers", "state", "ready")
	each(func(c sched.Census) float64 { return float64(c.Draining) }, "lagoon_workers", "state", "leaving")
	each(func(c sched.Census) float64 { return float64(c.WorkersUnresponsive) }, "lagoon_workers", "state", "cut")
	each(func(c sched.Census) float64 { return float64(c.Suspect) }, "lagoon_workers", "state", "suspect")
	each(func(c sched.Census) float64 { return float64(c.AgentsUnresponsive) }, "lagoon_workers", "state", "silent")
	each(func(c sched.Census) float64 { return float64(c.Size) / milliPerCore }, "lagoon_ready_cores")
	each(func(c sched.Census) float64 { return float64(c.Reserved) / milliPerCore }, "lagoon_reserved_cores")
	each(func(c sched.Census) float64 { return float64(c.Placed) }, "lagoon_tasks", "state", "placed")
	each(func(c sched.Census) float64 { return float64(c.Waiting) }, "lagoon_tasks", "state", "waiting")
	each(func(c sched.Census) float64 { return float64(c.Jobs) }, "lagoon_jobs_active")
	each(func(c sched.Census) float64 { return c.Backlog }, "lagoon_overload_backlog_core_seconds")
	each(func(c sched.Census) float64 { return c.Demand }, "lagoon_overload_demand_cores")
	each(func(c sched.Census) float64 { return c.Slowest }, "lagoon_worker_speed", "of", "slowest")
	each(func(c sched.Census) float64 { return c.Median }, "lagoon_worker_speed", "of", "median")
	each(func(c sched.Census) float64 { return c.Fastest }, "lagoon_worker_speed", "of", "fastest")
	each(func(c sched.Census) float64 { return c.LeastShare }, "lagoon_worker_share", "of", "least")
	each(func(c sched.Census) float64 { return c.MedianShare }, "lagoon_worker_share", "of", "median")
	each(func(c sched.Census) float64 { return c.MedianAge.Seconds() }, "lagoon_worker_speed_age_seconds")
	for _, r := range sched.HeldReasons() {
		each(func(c sched.Census) float64 { return float64(c.Held[r]) }, "lagoon_tasks_held", "reason", r)
	}
}

// milliPerCore converts thousandths of a core to cores.
const milliPerCore = 1000

func (f *Front) configVersion() float64 {
	if c := f.config.Load(); c != nil {
		return float64(c.Version)
	}
	return 0
}

// secondsSince returns the seconds since a time of the clock in nanoseconds, or 0 if
// the time is 0.
func (f *Front) secondsSince(at int64) float64 {
	if at == 0 {
		return 0
	}
	return (f.Clock.Now() - time.Duration(at)).Seconds()
}
