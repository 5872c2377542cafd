// Package check holds the invariant checks that tests, the load tool and the
// first-run program share. A check is told what happened, in any order, and
// lists what broke a promise.
package check

import (
	"fmt"
	"sort"
	"sync"

	"lagoonrack/internal/vect"
	"lagoonrack/internal/wire"
)

// Check follows requests, tasks and workers. The zero value works, and all its
// methods may be called from any goroutine.
type Check struct {
	mu       sync.Mutex
	requests map[string]*request
	tasks    map[string]*task
	bad      []string
	// Counts by what was checked, for reports.
	starts, answers, runs, commits int
}

type request struct {
	idempotent bool
	known      bool
	starts     int
	notRun     bool
}

type task struct {
	// running holds the attempts in progress by worker.
	running map[string]int
	attempt int
	done    int
}

func (c *Check) fail(format string, args ...any) {
	c.bad = append(c.bad, fmt.Sprintf(format, args...))
}

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

// Asked notes whether a request is idempotent.
func (c *Check) Asked(id string, idempotent bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.request(id)
	r.known, r.idempotent = true, idempotent
	c.judge(id, r)
}

// Started notes that a minion started a request.
func (c *Check) Started(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.starts++
	r := c.request(id)
	r.starts++
	c.judge(id, r)
}

// Answered notes the outcome that a caller was told, and whether the body was
// whole and its own.
func (c *Check) Answered(id string, o wire.Outcome, own bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answers++
	r := c.request(id)
	r.notRun = r.notRun || o == wire.NotRun
	if o == wire.Ran && !own {
		c.fail("request %s: the answer is not its own or not whole", id)
	}
	c.judge(id, r)
}

func (c *Check) judge(id string, r *request) {
	if r.notRun && r.starts > 0 {
		c.fail("request %s: answered not-run, but %d starts", id, r.starts)
	}
	if r.known && !r.idempotent && r.starts > 1 {
		c.fail("request %s: not idempotent, but %d starts", id, r.starts)
	}
}

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

// Running notes that an attempt of a task began or ceased to run on a worker.
func (c *Check) Running(worker, id string, attempt int, on bool) {
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
		c.fail("task %s: runs in %d places", id, len(t.running))
	}
}

// Ended notes that the end of a task was counted.
func (c *Check) Ended(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.task(id)
	t.done++
	if t.done > 1 {
		c.fail("task %s: its end was counted %d times", id, t.done)
	}
}

// Committed notes what is committed on a worker.
func (c *Check) Committed(worker string, committed, size vect.Size) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.commits++
	if !committed.Fits(size) {
		c.fail("worker %s: committed %s of %s", worker, committed, size)
	}
	if committed.Negative() {
		c.fail("worker %s: committed less than nothing, %s", worker, committed)
	}
}

// Failures lists what broke a promise.
func (c *Check) Failures() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := append([]string(nil), c.bad...)
	sort.Strings(out)
	return out
}

// Summary says how much was checked.
func (c *Check) Summary() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return fmt.Sprintf("%d request starts, %d answers, %d task starts, %d commitments", c.starts, c.answers, c.runs, c.commits)
}
