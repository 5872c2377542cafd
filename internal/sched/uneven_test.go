package sched_test

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"lagoonrack/internal/pace"
	"lagoonrack/internal/sched"
	"lagoonrack/internal/vect"
	"lagoonrack/internal/work"
)

// unevenCell plays a cell in virtual time whose workers differ: sizes of 1, 1 and 1.5, one
// rack with more and busier latency-critical tasks than the others, and a zone whose
// workers are slow. Latency-critical tasks use a share of what they reserve that swings;
// best-effort tasks share what is left, throttled by the agents' rules (internal/pace).
// Messages and commits take no time; restoring a checkpoint does.
type unevenCell struct {
	core *sched.Core
	now  time.Duration
	// arrivals is the source of the jobs, so that they don't depend on decisions, and rng that
	// of all else.
	arrivals, rng *rand.Rand
	nodes         []*unevenNode
	byAgent       map[string]*unevenNode
	jobs          map[string]*unevenJob
	// lengths holds the true duration of each task at full speed, and saved the progress
	// of each checkpoint.
	lengths map[string]time.Duration
	saved   map[string]float64
	due     map[string]float64
	// ghosts holds, by task, the runs that were moved as starved, as if they had stayed.
	ghosts map[string]*unevenGhost
	count  unevenCount
}

// unevenNode is a worker with its agent.
type unevenNode struct {
	work.Worker
	agent string
	// speed is how fast runs make progress, and demand a factor on the load of
	// latency-critical tasks.
	speed, demand float64
	runs          []*unevenRun
	ends          []work.End
	lastEnd       int64
	throttler     pace.Throttler
	// left is the processor time left to best-effort runs, in thousandths of a core.
	left float64
}

// unevenRun is a run on a worker.
type unevenRun struct {
	work.About
	cores    int64
	saves    bool
	length   time.Duration
	phase    float64
	progress float64
	// level is the throttle level, got the processor time in use, and tail the measured
	// tail latency.
	level, got, tail float64
	// begins is when the run makes progress: after its checkpoint is restored.
	began, begins time.Duration
}

// unevenJob is a submitted job with its true objective and end.
type unevenJob struct {
	work.Job
	phase               float64
	core                float64
	at, objective, done time.Duration
}

// unevenGhost is a moved run as if it had stayed on its worker.
type unevenGhost struct {
	run       unevenRun
	node      *unevenNode
	movedAt   time.Duration
	done      time.Duration
	restarted time.Duration
	// before is the share of the requested processor time that the run got at the move.
	before        float64
	halted        bool
	movedProgress float64
}

// unevenCount is what the cell counts.
type unevenCount struct {
	moves                   map[string]int
	zoneRuns                map[string]int
	zoneTime, zoneLength    map[string]time.Duration
	lcTime, lcOver          map[string]time.Duration
	ghosts, stayed          int
	stayGain                time.Duration
	haltedGhosts, haltedWon int
	before, after           float64
	wait                    time.Duration
	lostRunTime, runTime    time.Duration
}

const (
	unevenZones, unevenRacks = 3, 2
	unevenCores              = 32000
	slowSpeed                = 0.6
	unevenStep               = 50 * time.Millisecond
	swingPeriod              = 14.0
)

