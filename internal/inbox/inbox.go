// Package inbox queues the events of a cell's owner between the network and the
// scheduler's core. It does no I/O and reads no clock.
//
// Model. Events arrive one by one, and the core takes all that wait as one batch, so
// that a scheduling pass costs once for the batch. The queue is bounded while the core
// is behind: an agent has at most one report in the queue, the newest; there is at most
// one tick; and hints of new or cancelled jobs beyond a limit are dropped, since they are
// in the store and are read from its feed, whose reader waits for room. Outcomes of
// orders, of commits and of questions to the advisor are never dropped; there are at most
// as many as are in progress.
//
// In a batch, what frees capacity or prolongs leases comes before what asks for more.
package inbox

import (
	"time"

	"lagoonrack/internal/sched"
)

// Inbox is the queue of one term. The zero value is empty.
type Inbox struct {
	// classes holds the waiting events by class, each in the order of arrival.
	classes [classes][]item
	// reports holds, by agent, the position of the report that waits.
	reports map[string]int
	ticking bool
	// dropped counts the hints that were dropped.
	dropped int
}

// item is an event with its time of arrival.
type item struct {
	event sched.Event
	at    time.Duration
}

// The classes of events in the order in which a batch holds them.
const (
	classOutcome = iota
	classReport
	classTick
	classDemand
	classes
)

const (
	// maxHints bounds the hints of jobs in the queue: several seconds of arrivals of a
	// large site.
	maxHints = 1000
)

// MaxDemand is the largest useful number of hints in one batch.
const MaxDemand = 40

// classOf returns the class of an event.
func classOf(e sched.Event) int {
	switch e.(type) {
	case sched.Report:
		return classReport
	case sched.Tick:
		return classTick
	case sched.Submit, sched.RejectedJob:
		return classDemand
	}
	return classOutcome
}

// Add adds an event. If it replaces an older report of the same agent, it returns the
// token of that report and true: the agent has given that report up.
func (b *Inbox) Add(now time.Duration, e sched.Event) (replaced uint64, ok bool) {
	class := classOf(e)
	switch e := e.(type) {
	case sched.Report:
		return b.addReport(now, e)
	case sched.Tick:
		if b.ticking {
			return 0, false
		}
		b.ticking = true
	case sched.Submit, sched.Cancel:
		if b.Full(e) {
			b.dropped++
			return 0, false
		}
	}
	b.classes[class] = append(b.classes[class], item{e, now})
	return 0, false
}

// Full reports whether there is no room for a hint of a job. Who reads the hints from the
// store, and does not read them again, has to wait then.
func (b *Inbox) Full(e sched.Event) bool { return len(b.classes[classOf(e)]) >= maxHints }

// addReport adds a report, in place of an older one of the same agent.
func (b *Inbox) addReport(now time.Duration, r sched.Report) (replaced uint64, ok bool) {
	waiting := b.classes[classReport]
	if i, found := b.reports[r.Agent]; found {
		older := waiting[i].event.(sched.Report)
		waiting[i].event = r
		return older.Token, true
	}
	if b.reports == nil {
		b.reports = map[string]int{}
	}
	b.reports[r.Agent] = len(waiting)
	b.classes[classReport] = append(waiting, item{r, now})
	return 0, false
}

// Take removes and returns the next batch, or nil if nothing waits. The batch has at most
// maxDemand hints, so that outcomes and reports that arrive meanwhile do not wait long
// for the next one.
func (b *Inbox) Take(maxDemand int) []sched.Event {
	var out []sched.Event
	for class, waiting := range b.classes {
		n := len(waiting)
		if class == classDemand {
			n = min(n, maxDemand)
		}
		for _, x := range waiting[:n] {
			out = append(out, x.event)
		}
		rest := copy(waiting, waiting[n:])
		clear(waiting[rest:])
		b.classes[class] = waiting[:rest]
	}
	clear(b.reports)
	b.ticking = false
	return out
}

// Submitted counts the waiting hints of new jobs by queue.
func (b *Inbox) Submitted() map[string]int {
	out := map[string]int{}
	for _, x := range b.classes[classDemand] {
		if s, ok := x.event.(sched.Submit); ok {
			out[s.Job.Queue]++
		}
	}
	return out
}

// Len returns the number of waiting events.
func (b *Inbox) Len() int {
	n := 0
	for _, waiting := range b.classes {
		n += len(waiting)
	}
	return n
}

// Lag returns for how long the oldest waiting event has waited.
func (b *Inbox) Lag(now time.Duration) time.Duration {
	var lag time.Duration
	for _, waiting := range b.classes {
		if len(waiting) > 0 {
			lag = max(lag, now-waiting[0].at)
		}
	}
	return lag
}

// Dropped returns the number of hints that were dropped.
func (b *Inbox) Dropped() int { return b.dropped }
