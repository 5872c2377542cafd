package sched

import (
	"maps"
	"slices"
	"time"

	"lagoonrack/internal/intake"
	"lagoonrack/internal/shed"
	"lagoonrack/internal/where"
	"lagoonrack/internal/work"
)

// This file explains where the tasks of a job would go, without changing the core's state.

const (
	// whereMaxSteps bounds the steps, and whereMaxCandidates the candidates for each, of one
	// explanation: the core handles nothing else meanwhile, and the answer goes over slow links.
	whereMaxSteps      = 4
	whereMaxCandidates = 100
)

// remark is a reason for or against a worker as the place of a task.
type remark struct {
	reason  string
	applies func(c *Core, t *task, o *option) bool
}

// exclusions are the reasons for which a worker can't take a task. Together they have to say
// what schedulable, candidates and choose decide.
var exclusions = []remark{
	{"silent", func(c *Core, _ *task, o *option) bool {
		return !o.reported || o.unresponsive || c.now-o.lastReport >= reportTimeout
	}},
	{"leaving", func(_ *Core, _ *task, o *option) bool { return o.Leaving }},
	{heldZone, func(c *Core, _ *task, o *option) bool { return !c.zoneOpen(o.worker) }},
	{"blocked", func(c *Core, _ *task, o *option) bool { return c.now < o.blockedUntil }},
	{heldLabel, func(_ *Core, t *task, o *option) bool { return !o.hasLabel(t.step.Needs) }},
	{"capacity", func(_ *Core, t *task, o *option) bool { return !t.step.Reserved().Fits(o.free()) }},
	{heldSpread, func(_ *Core, t *task, o *option) bool {
		return t.step.Apart > 0 && t.step.countOn(o.worker) >= t.step.Apart
	}},
	{heldMoving, excludedFor(heldMoving)},
	{heldAvoided, excludedFor(heldAvoided)},
	{heldSuspect, excludedFor(heldSuspect)},
	{heldRefused, func(c *Core, t *task, o *option) bool {
		return t.step.job.inForce.Advised && c.advice.Refused(t.step.name(), o.ID)
	}},
	{heldAdvice, func(c *Core, t *task, o *option) bool {
		_, ok := c.ticket(t.step, o.worker)
		return t.step.job.inForce.Advised && !ok && !c.advice.Refused(t.step.name(), o.ID)
	}},
	{"idle", func(c *Core, t *task, o *option) bool {
		return t.step.Fills && !c.mustStart(t) && !c.hasIdleCores(t.step, o.worker)
	}},
	{heldHeadroom, func(c *Core, t *task, o *option) bool {
		return t.step.Fills && !c.mustStart(t) && o.headroom < c.requiredMargin(t)
	}},
}

// drawbacks are the reasons that speak against a worker, and advantages those that speak for it.
// They are what its score is made of.
var drawbacks = []remark{
	{heldSuspect, func(c *Core, _ *task, o *option) bool { return c.suspect(o.worker) }},
	{"failed", func(_ *Core, t *task, o *option) bool { return slices.Contains(t.failedOn, o.ID) }},
	{"beside", func(_ *Core, t *task, o *option) bool { return t.step.countOn(o.worker) > 0 }},
}

var advantages = []remark{
	{"near", func(_ *Core, t *task, o *option) bool { return t.step.Near != "" && o.hasLabel(t.step.Near) }},
	{"alone", func(_ *Core, t *task, o *option) bool { return t.step.Fills && o.guaranteed.IsZero() }},
}

// excludedFor returns a function that reports whether exclusion gives the reason.
func excludedFor(reason string) func(c *Core, t *task, o *option) bool {
	return func(c *Core, t *task, o *option) bool { return c.exclusion(t, o.worker) == reason }
}

// Where explains where the tasks of a job would go now, with at most the given number of
// candidates for each step. For a job that the owner knows, it explains its waiting tasks. The
// core's state is not changed.
func (c *Core) Where(now time.Duration, j work.Job, most int) where.Answer {
	v := c.view(now)
	a := where.Answer{Job: j.ID}
	known := v.jobs[j.ID]
	if known == nil {
		if out := v.Admit(v.now, j); out.Refused {
			a.Rejected, a.RetryAfter = "full", out.After
			if out.Overload.Decided {
				a.Rejected = "overload"
			}
		}
		known = v.asIfSubmitted(j)
	} else if a.State = known.visibleState; known.finished() {
		return a
	}
	workers := v.workersOf(known.service)
	a.Workers, a.Priority = len(workers), known.inForce.Priority
	most = min(whereMaxCandidates, max(1, most))
	for _, o := range known.openOccurrences {
		for _, s := range o.steps {
			switch {
			case s.unfinished > 0 && !o.ready(s):
				a.Later++
			case s.waiting == 0:
			case len(a.Steps) == whereMaxSteps:
				a.More++
			default:
				if len(a.Steps) == 0 {
					a.Rank = rankNames[o.rank]
					a.Ahead, _ = v.ranking.find(o)
				}
				v.explainStep(&a, s, workers, most)
			}
		}
	}
	return a
}

