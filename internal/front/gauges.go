package front

import (
	"time"

	"lagoonrack/internal/sched"
)

// gauges publishes what this entry believes: of the owner, the configuration, the
// store and the other entries, and as the owner of workers and tasks.
func (f *Front) gauges() {
	f.Tally.Gauge(func() float64 { return float64(f.open.Load()) }, "lagoon_requests_open")
	f.Tally.Gauge(f.configVersion, "lagoon_settings_version")
	f.Tally.Gauge(func() float64 { return f.age(f.applied.Load()) }, "lagoon_settings_age_seconds")
	f.Tally.Gauge(func() float64 { return f.age(f.since.Load()) }, "lagoon_store_away_seconds")
	f.Tally.Gauge(func() float64 { return float64(len(f.alive())) }, "lagoon_entries_heard")
	f.Tally.Gauge(func() float64 { return float64(f.leader.Status().OwnedTerm) }, "lagoon_owned_term")
	f.Tally.Gauge(func() float64 { return float64(f.leader.Status().Term) }, "lagoon_known_term")
	f.Tally.Gauge(func() float64 { return f.leader.Status().SinceContact.Seconds() }, "lagoon_owner_silent_seconds")
	f.ownerGauges()
}

// ownerGauges publishes what the owner believes. All are 0 at other entries.
func (f *Front) ownerGauges() {
	each := func(read func(sched.Census) float64, name string, labels ...string) {
		f.Tally.Gauge(func() float64 { return read(f.leader.Census()) }, name, labels...)
	}
	each(func(c sched.Census) float64 { return float64(c.Ready) }, "lagoon_workers", "state", "ready")
	each(func(c sched.Census) float64 { return float64(c.Leaving) }, "lagoon_workers", "state", "leaving")
	each(func(c sched.Census) float64 { return float64(c.Cut) }, "lagoon_workers", "state", "cut")
	each(func(c sched.Census) float64 { return float64(c.Suspect) }, "lagoon_workers", "state", "suspect")
	each(func(c sched.Census) float64 { return float64(c.Silent) }, "lagoon_workers", "state", "silent")
	each(func(c sched.Census) float64 { return float64(c.Size) / milli }, "lagoon_ready_cores")
	each(func(c sched.Census) float64 { return float64(c.Reserved) / milli }, "lagoon_reserved_cores")
	each(func(c sched.Census) float64 { return float64(c.Placed) }, "lagoon_tasks", "state", "placed")
	each(func(c sched.Census) float64 { return float64(c.Waiting) }, "lagoon_tasks", "state", "waiting")
	each(func(c sched.Census) float64 { return float64(c.Jobs) }, "lagoon_jobs_active")
}

// milli is the number of thousandths of a core in a core.
const milli = 1000

func (f *Front) configVersion() float64 {
	if c := f.config.Load(); c != nil {
		return float64(c.Version)
	}
	return 0
}

// age returns how long ago a time of the clock in nanoseconds was, in seconds, or 0
// for none.
func (f *Front) age(at int64) float64 {
	if at == 0 {
		return 0
	}
	return (f.Clock.Now() - time.Duration(at)).Seconds()
}
