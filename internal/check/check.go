// Package check verifies invariants in tests, load tests and simulations: a request
// that is not idempotent starts at most once, a task runs on one worker at a time, no
// worker is overcommitted, and so on. A Check records events and lists the violations.
// The events of a request may be recorded in any order.
package check

import (
	"fmt"
	"sort"
	"sync"

	"lagoonrack/internal/vect"
	"lagoonrack/internal/wire"
)

// Check records events of requests, tasks and workers. The zero value is ready for
// use, and all methods are safe for concurrent use.
type Check struct {
	mu       sync.Mutex
	requests map[string]*request
	tasks    map[string]*task
	failures []string
	// Counts of the recorded events, for Summary.
	starts, answers, runs, commits int
}

// request is the recorded state of a request.
type request struct {
	// idempotent is known only if sent is true, which means that RequestSent was
	// called.
	idempotent bool
	sent       bool
	// starts counts how often a minion started the request.
	starts int
	// notRun means that a caller received the outcome wire.NotRun.
	notRun bool
}

// task is the recorded state of a task.
type task struct {
	// running holds the running attempt on each worker, by worker name.
	running map[string]int
	// attempt is the highest attempt that has started.
	attempt int
	// endsCounted is how often the scheduler counted the task as ended.
	endsCounted int
}

// fail records a violation. It must be called with the mutex held.
func (c *Check) fail(format string, args ...any) {
	c.failures = append(c.failures, fmt.Sprintf(format, args...))
}

// request returns the record of a request, which it creates if needed. It must be
// called with the mutex held.
func (c *Check) request(id string) *request {
	if c.requests == nil {
		c.requests = map[string]*request{}
	}
	r := c.requests[id]
	if r == nil {
		r = &request{}
		c.requests[id] = r
	}
	return r
}

// RequestSent records that a caller sent a request, and whether it is idempotent.
func (c *Check) RequestSent(id string, idempotent bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.request(id)
	r.sent, r.idempotent = true, idempotent
	c.checkRequest(id, r)
}

// RequestStarted records that a minion started a request.
func (c *Check) RequestStarted(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.starts++
	r := c.request(id)
	r.starts++
	c.checkRequest(id, r)
}

// RequestAnswered records the outcome that a caller received. own says whether the
// response body is complete and belongs to this request.
func (c *Check) RequestAnswered(id string, o wire.Outcome, own bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answers++
	r := c.request(id)
	r.notRun = r.notRun || o == wire.NotRun
	if o == wire.Ran && !own {
		c.fail("request %s: the response is incomplete or belongs to another request", id)
	}
	c.checkRequest(id, r)
}

// checkRequest checks that a request that was reported as not run has not started,
// and that one that is not idempotent started at most once.
func (c *Check) checkRequest(id string, r *request) {
	if r.notRun && r.starts > 0 {
		c.fail("request %s: reported as not-run, but started %d times", id, r.starts)
	}
	if r.sent && !r.idempotent && r.starts > 1 {
		c.fail("request %s: not idempotent, but started %d times", id, r.starts)
	}
}

// task returns the record of a task, which it creates if needed. It must be called
// with the mutex held.
func (c *Check) task(id string) *task {
	if c.tasks == nil {
		c.tasks = map[string]*task{}
	}
	t := c.tasks[id]
	if t == nil {
		t = &task{running: map[string]int{}}
		c.tasks[id] = t
	}
	return t
}

// TaskRunning records that an attempt of a task started or stopped running on a
// worker. It checks that attempts start in ascending order and that a task runs on
// one worker at a time.
func (c *Check) TaskRunning(worker, id string, attempt int, on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.task(id)
	if !on {
		delete(t.running, worker)
		return
	}
	c.runs++
	if attempt <= t.attempt {
		c.fail("task %s: attempt %d started after attempt %d", id, attempt, t.attempt)
	}
	t.attempt = max(t.attempt, attempt)
	t.running[worker] = attempt
	if len(t.running) > 1 {
		c.fail("task %s: runs on %d workers at the same time", id, len(t.running))
	}
}

// TaskEnded records that the scheduler counted a task as ended. It checks that this
// happens at most once for each task.
func (c *Check) TaskEnded(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.task(id)
	t.endsCounted++
	if t.endsCounted > 1 {
		c.fail("task %s: its end was counted %d times", id, t.endsCounted)
	}
}

// WorkerCommitted records the resources committed to tasks on a worker. It checks
// that they fit into the worker's size and are not negative.
func (c *Check) WorkerCommitted(worker string, committed, size vect.Size) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.commits++
	if !committed.Fits(size) {
		c.fail("worker %s: overcommitted: %s of %s", worker, committed, size)
	}
	if committed.Negative() {
		c.fail("worker %s: the committed amount is negative: %s", worker, committed)
	}
}

// Failures returns the violations, sorted by their text.
func (c *Check) Failures() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := append([]string(nil), c.failures...)
	sort.Strings(out)
	return out
}

// Summary returns the numbers of recorded events, as text.
func (c *Check) Summary() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return fmt.Sprintf("%d request starts, %d answers, %d task starts, %d commitments", c.starts, c.answers, c.runs, c.commits)
}
