// Package advice decides when to ask an advisor which workers may run a step, and which of its
// answers hold.
//
// An advisor handles the questions of one machine one after the other, and a question that its
// sender has given up takes its turn all the same. If questions are repeated while they are
// open, or given up sooner than the advisor can answer, the work of the advisor grows with its
// delay until no answer arrives in time. Therefore few questions are open at a time and none
// twice, the others wait here, where the more urgent ones can pass, and the time limit of a
// question follows from how long the advisor says that it takes, and from how long it took. An
// answer shows that those to earlier questions are lost.
//
// A Book does no I/O and reads no clock. Whoever calls Ask reports the outcome of each question
// that it returns exactly once, by Answer or Fail.
package advice

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// Book holds what an advisor has answered and what it is being asked. The zero value is ready
// to use.
type Book struct {
	steps map[string]*step
	// open holds the questions without an outcome, except for those whose answers are
	// lost, in the order in which they were asked. number is that of the newest question.
	open   []Question
	number int
	// idleAt is when the advisor should have handled all that it was asked.
	idleAt time.Duration
	// patience is the number of times that the limit of a question is doubled, since the
	// advisor takes longer than it says.
	patience int
	// failures counts the questions that have failed since the last answer, and pauseUntil
	// is when the next one may be asked.
	failures   int
	pauseUntil time.Duration
}

// step is what is known of one step.
type step struct {
	tickets map[string]ticket
	// refused holds the workers that may not run the step.
	refused map[string]bool
	// askAgainAt is when the next question may be asked.
	askAgainAt time.Duration
}

// ticket is a permission to run the tasks of a step on a worker.
type ticket struct {
	text       string
	validUntil time.Duration
}

// Pace is how long an advisor says that it takes: a time for each question and one for each
// worker that the question names.
type Pace struct{ Question, Worker time.Duration }

// Question asks which of the workers may run a step.
type Question struct {
	Step    string
	Workers []string
	// Limit is how long to wait for the answer.
	Limit   time.Duration
	number  int
	askedAt time.Duration
}

const (
	// maxOpen keeps the advisor busy while an answer is on its way back.
	maxOpen = 2
	// maxWorkers is the maximum number of workers in one question.
	maxWorkers = 30
	// askInterval is the minimum time between two questions about a step.
	askInterval = 800 * time.Millisecond
	// limitFactor and minLimit determine the time limit of a question from how long the
	// advisor says that it takes. An answer that has not arrived by then is probably lost.
	limitFactor = 2
	minLimit    = time.Second
	// maxPatience bounds the doublings of the limit.
	maxPatience = 6
	// firstPause is the wait after a failed question. It doubles with each further
	// failure, up to maxPause.
	firstPause = 100 * time.Millisecond
	maxPause   = askInterval
	// maxMargin is how long before its expiry a ticket is no longer used, but at most half
	// of its validity: a start takes some time until it reaches the worker.
	maxMargin = 300 * time.Millisecond
)

// Ask returns a question about those of the workers of which it isn't known whether they may
// run a step, or won't be for long. It returns false if nothing is to be asked now. The caller
// asks for the most urgent steps first.
func (b *Book) Ask(now time.Duration, name string, workers []string, p Pace) (Question, bool) {
	if !b.MayAsk(now, name) {
		return Question{}, false
	}
	s := b.of(name)
	q := Question{Step: name, askedAt: now}
	var renewed []string
	for _, w := range workers {
		if s.refused[w] {
			continue
		}
		if _, ok := s.ticket(w, now); !ok {
			q.Workers = append(q.Workers, w)
		} else if _, ok := s.ticket(w, now+askInterval); !ok {
			renewed = append(renewed, w)
		}
	}
	if len(q.Workers) == 0 {
		return Question{}, false
	}
	// A step may need several workers at a time, so their tickets have to overlap.
	q.Workers = append(q.Workers, renewed...)
	q.Workers = q.Workers[:min(maxWorkers, len(q.Workers))]
	b.idleAt = max(b.idleAt, now) + p.Question + time.Duration(len(q.Workers))*p.Worker
	q.Limit = (minLimit + limitFactor*(b.idleAt-now)) << b.patience
	b.number++
	q.number = b.number
	b.open = append(b.open, q)
	s.askAgainAt = now + askInterval
	return q, true
}

