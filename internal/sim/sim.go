// Package sim provides an event loop in virtual time for simulations. All events run
// in one goroutine, so that a simulation with the same seed always takes the same
// course.
package sim

import (
	"container/heap"
	"time"
)

// Loop holds the virtual time and the pending events. The zero value is empty and
// starts at time 0.
type Loop struct {
	now   time.Duration
	seq   uint64
	queue queue
}

// event is a function that runs at a virtual time. Events with the same time run in
// the order of seq.
type event struct {
	at  time.Duration
	seq uint64
	run func()
}

// queue is a heap of events; the next one to run is the first element.
type queue []event

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].seq < q[j].seq
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *queue) Pop() any {
	old := *q
	x := old[len(old)-1]
	old[len(old)-1] = event{}
	*q = old[:len(old)-1]
	return x
}

// Now returns the current virtual time.
func (l *Loop) Now() time.Duration { return l.now }

// At schedules do for the given time, or for the current time if that has passed.
// Events scheduled for the same time run in the order in which they were added.
func (l *Loop) At(at time.Duration, do func()) {
	l.seq++
	heap.Push(&l.queue, event{max(at, l.now), l.seq, do})
}

// After schedules do for the time d from now.
func (l *Loop) After(d time.Duration, do func()) { l.At(l.now+d, do) }

// Every schedules do at intervals of d, first after d, until it returns false.
func (l *Loop) Every(d time.Duration, do func() bool) {
	l.After(d, func() {
		if do() {
			l.Every(d, do)
		}
	})
}

// Run runs the events up to and including the given time, and sets the current time
// to the given time unless the current time is already later.
func (l *Loop) Run(until time.Duration) {
	for len(l.queue) > 0 && l.queue[0].at <= until {
		l.Step()
	}
	l.now = max(l.now, until)
}

// Step runs the next event and reports whether there was one.
func (l *Loop) Step() bool {
	if len(l.queue) == 0 {
		return false
	}
	e := heap.Pop(&l.queue).(event)
	l.now = max(l.now, e.at)
	e.run()
	return true
}