// newUnevenCell returns a cell of 18 workers, with latency-critical jobs at work.
func newUnevenCell(seed uint64, limits sched.Limits) *unevenCell {
	s := &unevenCell{
		arrivals: rand.New(rand.NewPCG(seed, 78)), rng: rand.New(rand.NewPCG(seed, 77)), byAgent: map[string]*unevenNode{}, jobs: map[string]*unevenJob{},
		lengths: map[string]time.Duration{}, saved: map[string]float64{}, due: map[string]float64{}, ghosts: map[string]*unevenGhost{},
		count: unevenCount{
			moves: map[string]int{}, zoneRuns: map[string]int{}, zoneTime: map[string]time.Duration{},
			zoneLength: map[string]time.Duration{}, lcTime: map[string]time.Duration{}, lcOver: map[string]time.Duration{},
		},
	}
	cfg := &work.Config{Version: 1, Queues: []work.Queue{
		{Name: "short", Service: "s", Attempts: 3, Stretch: 1.5, Target: 600},
		{Name: "fill", Service: "s", Attempts: 3, Stretch: 2, Target: 1000, Priority: 2},
		{Name: "long", Service: "s", Attempts: 3, Stretch: 2.2, Target: 2500},
	}}
	s.core = sched.New(limits, 1, 0, 0, sched.StoredRows{}, cfg)
	for i := range unevenZones * unevenRacks * 3 {
		rack := i / 3
		zone := rack / unevenRacks
		n := &unevenNode{agent: fmt.Sprintf("agent-%02d", i), speed: 1, demand: 1}
		size := int64(unevenCores)
		if i%3 == 2 {
			size = size * 3 / 2
		}
		if zone == unevenZones-1 {
			n.speed = slowSpeed
		}
		if rack == 0 {
			n.demand = 1.25
		}
		n.Worker = work.Worker{
			Life: work.Life{ID: fmt.Sprintf("w-%02d", i), Born: 1}, Service: "s", Size: vect.Size{Cores: size, Memory: 256000},
			Zone: fmt.Sprint("z", zone), Labels: []string{fmt.Sprint("z", zone), fmt.Sprint("r", rack)},
		}
		s.nodes = append(s.nodes, n)
		s.byAgent[n.agent] = n
		s.report(n)
	}
	for i := range 5 {
		s.submit("long", work.Step{Count: 7, Size: vect.Size{Cores: 8000, Memory: 1000}, Lasts: true, Image: fmt.Sprint("serve-", i), Target: 50, Apart: 2, Missing: 2}, 0)
	}
	s.submit("long", work.Step{Count: 5, Size: vect.Size{Cores: 9000, Memory: 1000}, Lasts: true, Image: "serve-hot", Target: 50, Apart: 2, Missing: 2, Needs: "r0"}, 0)
	s.play(3*time.Second, 0)
	return s
}

// submit hands in a job. The second of two steps follows the first.
func (s *unevenCell) submit(queue string, step work.Step, length time.Duration) {
	id := fmt.Sprintf("%016x", len(s.jobs)+1)
	j := &unevenJob{at: s.now, phase: 2 * math.Pi * s.arrivals.Float64()}
	j.ID, j.Queue, j.Service, j.Spec = id, queue, "s", "spec"
	j.Steps = []work.Step{step}
	if queue == "fill" || queue == "short" && s.arrivals.Float64() < 0.6 {
		step.After = []int{0}
		j.Steps = append(j.Steps, step)
	}
	stretch, target := 2.0, time.Second
	if queue == "short" {
		stretch, target = 1.5, 600*time.Millisecond
	}
	for k := range j.Steps {
		longest := time.Duration(0)
		for i := range step.Count {
			d := time.Duration(float64(length) * (0.85 + 0.3*s.arrivals.Float64()))
			longest = max(longest, d)
			s.lengths[work.TaskName(id, 0, k, i)] = d
			j.core += d.Seconds() * float64(step.Size.Cores) / 1000
		}
		j.objective += time.Duration(stretch * float64(longest))
	}
	j.objective += target
	s.jobs[id] = j
	s.step(sched.Submit{Job: j.Job})
}

// step passes an event to the core and carries out the effects.
func (s *unevenCell) step(e sched.Event) {
	for _, f := range slices.Clone(s.core.Step(s.now, e)) {
		switch f := f.(type) {
		case sched.Commit:
			s.step(sched.Committed{Seq: f.Seq})
		case sched.Send:
			s.carryOut(f)
		case sched.Reply:
			if f.Token > 0 {
				n := s.nodes[f.Token-1]
				n.throttler.SetModel(n.Size.Cores, f.Press, f.Bases)
			}
		case sched.Decision:
			s.note(f)
		}
	}
}