// MayAsk reports whether a question about a step may be asked now.
func (b *Book) MayAsk(now time.Duration, name string) bool {
	if len(b.open) >= maxOpen || now < b.pauseUntil || b.isOpen(name) {
		return false
	}
	s := b.steps[name]
	return s == nil || now >= s.askAgainAt
}

// isOpen reports whether a question about a step is open.
func (b *Book) isOpen(name string) bool {
	return slices.ContainsFunc(b.open, func(q Question) bool { return q.Step == name })
}

// of returns what is known of a step.
func (b *Book) of(name string) *step {
	s := b.steps[name]
	if s == nil {
		if b.steps == nil {
			b.steps = map[string]*step{}
		}
		s = &step{tickets: map[string]ticket{}, refused: map[string]bool{}}
		b.steps[name] = s
	}
	return s
}

// Answer records the answer to a question: the tickets of the workers that may run the step,
// and how long they are valid.
func (b *Book) Answer(now time.Duration, q Question, tickets map[string]string, valid time.Duration) {
	b.failures = 0
	i := slices.IndexFunc(b.open, func(x Question) bool { return x.number == q.number })
	workers := q.Workers
	if i >= 0 {
		workers = b.open[i].Workers
	}
	b.open = slices.DeleteFunc(b.open, func(x Question) bool { return x.number <= q.number })
	if len(b.open) == 0 {
		b.idleAt = now
	}
	if b.patience > 0 && now-q.askedAt < q.Limit/4 {
		b.patience--
	}
	s := b.steps[q.Step]
	if s == nil {
		return
	}
	until := now + valid - min(maxMargin, valid/2)
	for _, w := range workers {
		if text := tickets[w]; text != "" {
			s.tickets[w] = ticket{text, until}
		} else if i >= 0 {
			// A late answer may be about a worker whose ID another one has now. That
			// worker would reject a ticket.
			s.refused[w] = true
		}
	}
}

// Fail records that a question was given up or got no usable answer.
func (b *Book) Fail(now time.Duration, q Question) {
	n := len(b.open)
	b.open = slices.DeleteFunc(b.open, func(x Question) bool { return x.number == q.number })
	if len(b.open) == n {
		// A later question was answered since.
		return
	}
	if now-q.askedAt >= q.Limit {
		// It may be handled later, and there may only be no answer yet.
		b.patience = min(maxPatience, b.patience+1)
	}
	b.pauseUntil = now + min(maxPause, firstPause<<min(b.failures, maxPatience))
	b.failures++
}

// Ticket returns the valid ticket of a step for a worker, if there is one.
func (b *Book) Ticket(now time.Duration, name, worker string) (string, bool) {
	s := b.steps[name]
	if s == nil {
		return "", false
	}
	return s.ticket(worker, now)
}

func (s *step) ticket(worker string, now time.Duration) (string, bool) {
	t, ok := s.tickets[worker]
	return t.text, ok && now < t.validUntil
}

// Refused reports whether the advisor has said that a worker may not run a step.
func (b *Book) Refused(name, worker string) bool {
	s := b.steps[name]
	return s != nil && s.refused[worker]
}

// DropTicket forgets a ticket that a worker has rejected.
func (b *Book) DropTicket(name, worker string) {
	if s := b.steps[name]; s != nil {
		delete(s.tickets, worker)
	}
}

// DropWorker forgets what is known of a worker: another one has its ID now.
func (b *Book) DropWorker(worker string) {
	for _, s := range b.steps {
		delete(s.tickets, worker)
		delete(s.refused, worker)
	}
	for i, q := range b.open {
		b.open[i].Workers = slices.DeleteFunc(slices.Clone(q.Workers), func(w string) bool { return w == worker })
	}
}

// DropJob forgets the steps of a job.
func (b *Book) DropJob(job string) {
	maps.DeleteFunc(b.steps, func(name string, _ *step) bool { return strings.HasPrefix(name, job+".") })
}
