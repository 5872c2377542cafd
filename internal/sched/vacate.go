package sched

import (
	"slices"
	"time"

	"lagoonrack/internal/vect"
)

// The load that these rules answer: serving tasks come and go one job at a time,
// so that after a while single ones are left on workers that were nearly empty.
// Each of them keeps what fills away from a whole worker. Moving it to a worker
// that serves anyway costs a restart.

const (
	// vacateEvery is the least time between two workers that are emptied: a moved
	// task is at work again well within it.
	vacateEvery = 700 * time.Millisecond
	// vacateMost is the most serving tasks that are moved off one worker, and
	// vacateShare the share of its processors that they may reserve: beyond it,
	// too little is gained for the restarts.
	vacateMost  = 3
	vacateShare = 0.4
	// settled is how long a serving task runs before it may be moved.
	settled = 3 * time.Second
	// goalFor is how long a moved task waits for the place that it is to take.
	goalFor = 2 * time.Second
)

// vacate moves the serving tasks off one worker if tasks that fill wait and
// others that serve have room for them.
func (c *Core) vacate() {
	if c.now-c.vacated < vacateEvery || !c.fillsWait() {
		return
	}
	open := c.opened()
	var best *vacancy
	for _, w := range open {
		v := c.vacancy(w, open)
		if v != nil && (best == nil || v.gain() > best.gain()) {
			best = v
		}
	}
	if best == nil {
		return
	}
	c.vacated = c.now
	for _, m := range best.moves {
		m.place.task.goal, m.place.task.goalUntil = m.to, c.now+goalFor
		c.takeOff(m.place, "vacate")
	}
}

// fillsWait reports whether a task that fills needs a place.
func (c *Core) fillsWait() bool {
	for _, j := range c.active {
		if j.over() || !j.Steps[0].Fills || len(j.occs) == 0 {
			continue
		}
		for o, s := range j.turns() {
			if o == j.occs[0] && s.waiting() {
				return true
			}
		}
	}
	return false
}

// move takes a serving task to another worker.
type move struct {
	place *place
	to    *worker
}

// vacancy is a way to free a worker of serving tasks.
type vacancy struct {
	worker *worker
	open   []*worker
	moves  []move
	// rooms is what is left on a worker once the moves are made, and steps
	// counts the tasks of a step there.
	rooms map[*worker]vect.Size
	steps map[*worker]map[*step]int
}

// gain is the processors, in thousandths, that are freed for each move.
func (v *vacancy) gain() int64 { return v.worker.Size.Cores / int64(len(v.moves)) }

// vacancy returns a way to free a worker, or nil if there is none that pays.
func (c *Core) vacancy(w *worker, open []*worker) *vacancy {
	v := &vacancy{worker: w, open: open, rooms: map[*worker]vect.Size{}, steps: map[*worker]map[*step]int{}}
	var all []*place
	var cores int64
	for _, p := range sorted(w.places) {
		if !p.task.step.Lasts {
			continue
		}
		if !c.movable(p) {
			return nil
		}
		all = append(all, p)
		cores += p.task.step.Size.Cores
	}
	if len(all) == 0 || len(all) > vacateMost || float64(cores) > vacateShare*float64(w.Size.Cores) {
		return nil
	}
	for _, p := range all {
		if !c.rehouse(v, p) {
			return nil
		}
	}
	var moved []*place
	for _, m := range v.moves {
		moved = append(moved, m.place)
	}
	if !spared(moved) {
		return nil
	}
	return v
}

// rehouse finds a worker for a task, which one other task may have to leave
// for a third worker.
func (c *Core) rehouse(v *vacancy, p *place) bool {
	if to := c.refuge(v, p, nil); to != nil {
		v.add(p, to)
		return true
	}
	for _, x := range c.candidates(p.task.step, v.open) {
		if x == v.worker || x.suspect() || !x.serves() || !v.apart(p, x) {
			continue
		}
		for _, q := range sorted(x.places) {
			if !q.task.step.Lasts || q.task.step == p.task.step || v.moved(q) || !c.movable(q) || !p.task.step.Size.Fits(v.room(x).Add(q.task.step.Size)) {
				continue
			}
			if to := c.refuge(v, q, x); to != nil {
				v.add(q, to)
				v.add(p, x)
				return true
			}
		}
	}
	return false
}

func (v *vacancy) add(p *place, to *worker) {
	v.moves = append(v.moves, move{p, to})
	s := p.task.step
	v.rooms[p.worker] = v.room(p.worker).Add(s.Size)
	v.rooms[to] = v.room(to).Sub(s.Size)
	v.count(p.worker, s, -1)
	v.count(to, s, 1)
}

func (v *vacancy) count(w *worker, s *step, n int) {
	if v.steps[w] == nil {
		v.steps[w] = map[*step]int{}
	}
	v.steps[w][s] += n
}

func (v *vacancy) room(w *worker) vect.Size {
	if r, ok := v.rooms[w]; ok {
		return r
	}
	return w.room()
}

func (v *vacancy) moved(p *place) bool {
	return slices.ContainsFunc(v.moves, func(m move) bool { return m.place == p })
}

// apart reports whether a worker may have one more task of the step.
func (v *vacancy) apart(p *place, w *worker) bool {
	s := p.task.step
	return s.Apart == 0 || s.on(w)+v.steps[w][s] < s.Apart
}

// movable reports whether a serving task may be restarted elsewhere now: it is
// at work for a while, and not too many of its step are away.
func (c *Core) movable(p *place) bool {
	if p.stop != "" || !p.stored || !p.known || p.percent < full || c.now-p.okay < settled {
		return false
	}
	return spared([]*place{p})
}

// spared reports whether all places may be stopped at a time without more tasks of
// a step being away than may be.
func spared(places []*place) bool {
	stops := map[*step]int{}
	for _, p := range places {
		stops[p.task.step]++
	}
	for s, n := range stops {
		if s.Lasts && s.Missing > 0 && s.away()+n > s.Missing {
			return false
		}
	}
	return true
}

// away counts the tasks of a step that are not at work.
func (s *step) away() int {
	n := 0
	for _, t := range s.tasks {
		if !slices.ContainsFunc(t.places, func(p *place) bool { return p.stop == "" && p.percent >= full }) {
			n++
		}
	}
	return n
}

// refuge returns the fullest worker that serves, is not the one given and has
// room for one more task.
func (c *Core) refuge(v *vacancy, p *place, not *worker) *worker {
	s := p.task.step
	var best *worker
	for _, w := range c.candidates(s, v.open) {
		if w == v.worker || w == not || w == p.worker || w.suspect() || !w.serves() || !v.apart(p, w) || !s.Size.Fits(v.room(w)) {
			continue
		}
		if best == nil || v.room(w).Cores < v.room(best).Cores {
			best = w
		}
	}
	return best
}

// serves reports whether a serving task is on the worker.
func (w *worker) serves() bool {
	for p := range w.places {
		if p.task.step.Lasts && p.stop == "" {
			return true
		}
	}
	return false
}