// note counts a decision.
func (s *unevenCell) note(f sched.Decision) {
	switch f.Kind {
	case "complete":
		s.jobs[f.Job].done = s.now
	case "move":
		s.count.moves[f.Reason]++
		n := s.nodes[slices.IndexFunc(s.nodes, func(n *unevenNode) bool { return n.ID == f.Worker })]
		if r := n.find(work.Run{Task: f.Task, Num: f.Run}); r != nil && f.Reason == "starved" {
			g := &unevenGhost{run: *r, node: n, movedAt: s.now, before: r.got / float64(r.cores), halted: r.level < 0.1, movedProgress: r.progress}
			if s.ghosts[f.Task] == nil {
				s.ghosts[f.Task] = g
			}
		}
	}
}

// find returns a run on the worker, or nil.
func (n *unevenNode) find(r work.Run) *unevenRun {
	for _, x := range n.runs {
		if x.Run == r {
			return x
		}
	}
	return nil
}

// carryOut carries out an order at once.
func (s *unevenCell) carryOut(f sched.Send) {
	n := s.byAgent[f.Agent]
	res := work.Results{Life: f.Order.Life, Term: 1}
	for _, x := range f.Order.Starts {
		res.Starts = append(res.Starts, work.Result{Run: x.Run, Code: work.Started})
		at, _ := work.ParseTaskName(x.Task)
		j := s.jobs[at.Job]
		step := j.Steps[at.Step]
		r := &unevenRun{About: x.About, cores: step.Size.Cores, saves: step.Saves, length: s.lengths[x.Task], phase: j.phase, level: 1, began: s.now, begins: s.now}
		if x.Saved != "" {
			r.progress = s.saved[x.Saved]
			r.begins += 100*time.Millisecond + time.Duration(s.rng.Float64()*float64(500*time.Millisecond))
		}
		if g := s.ghosts[x.Task]; g != nil && g.restarted == 0 {
			g.restarted = s.now
		}
		n.runs = append(n.runs, r)
	}
	for _, x := range f.Order.Stops {
		res.Stops = append(res.Stops, x)
		if r := n.find(x); r != nil {
			n.end(s, r, work.Stopped)
		}
	}
	s.step(sched.Results{Results: res})
}

// end ends a run; the next report lists the end.
func (n *unevenNode) end(s *unevenCell, r *unevenRun, how work.EndReason) {
	n.runs = slices.DeleteFunc(n.runs, func(x *unevenRun) bool { return x == r })
	n.lastEnd++
	e := work.End{N: n.lastEnd, Run: r.Run, How: how}
	if how == work.Stopped && r.saves {
		e.Saved = "c" + strconv.Itoa(len(s.saved))
		s.saved[e.Saved] = r.progress
	}
	n.ends = append(n.ends, e)
	if !r.Fills {
		return
	}
	if how == work.Done {
		s.count.runTime += s.now - r.began
		s.count.zoneRuns[n.Zone]++
		s.count.zoneTime[n.Zone] += s.now - r.began
		s.count.zoneLength[n.Zone] += r.length
		s.closeGhost(r)
	} else {
		s.count.lostRunTime += s.now - r.began
	}
}

// closeGhost compares the end of a moved task with that of its run if it had stayed.
func (s *unevenCell) closeGhost(r *unevenRun) {
	g := s.ghosts[r.Task]
	if g == nil {
		return
	}
	delete(s.ghosts, r.Task)
	// The ghost of a run that ends later than the task is taken on at its present speed.
	if g.done == 0 {
		g.done = s.now + time.Duration((1-g.run.progress)*float64(g.run.length)/max(0.05, g.rate()))
	}
	s.count.ghosts++
	won := g.done <= s.now
	if won {
		s.count.stayed++
	}
	if g.halted {
		s.count.haltedGhosts++
		if won {
			s.count.haltedWon++
		}
	}
	s.count.stayGain += s.now - g.done
	s.count.before += g.before
	s.count.after += (1 - g.movedProgress) * float64(r.length) / float64(max(time.Millisecond, s.now-g.restarted))
	s.count.wait += g.restarted - g.movedAt
}

// rate returns the speed that the ghost would make progress at now.
func (g *unevenGhost) rate() float64 {
	asked, level := float64(g.run.cores), 1.0
	for _, r := range g.node.runs {
		if r.Fills {
			asked += float64(r.cores) * r.level
			level = min(level, r.level)
		}
	}
	if g.halted {
		level = min(level, 0.3)
	}
	return g.node.speed * min(level, g.node.left/asked)
}

