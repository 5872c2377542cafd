// Package trail remembers what was decided about recent requests, so that an
// operator can ask why a request ended as it did.
package trail

import (
	"sync"
	"time"
)

// Trail is a bounded memory of requests. The zero value works.
type Trail struct {
	mu    sync.Mutex
	steps map[string][]Step
	order []string
}

// Step is one thing that happened to a request.
type Step struct {
	// At is the time since the process started.
	At time.Duration `json:"at"`
	// What is one word, such as sent, retry, hedge, kill or ran.
	What   string `json:"what"`
	Reason string `json:"reason,omitempty"`
	Agent  string `json:"agent,omitempty"`
}

// keep is the number of requests that are remembered.
const keep = 4096

// Add notes a step of a request.
func (t *Trail) Add(id string, s Step) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.steps == nil {
		t.steps = map[string][]Step{}
	}
	if _, ok := t.steps[id]; !ok {
		t.order = append(t.order, id)
		if len(t.order) > keep {
			delete(t.steps, t.order[0])
			t.order = t.order[1:]
		}
	}
	t.steps[id] = append(t.steps[id], s)
}

// Steps returns what is remembered of a request, oldest first.
func (t *Trail) Steps(id string) []Step {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]Step(nil), t.steps[id]...)
}
