// Package sim is a clock and a queue of events in virtual time. It runs cores
// and small fakes in one goroutine, so that a seed reproduces a run exactly.
package sim

import (
	"container/heap"
	"time"
)

// Loop holds events that are still to come. Its zero value starts at time zero.
type Loop struct {
	now   time.Duration
	seq   uint64
	queue queue
}

type event struct {
	at  time.Duration
	seq uint64
	do  func()
}

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

// Now returns the present virtual time.
func (l *Loop) Now() time.Duration { return l.now }

// At runs do at the given time, or at once if that has passed. Events of the
// same time run in the order in which they were added.
func (l *Loop) At(at time.Duration, do func()) {
	l.seq++
	heap.Push(&l.queue, event{max(at, l.now), l.seq, do})
}

// After runs do when d has passed.
func (l *Loop) After(d time.Duration, do func()) { l.At(l.now+d, do) }

// Every runs do each d, first after d, until it returns false.
func (l *Loop) Every(d time.Duration, do func() bool) {
	l.After(d, func() {
		if do() {
			l.Every(d, do)
		}
	})
}

// Run runs events until the given time, which is then the present one.
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
	e.do()
	return true
}