// advance advances the runs of a worker by one step of time.
func (n *unevenNode) advance(s *unevenCell) {
	used, asked, share := 0.0, 0.0, 0.0
	for _, r := range n.runs {
		switch {
		case r.Lasts:
			r.got = r.load(s.now, n) * float64(r.cores)
			used += r.got
		case !r.Fills:
			r.got = float64(r.cores)
			used += r.got
		case s.now >= r.begins:
			asked += float64(r.cores) * r.level
		}
	}
	n.left = max(0, float64(n.Size.Cores)-used)
	scale := min(1, n.left/max(1, asked))
	for _, r := range n.runs {
		if r.Fills {
			r.got = 0
			if s.now >= r.begins {
				r.got = scale * r.level * float64(r.cores)
			}
			share += r.got / float64(n.Size.Cores) * factorOf(r.Image)
		}
	}
	for _, r := range slices.Clone(n.runs) {
		if r.Lasts {
			u := min(0.97, r.load(s.now, n)+share)
			tail := 10 / (1 - u)
			if r.tail == 0 {
				r.tail = tail
			}
			r.tail += (tail - r.tail) * unevenStep.Seconds() / 0.3
			s.count.lcTime[n.Zone] += unevenStep
			if tail > float64(r.Target) {
				s.count.lcOver[n.Zone] += unevenStep
			}
			continue
		}
		if s.now < r.begins {
			continue
		}
		r.progress += n.speed * r.got / float64(r.cores) * unevenStep.Seconds() / r.length.Seconds()
		if r.progress >= 1 {
			n.end(s, r, work.Done)
		}
	}
}

// factorOf returns the interference factor of a best-effort image.
func factorOf(image string) float64 {
	k, _ := strconv.Atoi(strings.TrimPrefix(image, "fill-"))
	return 0.15 * float64(k%5)
}

// load returns the share of its reservation that a latency-critical run uses.
func (r *unevenRun) load(now time.Duration, n *unevenNode) float64 {
	return min(0.95, n.demand*0.45*(1+0.5*math.Sin(2*math.Pi*now.Seconds()/swingPeriod+r.phase)))
}

// report sends a worker's report and throttles its runs.
func (s *unevenCell) report(n *unevenNode) {
	r := work.Report{Agent: n.agent, Worker: n.Worker, Listed: true, ListedAfter: work.Moment{Term: 1, At: s.now}, Unix: 1_000_000_000 + s.now.Milliseconds(), Word: work.ReportID{Process: 1, Sent: s.now}}
	r.Ends, n.ends = n.ends, nil
	about := map[work.Run]work.About{}
	for _, x := range n.runs {
		about[x.Run] = x.About
		item := work.Running{Run: x.Run, Percent: int(100 * min(0.99, x.progress)), Figure: int64(x.got)}
		if x.Lasts {
			item.Percent, item.Figure = 100, int64(x.tail*(0.95+0.1*s.rng.Float64()))
		}
		r.Running = append(r.Running, item)
	}
	slices.SortFunc(r.Running, func(a, b work.Running) int { return cmp.Compare(a.Task, b.Task) })
	for _, t := range n.throttler.Step(s.now, r.Running, about) {
		if x := n.find(t.Run); x != nil {
			x.level = float64(t.Percent) / 100
		}
	}
	token := uint64(1 + slices.Index(s.nodes, n))
	s.step(sched.Report{Token: token, Report: r})
}

// fillPerJob and shortPerJob are the mean work of a job in core-seconds.
const fillPerJob, shortPerJob = 525.0, 16 * 0.55

