// Package recent records the latest requests and the routing decisions about
// them, so that an operator can find out why a request ended as it did.
package recent

import (
	"sync"
	"time"
)

// Requests records the steps of the last maxRequests requests. The zero value is
// ready to use, also by several goroutines at once.
type Requests struct {
	mu    sync.Mutex
	steps map[string][]Step
	// ids holds the IDs of the recorded requests, oldest first.
	ids []string
}

// Step is one event in the processing of a request.
type Step struct {
	// At is the time since the process started.
	At time.Duration `json:"at"`
	// What is the kind of the event, such as "sent", "retry", "hedge", "kill"
	// or "ran".
	What   string `json:"what"`
	Reason string `json:"reason,omitempty"`
	Agent  string `json:"agent,omitempty"`
}

// maxRequests is the number of requests that are recorded.
const maxRequests = 4096

// Add records a step of a request. If the request is new and maxRequests are
// recorded already, the oldest one is removed.
func (r *Requests) Add(id string, s Step) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.steps == nil {
		r.steps = map[string][]Step{}
	}
	if _, ok := r.steps[id]; !ok {
		r.ids = append(r.ids, id)
		if len(r.ids) > maxRequests {
			delete(r.steps, r.ids[0])
			r.ids = r.ids[1:]
		}
	}
	r.steps[id] = append(r.steps[id], s)
}

// Steps returns the recorded steps of a request, oldest first.
func (r *Requests) Steps(id string) []Step {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Step(nil), r.steps[id]...)
}
