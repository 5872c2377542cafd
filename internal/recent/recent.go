// Package recent remembers what was decided about recent requests, so that an
// operator can ask why a request ended as it did.
package recent

import (
	"sync"
	"time"
)

// Requests is a bounded memory of requests. The zero value works.
type Requests struct {
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
func (r *Requests) Add(id string, s Step) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.steps == nil {
		r.steps = map[string][]Step{}
	}
	if _, ok := r.steps[id]; !ok {
		r.order = append(r.order, id)
		if len(r.order) > keep {
			delete(r.steps, r.order[0])
			r.order = r.order[1:]
		}
	}
	r.steps[id] = append(r.steps[id], s)
}

// Steps returns what is remembered of a request, oldest first.
func (r *Requests) Steps(id string) []Step {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Step(nil), r.steps[id]...)
}