// play plays a time in which jobs arrive that ask, with what latency-critical tasks use, for a
// share of the capacity: cores times speed.
func (s *unevenCell) play(d time.Duration, load float64) {
	capacity := 0.0
	for _, n := range s.nodes {
		capacity += float64(n.Size.Cores) / 1000 * n.speed
	}
	short := 0.07 * min(1, load) * capacity
	fill := max(0, load*capacity-short-0.45*325)
	if load == 0 {
		fill = 0
	}
	for until := s.now + d; s.now < until; {
		s.now += unevenStep
		s.arrive(short/shortPerJob, fill/fillPerJob)
		for _, n := range s.nodes {
			n.advance(s)
		}
		for _, task := range sortedGhosts(s.ghosts) {
			g := s.ghosts[task]
			if g.done > 0 {
				continue
			}
			if g.run.progress += g.rate() * unevenStep.Seconds() / g.run.length.Seconds(); g.run.progress >= 1 {
				g.done = s.now
			}
		}
		for i, n := range s.nodes {
			if len(n.ends) > 0 || (int(s.now/unevenStep)+i)%6 == 0 {
				s.report(n)
			}
		}
		if s.now%tickInterval == 0 {
			s.step(sched.Confirmed{Sent: s.now})
			s.step(sched.Tick{})
		}
	}
}