// view returns a copy of the core on which the evaluation of tasks and admission change nothing
// that the copy shares with the core.
func (c *Core) view(now time.Duration) *Core {
	v := *c
	v.now, v.readOnly = max(now, c.now), true
	v.effects, v.shortlist = nil, shortlist{}
	v.interference = c.interference.View()
	v.speeds = c.speeds.Clone()
	v.admitted = maps.Clone(c.admitted)
	v.admission = make(map[string]*intake.Controller, len(c.admission))
	for s, g := range c.admission {
		v.admission[s] = g.Clone()
	}
	v.gates = make(map[string]*shed.Gate, len(c.gates))
	for s, g := range c.gates {
		v.gates[s] = g.Clone()
	}
	return &v
}

// asIfSubmitted returns the job with its first occurrence as it would be after its submission.
func (c *Core) asIfSubmitted(spec work.Job) *job {
	j := &job{Job: spec, acceptedAt: c.now, seq: c.jobCount + 1}
	c.updateTerms(j)
	c.updateRank(j.occurrence(0, c.now))
	return j
}

// workersOf lists the present incarnations of the workers of a service.
func (c *Core) workersOf(service string) []*worker {
	var out []*worker
	for _, w := range c.workerList {
		if w.Service == service && !w.gone && c.workerByAgent[w.agent] == w {
			out = append(out, w)
		}
	}
	return out
}

// explainStep explains where the first waiting task of a step would go.
func (c *Core) explainStep(a *where.Answer, s *step, workers []*worker, most int) {
	t := s.firstWaiting()
	x := a.Step(s.name())
	x.Tasks, x.Size, x.BestEffort = s.waiting, s.Size, s.Fills
	var scratch worker
	for _, w := range workers {
		o := c.evaluateView(s, w, &scratch)
		n := x.Add(w.ID)
		n.Zone, n.Rack, n.Free, n.Score = w.Zone, w.Rack(), w.free(), o.base-o.spread
		n.Excluded = reasonsOf(c, exclusions, t, &o)
		n.Against = reasonsOf(c, drawbacks, t, &o)
		n.For = reasonsOf(c, advantages, t, &o)
		if slices.Contains(n.Against, heldSuspect) || slices.Contains(n.Against, "failed") {
			n.Score -= failedWeight
		}
		if s.Fills {
			n.Idle, n.Headroom, n.Margin = c.offeredCores(w)-w.bestEffortCores, o.headroom, c.requiredMargin(t)
		}
		n.Room = c.roomOn(s, w)
	}
	x.Cut(most)
	if s.Gang && x.Room < s.Count {
		x.Held = heldGang
	}
}

// evaluateView evaluates a worker for a step without a change of the worker's cached headroom. It
// uses scratch in place of the worker meanwhile.
func (c *Core) evaluateView(s *step, w, scratch *worker) option {
	o := c.evaluate(s, w)
	tasks := scratch.headroom.tasks
	tasks = append(tasks[:0], w.headroom.tasks...)
	*scratch = *w
	scratch.headroom.tasks = tasks
	o.worker = scratch
	c.score(s, &o)
	o.worker = w
	return o
}

// reasonsOf returns the reasons that apply to a worker.
func reasonsOf(c *Core, remarks []remark, t *task, o *option) []string {
	var out []string
	for _, r := range remarks {
		if r.applies(c, t, o) {
			out = append(out, r.reason)
		}
	}
	return out
}

// roomOn returns how many waiting tasks of a step a worker that can take one has room for, apart
// from what they do to the headroom of others.
func (c *Core) roomOn(s *step, w *worker) int {
	n := s.Reserved().Times(w.free(), int64(s.waiting))
	if s.Apart > 0 {
		n = min(n, int64(s.Apart-s.countOn(w)))
	}
	if s.Fills && s.Size.Cores > 0 {
		n = min(n, max(1, (c.offeredCores(w)-w.bestEffortCores)/s.Size.Cores))
	}
	if c.suspect(w) {
		n = min(n, 1)
	}
	return int(max(0, n))
}
