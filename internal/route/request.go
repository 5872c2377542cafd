package route

import (
	"time"

	"lagoonrack/internal/wire"
)

// request is a caller's request until it is answered and none of its attempts
// is open.
type request struct {
	id         string
	svc        *service
	class      string
	team       string
	idempotent bool
	long       bool
	arrived    time.Duration
	// deadline is when the caller's budget ends.
	deadline time.Duration
	// queued tells whether the request waits in the queue of its service.
	queued bool
	// since is when it last began to wait, and waited the sum of earlier waits.
	since, waited time.Duration
	// answered is set once; an answered request is never sent again.
	answered bool
	// refusals counts certain refusals, whose retries cost no budget.
	refusals int
	attempts []*attempt
	// hedgeAt is when a second sending may be made, or 0.
	hedgeAt time.Duration
}

// attempt is one sending of a request.
type attempt struct {
	number int
	minion *minion
	state  string
	sent   time.Duration
	// killed is when the tombstone was asked for.
	killed time.Duration
}

// open counts the attempts that may still bring an answer.
func (r *request) open() int {
	n := 0
	for _, a := range r.attempts {
		if a.state == "sent" || a.state == "killing" {
			n++
		}
	}
	return n
}

// doubtful reports whether some attempt may have started without an answer.
func (r *request) doubtful() bool {
	for _, a := range r.attempts {
		if a.state == "doubt" {
			return true
		}
	}
	return false
}

func (r *request) find(number int) *attempt {
	for _, a := range r.attempts {
		if a.number == number {
			return a
		}
	}
	return nil
}

// tried reports whether the request has an open or failed attempt at m.
func (r *request) tried(m *minion) bool {
	for _, a := range r.attempts {
		if a.minion == m {
			return true
		}
	}
	return false
}

func (r *request) outcome() wire.Outcome {
	if r.doubtful() {
		return wire.Unknown
	}
	return wire.NotRun
}