// sortedGhosts returns the names of the tasks in order.
func sortedGhosts(m map[string]*unevenGhost) []string {
	var out []string
	for k := range m {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}

// arrive hands in the jobs of one step of time, given the rates per second.
func (s *unevenCell) arrive(short, fill float64) {
	estimate := func(d time.Duration) int64 {
		return int64(float64(d.Milliseconds()) * math.Exp(0.64*(2*s.arrivals.Float64()-1)))
	}
	for s.due["short"] += short * unevenStep.Seconds() * 2 * s.arrivals.Float64(); s.due["short"] >= 1; s.due["short"]-- {
		d := time.Duration((0.7 + 0.6*s.arrivals.Float64()) * float64(time.Second))
		s.submit("short", work.Step{Count: 5 + s.arrivals.IntN(11), Size: vect.Size{Cores: 550, Memory: 100}, Estimate: estimate(d)}, d)
	}
	for s.due["fill"] += fill * unevenStep.Seconds() * 2 * s.arrivals.Float64(); s.due["fill"] >= 1; s.due["fill"]-- {
		d := time.Duration((1.5 + 2*s.arrivals.Float64()) * float64(time.Second))
		s.submit("fill", work.Step{
			Count: 10 + s.arrivals.IntN(21), Size: vect.Size{Cores: 3500 + s.arrivals.Int64N(3500), Memory: 500}, Estimate: estimate(d),
			Fills: true, Saves: s.arrivals.IntN(10) < 8, Image: fmt.Sprint("fill-", s.arrivals.IntN(10)),
		}, d)
	}
}

// unevenResult is what the callers of one queue or class got.
type unevenResult struct {
	jobs, inTime, late int
	// weight is the sum of the jobs' values, and got the part of it that counts.
	weight, got float64
	ratios      []float64
}

// add counts a job that is over or would be late now.
func (r *unevenResult) add(j *unevenJob, meanCore float64) {
	r.jobs++
	value := 0.3 + 0.7*j.core/meanCore
	r.weight += value
	ratio := math.Inf(1)
	if j.done > 0 {
		ratio = float64(j.done-j.at) / float64(j.objective)
	}
	r.ratios = append(r.ratios, ratio)
	switch {
	case ratio <= 1:
		r.inTime++
		r.got += value
	case ratio <= 3:
		r.late++
		r.got += 0.15 * value
	}
}

// value returns the share of the jobs' value that counts.
func (r *unevenResult) value() float64 { return r.got / max(1, r.weight) }

// results returns what callers got, by queue and by size class of best-effort jobs.
func (s *unevenCell) results() map[string]*unevenResult {
	out := map[string]*unevenResult{"short": {}, "fill": {}, "fill, largest tenth": {}, "fill, next fifth": {}, "fill, others": {}}
	var fills []*unevenJob
	for _, j := range s.jobs {
		switch j.Queue {
		case "short":
			out["short"].add(j, shortPerJob)
		case "fill":
			fills = append(fills, j)
		}
	}
	slices.SortFunc(fills, func(a, b *unevenJob) int { return cmp.Or(cmp.Compare(b.core, a.core), cmp.Compare(a.ID, b.ID)) })
	for i, j := range fills {
		class := "fill, others"
		switch {
		case i*10 < len(fills):
			class = "fill, largest tenth"
		case i*10 < 3*len(fills):
			class = "fill, next fifth"
		}
		out["fill"].add(j, fillPerJob)
		out[class].add(j, fillPerJob)
	}
	return out
}

// merge adds the jobs of another result.
func (r *unevenResult) merge(x *unevenResult) {
	r.jobs, r.inTime, r.late = r.jobs+x.jobs, r.inTime+x.inTime, r.late+x.late
	r.weight, r.got = r.weight+x.weight, r.got+x.got
	r.ratios = append(r.ratios, x.ratios...)
}

// unevenClasses are the queues and the size classes of best-effort jobs.
var unevenClasses = []string{"short", "fill", "fill, largest tenth", "fill, next fifth", "fill, others"}

// unevenRow is the sum of several plays at one load.
type unevenRow struct {
	results map[string]*unevenResult
	counts  []*unevenCount
}

// playUneven plays cells with several seeds at a load.
func playUneven(load float64, limits sched.Limits, seeds int) unevenRow {
	cells := make([]*unevenCell, seeds)
	var wait sync.WaitGroup
	for i := range cells {
		wait.Go(func() {
			s := newUnevenCell(uint64(i), limits)
			s.play(40*time.Second, load)

			s.play(30*time.Second, 0)
			cells[i] = s
		})
	}
	wait.Wait()
	row := unevenRow{results: map[string]*unevenResult{}}
	for _, c := range unevenClasses {
		row.results[c] = &unevenResult{}
	}
	for _, s := range cells {
		row.counts = append(row.counts, &s.count)
		for c, r := range s.results() {
			row.results[c].merge(r)
		}
	}
	return row
}

// sum adds up a figure of all plays.
func (r unevenRow) sum(figure func(*unevenCount) float64) float64 {
	out := 0.0
	for _, n := range r.counts {
		out += figure(n)
	}
	return out
}

// String returns the figures of the plays.
func (r unevenRow) String() string {
	var b strings.Builder
	for _, c := range unevenClasses {
		x := r.results[c]
		fmt.Fprintf(&b, "\n  %-20s %4d jobs, value %.3f, in time %3d, late %3d, p50 %.2f p90 %.2f", c, x.jobs, x.value(), x.inTime, x.late, x.quantile(0.5), x.quantile(0.9))
	}
	ghosts := max(1, r.sum(func(n *unevenCount) float64 { return float64(n.ghosts) }))
	fmt.Fprintf(&b, "\n  moves: starved %.0f, slow %.0f; run time stopped %.0f of %.0f s",
		r.sum(func(n *unevenCount) float64 { return float64(n.moves["starved"]) }), r.sum(func(n *unevenCount) float64 { return float64(n.moves["slow"]) }),
		r.sum(func(n *unevenCount) float64 { return n.lostRunTime.Seconds() }), r.sum(func(n *unevenCount) float64 { return (n.runTime + n.lostRunTime).Seconds() }))
	fmt.Fprintf(&b, "\n  moved as starved: %.0f, better to stay %.0f (halted: %.0f of %.0f); later by the move %.2f s; share before %.2f, after %.2f; wait %.2f s",
		ghosts, r.sum(func(n *unevenCount) float64 { return float64(n.stayed) }), r.sum(func(n *unevenCount) float64 { return float64(n.haltedWon) }),
		r.sum(func(n *unevenCount) float64 { return float64(n.haltedGhosts) }), r.sum(func(n *unevenCount) float64 { return n.stayGain.Seconds() })/ghosts,
		r.sum(func(n *unevenCount) float64 { return n.before })/ghosts, r.sum(func(n *unevenCount) float64 { return n.after })/ghosts, r.sum(func(n *unevenCount) float64 { return n.wait.Seconds() })/ghosts)
	for _, z := range []string{"z0", "z1", "z2"} {
		length := r.sum(func(n *unevenCount) float64 { return n.zoneLength[z].Seconds() })
		fmt.Fprintf(&b, "\n  %s: %.0f runs, time / length %.2f, latency-critical tasks over target %.2f%%", z, r.sum(func(n *unevenCount) float64 { return float64(n.zoneRuns[z]) }),
			r.sum(func(n *unevenCount) float64 { return n.zoneTime[z].Seconds() })/max(1, length),
			100*r.sum(func(n *unevenCount) float64 { return n.lcOver[z].Seconds() })/max(1, r.sum(func(n *unevenCount) float64 { return n.lcTime[z].Seconds() })))
	}
	return b.String()
}

// quantile returns a quantile of the time that jobs took, as a multiple of their objectives.
func (r *unevenResult) quantile(p float64) float64 {
	if len(r.ratios) == 0 {
		return 0
	}
	slices.Sort(r.ratios)
	return r.ratios[min(len(r.ratios)-1, int(p*float64(len(r.ratios))))]
}

// Callers of best-effort jobs must not get less with the estimates than without them, at any
// load, nor may others pay for it: short jobs, the largest jobs, and latency-critical tasks.
// With -v, this prints the tables of docs/design/uneven.md; UNEVEN_SEEDS sets the number of
// plays.
func TestUnevenWorkers(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	seeds := 8
	if n, err := strconv.Atoi(os.Getenv("UNEVEN_SEEDS")); err == nil {
		seeds = n
	}
	// gains are the sums over all loads: at one load, eight plays have 10 to 60 jobs in the
	// largest tenth, so that chance decides there.
	gains := map[string]float64{}
	for _, load := range []float64{0.6, 0.95, 1.3, 2} {
		before, after := playUneven(load, sched.Limits{}, seeds), playUneven(load, sched.Limits{Uneven: true}, seeds)
		t.Logf("load %v, before:%v", load, before)
		t.Logf("load %v, after:%v", load, after)
		for _, c := range unevenClasses {
			gain := after.results[c].value() - before.results[c].value()
			gains[c] += gain
			if c == "fill" {
				g.Expect(gain).To(BeNumerically(">", -0.02), "best-effort jobs at load %v", load)
			}
		}
		g.Expect(after.overTarget()).To(BeNumerically("<=", before.overTarget()+0.005), "latency-critical tasks over their target at load %v", load)
	}
	g.Expect(gains["fill"]).To(BeNumerically(">", 0.03), "best-effort jobs")
	g.Expect(gains["short"]).To(BeNumerically(">", -0.005), "short jobs")
	large := gains["fill, largest tenth"] + 2*gains["fill, next fifth"]
	g.Expect(large/3).To(BeNumerically(">", 0), "the largest three tenths of the best-effort jobs")
}

// overTarget returns the share of their time that latency-critical tasks are over their target.
func (r unevenRow) overTarget() float64 {
	sum := func(m func(*unevenCount) map[string]time.Duration) float64 {
		return r.sum(func(n *unevenCount) float64 {
			out := 0.0
			for _, d := range m(n) {
				out += d.Seconds()
			}
			return out
		})
	}
	return sum(func(n *unevenCount) map[string]time.Duration { return n.lcOver }) / sum(func(n *unevenCount) map[string]time.Duration { return n.lcTime })
}

// newLearnedCell returns a cell of six workers in which runs on the first three, of one rack and
// zone, have taken twice as long as on the others.
func newLearnedCell(limits sched.Limits) *testCell {
	s := newLimitedCell(limits, testQueues, 64, 64, 64, 64, 64, 64)
	for i, w := range s.workers {
		w.Zone = fmt.Sprint("z", i/3)
	}
	s.advance(tickInterval)
	for i := range 8 {
		s.submit(fmt.Sprintf("%016x", 0xb0+i), "short", work.Step{Count: 48, Size: vect.Size{Cores: 4 * cores, Memory: 10}, Estimate: 1000, Apart: 8})
		for tick := range 20 {
			s.advance(tickInterval)
			for k, w := range s.workers {
				for r, x := range w.runs {
					x.percent += 5
					if k >= 3 && tick == 9 || tick == 19 {
						s.endRun(w, r, work.Done)
					}
				}
			}
		}
	}
	s.advance(tickInterval)
	return s
}

// countSlow counts the tasks of the job a1 on the slow workers.
func (s *testCell) countSlow() int {
	n := 0
	for _, k := range s.tasksPerWorker("00000000000000a1")[:3] {
		n += k
	}
	return n
}

// An owner filled a slow zone as long as it had idle processor time and headroom, although
// faster workers were free.
func TestBestEffortTasksPreferFastWorkers(t *testing.T) {
	for _, on := range []bool{false, true} {
		t.Run(fmt.Sprint("uneven=", on), func(t *testing.T) {
			g := NewWithT(t)
			s := newLearnedCell(sched.Limits{Uneven: on})
			step := bestEffortStep(4)
			step.Count = 12
			s.submit("00000000000000a1", "fill", step)
			s.advance(tickInterval)
			if on {
				g.Expect(s.countSlow()).To(BeZero())
			} else {
				g.Expect(s.countSlow()).To(BeNumerically(">=", 6))
			}
		})
	}
}

// The last tasks of a step stayed on slow workers, and the job waited for them, while faster
// workers had become free. While many tasks wait, these need the fast workers more.
func TestRunsLeaveSlowWorkers(t *testing.T) {
	for _, c := range []struct {
		name    string
		on      bool
		waiting int
		moved   bool
	}{{"free workers", true, 0, true}, {"a backlog", true, 200, false}, {"without the setting", false, 0, false}} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			s := newLearnedCell(sched.Limits{Uneven: c.on})
			s.submit("00000000000000c1", "short", work.Step{Count: 48, Size: vect.Size{Cores: 4 * cores, Memory: 1 << 16}, Estimate: 9000, Needs: "r1"})
			s.advance(tickInterval)
			step := bestEffortStep(4)
			step.Count, step.Estimate = 12, 8000
			s.submit("00000000000000a1", "fill", step)
			s.advance(tickInterval)
			g.Expect(s.countSlow()).To(Equal(12))
			if c.waiting > 0 {
				step.Count = c.waiting
				s.submit("00000000000000a2", "fill", step)
			}
			for range 10 {
				for _, w := range s.workers {
					for _, x := range w.runs {
						x.percent++
						x.measured = 4 * cores
					}
				}
				s.advance(tickInterval)
			}
			g.Expect(s.countMoves("slow")).To(BeZero(), "no other worker can take them")
			for _, w := range s.workers[3:] {
				for r := range w.runs {
					s.endRun(w, r, work.Done)
				}
			}
			s.advance(tickInterval)
			g.Expect(s.countMoves("slow")).To(BeNumerically("<=", 2), "a few at a time")
			s.advance(2 * time.Second)
			g.Expect(s.countMoves("slow") > 0).To(Equal(c.moved))
			if c.moved {
				g.Expect(s.countSlow()).To(BeNumerically("<", 6))
			}
		})
	}
}

