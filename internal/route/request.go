package route

import (
	"time"

	"lagoonrack/internal/wire"
)

// request is a caller's request. It is kept until it is answered and none of
// its attempts is open.
type request struct {
	id         string
	service    *service
	class      string
	team       string
	idempotent bool
	// long is set if the class of the request runs much longer than the rest
	// of the service.
	long    bool
	arrived time.Duration
	// deadline is when the caller's budget ends.
	deadline time.Duration
	// queued is set while the request waits in the queue of its service.
	queued bool
	// queuedSince is when it was last queued, and waited the total time of its
	// earlier waits.
	queuedSince, waited time.Duration
	// answered is never reset. An answered request is never sent again.
	answered bool
	// refusals counts attempts that agents refused. Their retries take no
	// token from the retry budget, because such an attempt certainly did not
	// run.
	refusals int
	attempts []*attempt
	// hedgeAt is when a second, parallel attempt may be sent, or 0.
	hedgeAt time.Duration
}

// attempt is one sending of a request to an agent.
type attempt struct {
	number int
	minion *minion
	// state is a state of attempt.chart.yaml.
	state  string
	sentAt time.Duration
	// killSentAt is when the agent was asked for a tombstone, or 0.
	killSentAt time.Duration
}

// openAttempts counts the attempts that may still bring an answer.
func (r *request) openAttempts() int {
	n := 0
	for _, a := range r.attempts {
		if a.state == "sent" || a.state == "killing" {
			n++
		}
	}
	return n
}

// outcomeUnknown reports whether some attempt may have started and its answer
// was lost.
func (r *request) outcomeUnknown() bool {
	for _, a := range r.attempts {
		if a.state == "doubt" {
			return true
		}
	}
	return false
}

func (r *request) findAttempt(number int) *attempt {
	for _, a := range r.attempts {
		if a.number == number {
			return a
		}
	}
	return nil
}

// triedOn reports whether the request has had an attempt at m.
func (r *request) triedOn(m *minion) bool {
	for _, a := range r.attempts {
		if a.minion == m {
			return true
		}
	}
	return false
}

// outcomeWithoutAnswer returns the outcome of a request that ends although none
// of its attempts brought an answer.
func (r *request) outcomeWithoutAnswer() wire.Outcome {
	if r.outcomeUnknown() {
		return wire.Unknown
	}
	return wire.NotRun
}
