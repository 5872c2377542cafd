package route

import "time"

// longFactor is how many times the mean run time of its service that of a class
// must exceed for the class to count as long.
const longFactor = 5

// shortsPerLong bounds how many short requests are taken before a waiting long
// one: of every shortsPerLong+1 requests taken, one is long if one waits.
const shortsPerLong = 4

// queue holds the requests of a service that wait for a slot. Short requests go
// first, up to shortsPerLong in a row, and teams are served round-robin.
type queue struct {
	short, long roundRobin
	// shortsSinceLong counts the short requests taken since the last long one.
	shortsSinceLong int
	length          int
}

// roundRobin holds the waiting requests by team and takes one request from each
// team in turn.
type roundRobin struct {
	// teams holds the teams with waiting requests; the first is served next.
	teams []*teamQueue
}

// teamQueue holds the waiting requests of one team, in the order in which they
// are taken.
type teamQueue struct {
	team     string
	requests []*request
}

// push adds a request behind those of its team, or before them if front is set.
func (q *queue) push(r *request, front bool) {
	q.length++
	if r.long {
		q.long.push(r, front)
		return
	}
	q.short.push(r, front)
}

// pop removes and returns the request to send next, or returns nil if none waits.
func (q *queue) pop() *request {
	useLong := q.long.nonEmpty() && (q.shortsSinceLong >= shortsPerLong || !q.short.nonEmpty())
	var r *request
	if useLong {
		q.shortsSinceLong = 0
		r = q.long.pop()
	} else {
		q.shortsSinceLong++
		r = q.short.pop()
	}
	if r != nil {
		q.length--
	}
	return r
}

// oldest returns the arrival time of the oldest waiting request.
func (q *queue) oldest() (time.Duration, bool) {
	a, okA := q.short.oldest()
	b, okB := q.long.oldest()
	switch {
	case okA && okB:
		return min(a, b), true
	case okA:
		return a, true
	default:
		return b, okB
	}
}

func (q *queue) remove(r *request) {
	t := &q.short
	if r.long {
		t = &q.long
	}
	if t.remove(r) {
		q.length--
	}
}

func (t *roundRobin) nonEmpty() bool { return len(t.teams) > 0 }

func (t *roundRobin) push(r *request, front bool) {
	for _, l := range t.teams {
		if l.team == r.team {
			l.push(r, front)
			return
		}
	}
	t.teams = append(t.teams, &teamQueue{team: r.team, requests: []*request{r}})
}

func (l *teamQueue) push(r *request, front bool) {
	l.requests = append(l.requests, r)
	if front {
		copy(l.requests[1:], l.requests)
		l.requests[0] = r
	}
}

// pop takes the first request of the first team and moves the team to the end.
func (t *roundRobin) pop() *request {
	if len(t.teams) == 0 {
		return nil
	}
	l := t.teams[0]
	r := l.requests[0]
	l.requests[0] = nil
	l.requests = l.requests[1:]
	t.teams = t.teams[1:]
	if len(l.requests) > 0 {
		t.teams = append(t.teams, l)
	}
	return r
}

func (t *roundRobin) oldest() (time.Duration, bool) {
	var at time.Duration
	for i, l := range t.teams {
		if i == 0 || l.requests[0].arrived < at {
			at = l.requests[0].arrived
		}
	}
	return at, len(t.teams) > 0
}

// remove removes a request and reports whether it was present.
func (t *roundRobin) remove(r *request) bool {
	for i, l := range t.teams {
		if l.team != r.team {
			continue
		}
		for j, q := range l.requests {
			if q != r {
				continue
			}
			l.requests = append(l.requests[:j], l.requests[j+1:]...)
			if len(l.requests) == 0 {
				t.teams = append(t.teams[:i], t.teams[i+1:]...)
			}
			return true
		}
	}
	return false
}