// An operator could not see on what a placement or a move was based, nor how old that was.
// Without the setting, nothing is logged or shown that was not before.
func TestEstimatesAreShown(t *testing.T) {
	for _, on := range []bool{false, true} {
		t.Run(fmt.Sprint("uneven=", on), func(t *testing.T) {
			g := NewWithT(t)
			s := newLearnedCell(sched.Limits{Uneven: on})
			s.submit("00000000000000a1", "fill", bestEffortStep(4))
			s.advance(1200 * time.Millisecond)
			lines, weighed := map[string]sched.Decision{}, 0
			for _, d := range s.decisions {
				lines[d.Kind+" "+d.Reason+" "+d.Zone] = d
				if d.Expectation != (sched.Expectation{}) {
					weighed++
				}
			}
			c := s.core.Census()
			if !on {
				g.Expect(weighed).To(BeZero())
				g.Expect(c.SpeedCensus).To(Equal(sched.SpeedCensus{}))
				return
			}
			g.Expect(lines["speed zone z0"].Speed).To(BeNumerically("<", lines["speed zone z1"].Speed))
			g.Expect(lines).To(And(HaveKey("speed slowest z0"), HaveKey("speed least z0")))
			g.Expect(weighed).To(BeNumerically(">=", 8+4), "the placements and the estimates")
			g.Expect(c.Slowest).To(BeNumerically("<", c.Fastest))
			g.Expect(c.LeastShare).To(BeNumerically("<", 1), "the runs get no processor time")
			g.Expect(c.MedianAge).To(And(BeNumerically(">", 0), BeNumerically("<", 3*time.Second)))
		})
	}
}
