package route

import "time"

// longFactor is how many times the median of its service a class must take to
// count as long.
const longFactor = 5

// longShare bounds how often short requests overtake a waiting long one: of
// any longShare+1 requests taken, one is long if one waits.
const longShare = 4

// queue holds the requests of a service that wait for a slot. Short requests
// go first, within the bound above, and teams take turns.
type queue struct {
	short, long turns
	// passed counts the short requests taken since the last long one.
	passed int
	length int
}

// turns gives each team the same share of takes.
type turns struct {
	teams []*line
}

// line is the waiting requests of one team, oldest first.
type line struct {
	team string
	reqs []*request
}

func (q *queue) push(r *request, front bool) {
	q.length++
	if r.long {
		q.long.push(r, front)
		return
	}
	q.short.push(r, front)
}

func (q *queue) pop() *request {
	useLong := q.long.any() && (q.passed >= longShare || !q.short.any())
	var r *request
	if useLong {
		q.passed = 0
		r = q.long.pop()
	} else {
		q.passed++
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

func (t *turns) any() bool { return len(t.teams) > 0 }

func (t *turns) push(r *request, front bool) {
	for _, l := range t.teams {
		if l.team == r.team {
			l.push(r, front)
			return
		}
	}
	t.teams = append(t.teams, &line{team: r.team, reqs: []*request{r}})
}

func (l *line) push(r *request, front bool) {
	l.reqs = append(l.reqs, r)
	if front {
		copy(l.reqs[1:], l.reqs)
		l.reqs[0] = r
	}
}

// pop takes the oldest request of the first team, which then goes last.
func (t *turns) pop() *request {
	if len(t.teams) == 0 {
		return nil
	}
	l := t.teams[0]
	r := l.reqs[0]
	l.reqs[0] = nil
	l.reqs = l.reqs[1:]
	t.teams = t.teams[1:]
	if len(l.reqs) > 0 {
		t.teams = append(t.teams, l)
	}
	return r
}

func (t *turns) oldest() (time.Duration, bool) {
	var at time.Duration
	for i, l := range t.teams {
		if i == 0 || l.reqs[0].arrived < at {
			at = l.reqs[0].arrived
		}
	}
	return at, len(t.teams) > 0
}

func (t *turns) remove(r *request) bool {
	for i, l := range t.teams {
		if l.team != r.team {
			continue
		}
		for j, q := range l.reqs {
			if q != r {
				continue
			}
			l.reqs = append(l.reqs[:j], l.reqs[j+1:]...)
			if len(l.reqs) == 0 {
				t.teams = append(t.teams[:i], t.teams[i+1:]...)
			}
			return true
		}
	}
	return false
}
