package route

import (
	"time"

	"lagoonrack/internal/where"
)

// whereMaxCandidates bounds the candidates in one explanation.
const whereMaxCandidates = 100

// exclusions are the reasons for which a minion gets no request. Together they have to say what
// pick decides.
var exclusions = []struct {
	reason  string
	applies func(now time.Duration, s *service, m *minion) bool
}{
	{"leaving", func(_ time.Duration, _ *service, m *minion) bool { return m.draining }},
	{"silent", func(now time.Duration, s *service, m *minion) bool {
		return now-m.lastContact >= s.limits.UnresponsiveAfter
	}},
	{"ejected", func(now time.Duration, _ *service, m *minion) bool { return now < m.ejectedUntil }},
	{"slots", func(_ time.Duration, s *service, m *minion) bool { return s.slotsOn(m) <= 0 }},
}

// Where explains where a request of a service that arrives now would go, with at most the given
// number of candidates. It returns false if there is no such service. The state is not changed.
func (c *Core) Where(now time.Duration, name string, most int) (where.Answer, bool) {
	s := c.services[name]
	if s == nil {
		return where.Answer{}, false
	}
	v := Core{now: max(now, c.now), draining: c.draining}
	a := where.Answer{Service: name, Workers: len(s.minions), Ahead: s.queue.length}
	switch reason := v.rejectReason(s, v.newRequest(s, Arrive{Service: name})); reason {
	case "leaving":
		a.Rejected = "stopping"
	case "full":
		a.Rejected = "queue"
	default:
		a.Rejected = reason
	}
	x := a.Step(name)
	x.Tasks = 1
	for _, m := range s.minions {
		n := x.Add(m.agent)
		n.Room = max(0, s.slotsOn(m))
		n.Score = float64(n.Room)
		for _, r := range exclusions {
			if r.applies(v.now, s, m) {
				n.Excluded = append(n.Excluded, r.reason)
			}
		}
		if s.isSlow(m) {
			n.Against = append(n.Against, "slow")
			n.Score -= slowPenalty
		}
	}
	x.Cut(min(whereMaxCandidates, max(1, most)))
	return a, true
}

// slowPenalty orders minions that run much slower than the rest after all others. It is more than
// any minion has slots.
const slowPenalty = 1e6
