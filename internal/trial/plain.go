package trial

import (
	"math/rand/v2"
	"time"

	"lagoonrack/internal/sim"
	"lagoonrack/internal/wire"
)

// chooser picks a minion for a request at one entry. turn is a running number of
// the entry's requests, and inflight the number of requests that the entry has in
// flight at each minion.
type chooser func(rng *rand.Rand, turn int, inflight []int) int

// policies maps the names of policies to the choosers of the baselines; nil
// stands for late binding, which runs the cores.
var policies = map[string]chooser{
	"late":   nil,
	"robin":  func(_ *rand.Rand, turn int, in []int) int { return turn % len(in) },
	"random": func(rng *rand.Rand, _ int, in []int) int { return rng.IntN(len(in)) },
	"least":  leastInFlight,
	"two":    twoChoices,
}

// leastInFlight picks a minion with the fewest requests in flight, at random
// among equals.
func leastInFlight(rng *rand.Rand, _ int, in []int) int {
	best, ties := 0, 1
	for i := 1; i < len(in); i++ {
		switch {
		case in[i] < in[best]:
			best, ties = i, 1
		case in[i] == in[best]:
			ties++
			if rng.IntN(ties) == 0 {
				best = i
			}
		}
	}
	return best
}

// twoChoices picks two minions at random and returns the one with fewer requests
// in flight.
func twoChoices(rng *rand.Rand, _ int, in []int) int {
	a, b := rng.IntN(len(in)), rng.IntN(len(in))
	if in[b] < in[a] {
		return b
	}
	return a
}

// baseline simulates one run of a baseline policy: each request is sent to a
// minion at once, which queues it if no slot is free.
type baseline struct {
	sim.Loop
	cfg          Config
	results      *recorder
	chooseMinion chooser
	rng          *rand.Rand
	// inflight counts requests in flight by entry and minion. turns counts the
	// requests of each entry, beginning with a random number.
	inflight [][]int
	turns    []int
	// queues holds the waiting requests of each minion, and running counts the
	// running ones.
	queues  [][]*queuedRequest
	running []int
	idle    idleMeter
}

// queuedRequest is one try of a request that was sent to a minion.
type queuedRequest struct {
	arrival
	entry, minion int
	sentAt        time.Duration
	try           int
	idleAtArrival time.Duration
}

// runBaseline simulates one run until every request has its final answer.
func runBaseline(c Config, name string, entries int, load float64, seed uint64) Outcome {
	p := &baseline{cfg: c, chooseMinion: policies[name], rng: rand.New(rand.NewPCG(seed, 13))}
	p.results = newRecorder(c, name, entries, load, seed)
	p.idle.slots = c.Minions * c.Slots
	p.inflight = make([][]int, entries)
	for i := range p.inflight {
		p.inflight[i] = make([]int, c.Minions)
	}
	p.turns = make([]int, entries)
	for i := range p.turns {
		p.turns[i] = p.rng.IntN(c.Minions)
	}
	p.queues = make([][]*queuedRequest, c.Minions)
	p.running = make([]int, c.Minions)
	for _, a := range c.arrivals(load, seed) {
		p.At(a.at, func() { p.arrive(a, 1) })
	}
	for p.Step() {
	}
	return p.results.Outcome
}

// arrive chooses a minion for a request and sends the request to it. Each
// further try goes through the next entry.
func (p *baseline) arrive(a arrival, try int) {
	e := (a.number + try - 1) % len(p.inflight)
	p.turns[e]++
	m := p.chooseMinion(p.rng, p.turns[e], p.inflight[e])
	q := &queuedRequest{arrival: a, entry: e, minion: m, try: try, sentAt: p.Now(), idleAtArrival: p.idle.read(p.Now())}
	p.inflight[e][m]++
	p.results.Messages += 2
	p.results.Sends++
	p.After(p.cfg.delay(e, m), func() { p.reachMinion(q) })
}

// reachMinion queues a request at its minion, after the end of a pause of the
// minion, or refuses it if the minion refuses requests.
func (p *baseline) reachMinion(q *queuedRequest) {
	if until, ok := p.cfg.Fault.pausedUntil(q.minion, p.Now()); ok {
		p.At(until, func() { p.reachMinion(q) })
		return
	}
	if p.cfg.Fault.refuses(q.minion, p.Now()) {
		p.sendAnswer(q, wire.NotRun, 0)
		return
	}
	p.queues[q.minion] = append(p.queues[q.minion], q)
	p.startQueued(q.minion)
}

// startQueued starts queued requests of a minion while it has free slots, and
// refuses those whose timeout has passed.
func (p *baseline) startQueued(m int) {
	for p.running[m] < p.cfg.Slots && len(p.queues[m]) > 0 {
		q := p.queues[m][0]
		p.queues[m] = p.queues[m][1:]
		if p.Now()-q.sentAt >= p.cfg.Timeout.Std() {
			p.sendAnswer(q, wire.NotRun, 0)
			continue
		}
		p.running[m]++
		idle := p.idle.read(p.Now()) - q.idleAtArrival
		p.idle.addBusy(p.Now(), 1)
		runTime := time.Duration(float64(q.runTime) * p.cfg.Fault.slowdown(m, p.Now()))
		end := p.Now() + runTime
		if until, ok := p.cfg.Fault.pausedUntil(m, end); ok {
			end = until
		}
		p.At(end, func() { p.finish(q, idle) })
	}
}

// finish ends the run of a request and starts the next one of its minion.
func (p *baseline) finish(q *queuedRequest, idle time.Duration) {
	p.running[q.minion]--
	p.idle.addBusy(p.Now(), -1)
	p.sendAnswer(q, wire.Ran, idle)
	p.startQueued(q.minion)
}

// sendAnswer sends an answer back to the entry, which records it, or sends the
// request again if it did not run and tries remain.
func (p *baseline) sendAnswer(q *queuedRequest, o wire.Outcome, idle time.Duration) {
	d := p.cfg.delay(q.entry, q.minion)
	p.After(d, func() {
		p.inflight[q.entry][q.minion]--
		if o == wire.NotRun && q.try < p.cfg.Tries {
			p.arrive(q.arrival, q.try+1)
			return
		}
		p.results.add(q.arrival, p.Now(), o, idle > p.cfg.roundTrip()+d)
	})
}
