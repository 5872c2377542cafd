package sched_test

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"lagoonrack/internal/plat"
	"lagoonrack/internal/race"
	"lagoonrack/internal/sched"
	"lagoonrack/internal/vect"
	"lagoonrack/internal/work"
)

// The world below plays owners, agents and workers in virtual time, loses,
// delays and repeats what they tell one another, and checks what a user sees:
// the runs on the workers and the states that are told.

const (
	pace     = 20 * time.Millisecond
	calmDown = 14 * time.Second
	lease    = 1500 * time.Millisecond
	trust    = 2 * time.Second
	attempts = 3
)

// runner is a worker with its agent.
type runner struct {
	id      string
	addr    string
	born    int64
	up      bool
	leaving bool
	size    vect.Size
	until   time.Duration
	runs    map[work.Run]*running
	top     map[string]int64
	ends    []work.End
	n, seen int64
	// token is the highest term that the worker has seen; it does nothing for a
	// lower one.
	token uint64
	// void is the highest end after which the lease lapsed before it was noted:
	// the users don't count such an end as noted.
	void int64
	// cut says that nothing passes between the agent and owners.
	cut bool
	// agent state
	term    uint64
	word    time.Duration
	heard   bool
	allowed bool
	// process counts the starts of the agent.
	process int64
	// echo is the newest challenge that the process got.
	echo uint64
}

type running struct {
	from, until time.Duration
	fails       bool
	saved       string
	// stops is when a stop that was taken is over, or 0.
	stops time.Duration
}

// started is what is known of a task over all workers.
type history struct {
	live  map[*runner]int64
	fails int
	// spent is the number of failures that were noted.
	spent int
	// noted says that an end as done was noted while its lease held, and at is
	// when that or the last failure was.
	noted bool
	at    time.Duration
	done  bool
}

// owner is a core with what is under way for it.
type owner struct {
	core *sched.Core
	term uint64
	// told is the state of each job that was checked last.
	told map[string]string
	dead bool
}

type world struct {
	t       testing.TB
	rng     *rand.Rand
	now     time.Duration
	rows    map[string][]byte
	title   uint64
	owners  []*owner
	workers []*runner
	later   []event
	jobs    map[string]work.Job
	tasks   map[string]*history
	cancel  map[string]time.Duration
	calm    bool
	// copies says that some steps allow copies of their tasks, and that runs
	// take long now and then and tell their progress.
	copies bool
	broken string
	token  uint64
	tokens map[uint64]func(work.Reply)
	log    []string
}

type event struct {
	at time.Duration
	f  func()
}

func newWorld(t testing.TB, seed uint64) *world {
	w := &world{
		t: t, rng: rand.New(rand.NewPCG(seed, 1)), rows: map[string][]byte{}, jobs: map[string]work.Job{},
		tasks: map[string]*history{}, cancel: map[string]time.Duration{}, tokens: map[uint64]func(work.Reply){},
	}
	for i := range 2 + w.rng.IntN(3) {
		r := &runner{id: fmt.Sprintf("w%d", i), addr: fmt.Sprintf("a%d", i), size: vect.Size{Cores: 4000, Memory: 100}}
		w.rise(r)
		w.workers = append(w.workers, r)
	}
	w.elect()
	return w
}

func (w *world) chance(p float64) bool { return !w.calm && w.rng.Float64() < p }

// verbose has all that happens in a sequence printed. SEED names the sequence,
// and COPIES says that it is one with copies.
var verbose = os.Getenv("SEED") != ""

func (w *world) fail(format string, args ...any) {
	if w.broken == "" {
		w.broken = fmt.Sprintf("%v: ", w.now) + fmt.Sprintf(format, args...)
	}
}

func (w *world) note(format string, args ...any) {
	if verbose {
		w.log = append(w.log, fmt.Sprintf("%v: ", w.now)+fmt.Sprintf(format, args...))
	}
}

func (w *world) after(d time.Duration, f func()) { w.later = append(w.later, event{w.now + d, f}) }

// way is how long a message takes.
func (w *world) way() time.Duration {
	if w.chance(0.05) {
		return time.Duration(w.rng.IntN(900)) * time.Millisecond
	}
	return time.Duration(1+w.rng.IntN(5)) * time.Millisecond
}

func (w *world) config() *work.Config {
	return &work.Config{Version: 1, Queues: []work.Queue{
		{Name: "q0", Service: "s", Attempts: attempts, Stretch: 2, Target: 500},
		{Name: "q1", Service: "s", Attempts: attempts, Stretch: 2, Target: 500, Priority: 2},
	}}
}

// rise starts a new life of a worker.
func (w *world) rise(r *runner) {
	w.die(r)
	r.born++
	r.up, r.leaving = true, false
	r.runs, r.top = map[work.Run]*running{}, map[string]int64{}
	r.ends, r.n, r.seen, r.void, r.token = nil, 0, 0, 0, 0
	r.until = 0
	r.restart()
}

// restart loses what the agent knows.
func (r *runner) restart() {
	r.term, r.heard, r.allowed, r.word = 0, false, false, 0
	r.process++
	r.echo = 0
}

// elect makes a new owner from what is stored.
func (w *world) elect() {
	w.title++
	found := sched.StoredRows{States: map[string]work.State{}}
	for _, k := range slices.Sorted(maps.Keys(w.rows)) {
		v := w.rows[k]
		if k == sched.LearnedKey {
			found.Learned = v
		} else if id, ok := sched.CancelledJob(k); ok {
			found.Cancels = append(found.Cancels, id)
		} else if table, _, id := plat.SplitKey(k); table == sched.StateTable {
			var st work.State
			if err := work.Decode(v, &st); err != nil {
				w.t.Fatal(err)
			}
			found.States[id] = st
		} else {
			var j work.Job
			if err := work.Decode(v, &j); err != nil {
				w.t.Fatal(err)
			}
			found.Jobs = append(found.Jobs, j)
		}
	}
	l := sched.Limits{Lease: lease, OwnerTimeout: trust}
	o := &owner{core: sched.New(l, w.title, w.now, 0, found, w.config()), term: w.title, told: map[string]string{}}
	w.owners = append(w.owners, o)
	w.note("owner %d", o.term)
	w.step(o, sched.Tick{})
}

func (w *world) owner() *owner { return w.owners[len(w.owners)-1] }

// step feeds an owner and carries out what it wants.
func (w *world) step(o *owner, e sched.Event) {
	if o.dead {
		return
	}
	for _, f := range slices.Clone(o.core.Step(w.now, e)) {
		switch f := f.(type) {
		case sched.Commit:
			w.commit(o, f)
		case sched.Send:
			w.send(o, f)
		case sched.Reply:
			if g := w.tokens[f.Token]; g != nil {
				delete(w.tokens, f.Token)
				g(f.Reply)
			}
		case sched.Decision:
			w.note("owner %d %+v", o.term, f)
		}
	}
	w.checkStates(o)
}

func (w *world) commit(o *owner, c sched.Commit) {
	w.after(w.way(), func() {
		if o.term != w.title {
			o.dead = o.dead || w.rng.IntN(2) == 0
			return
		}
		for _, x := range c.Writes {
			if x.Value == nil {
				delete(w.rows, x.Key)
			} else {
				w.rows[x.Key] = x.Value
			}
		}
		w.after(w.way(), func() { w.step(o, sched.Committed{Seq: c.Seq}) })
	})
}

func (w *world) at(addr string) *runner {
	for _, r := range w.workers {
		if r.addr == addr {
			return r
		}
	}
	return nil
}

func (w *world) send(o *owner, s sched.Send) {
	r := w.at(s.Agent)
	if r == nil || w.chance(0.04) {
		return
	}
	w.after(w.way(), func() {
		if r.cut {
			return
		}
		res := w.order(r, s.Order)
		if !w.chance(0.05) {
			w.after(w.way(), func() { w.step(o, sched.Results{Results: res}) })
		}
	})
}

// order is what an agent does with an order.
func (w *world) order(r *runner, o work.Order) work.Results {
	res := work.Results{Life: o.Life, Term: r.term}
	code := work.Code("")
	switch {
	case o.Term < r.term:
		code = work.Fenced
	case o.Life != (work.Life{ID: r.id, Born: r.born}) || !r.up:
		code = work.OtherIncarnation
	}
	if code == "" && o.Term < r.token {
		code = work.Fenced
	}
	if code == "" {
		r.term = o.Term
		r.note(o.Noted, w)
	}
	for _, s := range o.Starts {
		c := code
		switch {
		case c != "":
		case r.leaving:
			c = work.Leaving
		case !r.trusts(w.now) || o.Word.Process != r.process || w.now-o.Word.Sent >= trust:
			c = work.Late
		default:
			c = w.start(r, s, o)
		}
		res.Starts = append(res.Starts, work.Result{Run: s.Run, Code: c})
	}
	for _, s := range o.Stops {
		if code == "" && !w.chance(0.05) {
			w.stop(r, s)
			res.Stops = append(res.Stops, s)
		}
	}
	return res
}

func (r *runner) trusts(now time.Duration) bool { return r.heard && r.allowed && now-r.word < trust }

// note lets ends be forgotten.
func (r *runner) note(n int64, w *world) {
	if r.term < r.token {
		return
	}
	r.token = r.term
	for _, e := range r.ends {
		if e.N <= max(r.seen, r.void) || e.N > n {
			continue
		}
		switch e.How {
		case work.Done:
			w.task(e.Task).noted = true
			w.task(e.Task).at = w.now
		case work.Failed:
			w.task(e.Task).spent++
			w.task(e.Task).at = w.now
		}
	}
	r.seen = max(r.seen, n)
	r.ends = slices.DeleteFunc(r.ends, func(e work.End) bool { return e.N <= r.seen })
}

func (w *world) task(name string) *history {
	h := w.tasks[name]
	if h == nil {
		h = &history{live: map[*runner]int64{}}
		w.tasks[name] = h
	}
	return h
}

// start plays the worker's side of a start, which may be carried out late.
func (w *world) start(r *runner, s work.Start, o work.Order) work.Code {
	until := w.now + lease
	if w.chance(0.05) {
		born := r.born
		w.after(time.Duration(w.rng.IntN(3000))*time.Millisecond, func() {
			if r.born == born && r.up && w.now < until {
				w.launch(r, s, o)
			}
		})
		// The agent calls the run off.
		w.stop(r, s.Run)
		return work.OldRun
	}
	r.until = max(r.until, until)
	return w.launch(r, s, o)
}

func (w *world) launch(r *runner, s work.Start, o work.Order) work.Code {
	if r.runs[s.Run] != nil {
		return work.Started
	}
	if s.Num <= r.top[s.Task] {
		return work.OldRun
	}
	at, _ := work.ParseTaskName(s.Task)
	j := w.jobs[at.Job]
	st := j.Steps[at.Step]
	used := vect.Size{}
	for x := range r.runs {
		p, _ := work.ParseTaskName(x.Task)
		used = used.Add(w.jobs[p.Job].Steps[p.Step].Reserved())
	}
	if !used.Add(st.Reserved()).Fits(r.size) {
		return work.NoCapacity
	}
	w.checkStart(r, s, o, j, at)
	long := time.Duration(100+w.rng.IntN(900)) * time.Millisecond
	if st.Lasts {
		long = time.Duration(2+w.rng.IntN(20)) * time.Second
	}
	if w.copies && !st.Lasts && w.rng.IntN(4) == 0 {
		long *= 6
	}
	r.runs[s.Run] = &running{from: w.now, until: w.now + long, fails: w.chance(0.15), saved: s.Saved}
	w.task(s.Task).live[r] = s.Num
	w.note("start %s run %d on %s by term %d", s.Task, s.Num, r.id, o.Term)
	return work.Started
}

// copyGrace is how long after a noted end the users allow the start of a copy.
const copyGrace = time.Second

func (w *world) checkStart(r *runner, s work.Start, o work.Order, j work.Job, at work.TaskID) {
	h := w.task(s.Task)
	st := j.Steps[at.Step]
	for x, n := range h.live {
		if st.Copies && len(h.live) < 2 {
			break
		}
		w.fail("%s run %d starts on %s while run %d is on %s", s.Task, s.Num, r.id, n, x.id)
	}
	// Copies may be ordered until an end is known for a while.
	known := !st.Copies || w.now-h.at > copyGrace
	if h.noted && !st.Lasts && known {
		w.fail("%s run %d starts after an end as done was noted", s.Task, s.Num)
	}
	if h.spent >= attempts && !st.Lasts && known {
		w.fail("%s run %d starts after %d failures", s.Task, s.Num, h.spent)
	}
	for _, a := range st.After {
		for i := range j.Steps[a].Count {
			if !w.task(work.TaskName(j.ID, at.K, a, i)).done {
				w.fail("%s starts before step %d is done", s.Task, a)
			}
		}
	}
	if t, ok := w.cancel[j.ID]; ok && w.now > t+4*time.Second {
		w.fail("%s starts %v after it was cancelled", s.Task, w.now-t)
	}
	if o.Specs[j.ID] != j.Spec {
		w.fail("%s starts with spec %q", s.Task, o.Specs[j.ID])
	}
}

func (w *world) stop(r *runner, s work.Run) {
	r.top[s.Task] = max(r.top[s.Task], s.Num)
	x := r.runs[s]
	switch {
	case x == nil:
	case w.copies:
		// A stop takes a while, in which the run is listed.
		x.stops = cmp.Or(x.stops, w.now+time.Duration(50+w.rng.IntN(int(stopGrace.Milliseconds())))*time.Millisecond)
	default:
		w.end(r, s, work.Stopped)
	}
}

// stopGrace is the longest time that a stop takes, as on the users' second site.
const stopGrace = 850 * time.Millisecond

// end ends a run on a worker.
func (w *world) end(r *runner, s work.Run, how work.EndReason) {
	delete(r.runs, s)
	h := w.task(s.Task)
	delete(h.live, r)
	r.top[s.Task] = max(r.top[s.Task], s.Num)
	if how == work.Done {
		h.done = true
	}
	w.together(s, how)
	if how == work.Failed {
		h.fails++
	}
	r.n++
	r.ends = append(r.ends, work.End{N: r.n, Run: s, How: how})
	w.note("end %s run %d on %s: %s", s.Task, s.Num, r.id, how)
}

// together ends the other members of a gang: they end well together, and are
// broken otherwise.
func (w *world) together(s work.Run, how work.EndReason) {
	at, _ := work.ParseTaskName(s.Task)
	st := w.jobs[at.Job].Steps[at.Step]
	if !st.Gang {
		return
	}
	if how != work.Done {
		how = work.Broken
	}
	for i := range st.Count {
		x := work.Run{Task: work.TaskName(at.Job, at.K, at.Step, i), Num: s.Num}
		if how == work.Done {
			w.task(x.Task).done = true
		}
		for _, r := range w.workers {
			if r.runs[x] != nil {
				w.end(r, x, how)
			}
		}
	}
}

// checkStates checks what an owner tells of jobs.
func (w *world) checkStates(o *owner) {
	for id, j := range w.jobs {
		s := o.core.State(id)
		if o.told[id] == s {
			continue
		}
		o.told[id] = s
		switch s {
		case "completed":
			for x, st := range j.Steps {
				for i := range st.Count {
					if !w.task(work.TaskName(id, 0, x, i)).done {
						w.fail("job %s is told as completed, but step %d task %d is not done", id, x, i)
					}
				}
			}
		case "failed":
			if w.mostFailures(j) < attempts {
				w.fail("job %s is told as failed without cause", id)
			}
		}
	}
}

// mostFailures is the most failed runs of a task or a gang of a job.
func (w *world) mostFailures(j work.Job) int {
	most := 0
	for x, st := range j.Steps {
		sum := 0
		for i := range st.Count {
			n := w.task(work.TaskName(j.ID, 0, x, i)).fails
			most = max(most, n)
			sum += n
		}
		if st.Gang {
			most = max(most, sum)
		}
	}
	return most
}

// report is an agent's report to the newest owner it can reach.
func (w *world) report(r *runner) {
	if r.cut || !r.up || w.chance(0.05) {
		return
	}
	o := w.owner()
	if w.chance(0.05) && len(w.owners) > 1 {
		o = w.owners[w.rng.IntN(len(w.owners))]
	}
	rep := work.Report{
		Word:  work.ReportID{Process: r.process, Sent: w.now, Echo: r.echo},
		Agent: r.addr, Listed: true, Unix: w.now.Milliseconds(),
		Worker: work.Worker{Life: work.Life{ID: r.id, Born: r.born}, Service: "s", Size: r.size, Leaving: r.leaving, Remaining: 2000},
		Ends:   slices.Clone(r.ends),
	}
	for _, x := range slices.SortedFunc(maps.Keys(r.runs), func(a, b work.Run) int { return slices.Compare([]byte(a.Task), []byte(b.Task)) }) {
		percent := 100
		if y := r.runs[x]; w.copies && y.until > y.from {
			percent = int(100 * (w.now - y.from) / (y.until - y.from))
		}
		rep.Running = append(rep.Running, work.Running{Run: x, Percent: percent})
	}
	sent, born, process := w.now, r.born, r.process
	w.after(w.way(), func() {
		if o.dead {
			return
		}
		w.token++
		token := w.token
		w.tokens[token] = func(rpl work.Reply) {
			w.after(w.way(), func() {
				if rpl.Challenge == 0 {
					w.replied(r, rpl, sent, born)
				} else if r.process == process && !r.cut {
					r.echo = rpl.Challenge
				}
			})
		}
		w.step(o, sched.Report{Token: token, Report: rep})
	})
}

func (w *world) replied(r *runner, rpl work.Reply, sent time.Duration, born int64) {
	if r.cut || rpl.Term < r.term || r.born != born || !r.up {
		return
	}
	r.term = rpl.Term
	r.heard, r.word = true, max(r.word, sent)
	r.allowed = rpl.Renew
	r.note(rpl.Noted, w)
}

// tick lets time pass for a worker.
func (w *world) tick(r *runner) {
	if !r.up {
		return
	}
	if w.now > r.until {
		r.void = r.n
	}
	if r.trusts(w.now) && r.term >= r.token && int(w.now/pace)%10 == 0 {
		r.until = max(r.until, w.now+lease)
	}
	for _, s := range slices.SortedFunc(maps.Keys(r.runs), func(a, b work.Run) int { return slices.Compare([]byte(a.Task), []byte(b.Task)) }) {
		x := r.runs[s]
		switch {
		case x == nil:
			// It ended together with its gang.
		case w.now > r.until:
			w.end(r, s, work.LeaseExpired)
		case x.stops > 0 && w.now >= x.stops:
			w.end(r, s, work.Stopped)
		case w.now >= x.until && x.fails:
			w.end(r, s, work.Failed)
		case w.now >= x.until:
			w.end(r, s, work.Done)
		}
	}
}

func (w *world) die(r *runner) {
	r.up = false
	for s := range r.runs {
		delete(w.task(s.Task).live, r)
	}
	r.runs = map[work.Run]*running{}
}

// trouble plays one random fault.
func (w *world) trouble() {
	r := w.workers[w.rng.IntN(len(w.workers))]
	switch w.rng.IntN(8) {
	case 0:
		w.die(r)
		w.after(time.Duration(w.rng.IntN(4000))*time.Millisecond, func() {
			if !r.up {
				w.rise(r)
			}
		})
	case 1:
		r.cut = true
		w.after(time.Duration(w.rng.IntN(6000))*time.Millisecond, func() { r.cut = false })
	case 2, 3:
		r.restart()
	case 4:
		r.leaving = true
		w.after(2*time.Second, func() { w.die(r); w.after(time.Second, func() { w.rise(r) }) })
	case 5, 6:
		old := w.owner()
		w.elect()
		if w.rng.IntN(3) > 0 {
			old.dead = true
		}
	case 7:
		for _, id := range slices.Sorted(maps.Keys(w.jobs)) {
			if w.rng.IntN(3) == 0 {
				w.withdraw(id)
			}
		}
	}
}

func (w *world) withdraw(id string) {
	if _, ok := w.cancel[id]; ok {
		return
	}
	w.cancel[id] = w.now
	w.rows[sched.CancelKey(id)] = []byte{1}
	w.after(w.way(), func() { w.step(w.owner(), sched.Cancel{ID: id}) })
}

func (w *world) submit(i int) {
	j := work.Job{ID: fmt.Sprintf("%016x", i), Queue: "q" + strconv.Itoa(w.rng.IntN(2)), Service: "s", Spec: fmt.Sprint("spec", i), At: w.now.Milliseconds()}
	for x := range 1 + w.rng.IntN(3) {
		s := work.Step{Count: 1 + w.rng.IntN(3), Size: vect.Size{Cores: int64(200 + w.rng.IntN(1500)), Memory: 5}, Estimate: 500}
		if x > 0 && w.rng.IntN(2) == 0 {
			s.After = []int{x - 1}
		}
		s.Lasts = w.rng.IntN(8) == 0 && x == 0
		s.Fills = !s.Lasts && w.rng.IntN(4) == 0
		s.Saves = s.Fills
		s.Gang = !s.Lasts && w.rng.IntN(8) == 0
		s.Copies = w.copies && !s.Lasts && !s.Gang && !s.Fills
		j.Steps = append(j.Steps, s)
	}
	w.jobs[j.ID] = j
	w.note("job %s %+v", j.ID, j.Steps)
	data, err := work.Encode(j)
	if err != nil {
		w.t.Fatal(err)
	}
	w.rows[sched.JobKey(j.ID)] = data
	w.after(w.way(), func() { w.step(w.owner(), sched.Submit{Job: j}) })
}

// advance plays the world until a time.
func (w *world) advance(until time.Duration, busy func()) {
	for w.now < until && w.broken == "" && !w.settled() {
		w.now += pace
		due := w.later
		w.later = nil
		for _, e := range due {
			if e.at <= w.now {
				e.f()
			} else {
				w.later = append(w.later, e)
			}
		}
		for i, r := range w.workers {
			w.tick(r)
			if int(w.now/pace)%10 == i {
				w.report(r)
			}
		}
		if int(w.now/pace)%5 == 0 {
			for _, o := range w.owners {
				w.step(o, sched.Tick{})
			}
		}
		busy()
	}
}

// settled reports, now and then in a calm time, whether all is done that can be.
func (w *world) settled() bool {
	if !w.calm || int(w.now/pace)%settleSteps != 0 {
		return false
	}
	return w.unfinished() == ""
}

const settleSteps = 25

// play runs one sequence: troubles, then calm, in which all that can be done
// has to be done.
func play(t testing.TB, seed uint64, copies bool) string {
	w := newWorld(t, seed)
	w.copies = copies
	n := 0
	w.advance(6*time.Second, func() {
		if w.rng.IntN(25) == 0 && n < 12 {
			n++
			w.submit(n)
		}
		if w.rng.IntN(60) == 0 {
			w.trouble()
		}
	})
	w.calm = true
	for _, o := range w.owners[:len(w.owners)-1] {
		o.dead = true
	}
	// Lasting jobs would keep the room for ever.
	for _, id := range slices.Sorted(maps.Keys(w.jobs)) {
		if w.jobs[id].Steps[0].Lasts {
			w.withdraw(id)
		}
	}
	// What an entry could not tell the owner is read from the store.
	for _, id := range slices.Sorted(maps.Keys(w.jobs)) {
		w.step(w.owner(), sched.Submit{Job: w.jobs[id]})
		if _, ok := w.cancel[id]; ok {
			w.step(w.owner(), sched.Cancel{ID: id})
		}
	}
	calm := calmDown
	if copies {
		// Runs that are long take six times as long as the others.
		calm *= 3
	}
	w.advance(6*time.Second+calm, func() {})
	if w.broken == "" {
		w.checkEnd()
	}
	if w.broken != "" && verbose {
		for _, l := range w.log {
			t.Log(l)
		}
	}
	return w.broken
}

// checkEnd checks that nothing that could be done is left over.
func (w *world) checkEnd() {
	if id := w.unfinished(); id != "" {
		w.fail("job %s is %q after a calm time; the workers run %v", id, w.owner().core.State(id), w.load())
	}
}

// unfinished returns a job that could be done and is not, or nothing.
func (w *world) unfinished() string {
	for _, id := range slices.Sorted(maps.Keys(w.jobs)) {
		state := w.owner().core.State(id)
		lasts := slices.ContainsFunc(w.jobs[id].Steps, func(s work.Step) bool { return s.Lasts })
		if _, ok := w.cancel[id]; ok || lasts {
			continue
		}
		if state != "completed" && state != "failed" {
			return id
		}
	}
	return ""
}

// load lists what runs on each worker.
func (w *world) load() map[string][]work.Run {
	out := map[string][]work.Run{}
	for _, r := range w.workers {
		out[r.id] = slices.Collect(maps.Keys(r.runs))
	}
	return out
}

// sequences is the number of seeds in one run of the test, divided among shards
// that run side by side. SEQUENCES sets another number.
const (
	sequences = 6000
	shards    = 6
	// raceShare is how many times fewer are played under the race detector.
	raceShare = 10
)

func TestChaos(t *testing.T) {
	if s := os.Getenv("SEED"); s != "" {
		seed, err := strconv.ParseUint(s, 10, 64)
		if err != nil {
			t.Fatal(err)
		}
		if b := play(t, seed, os.Getenv("COPIES") != ""); b != "" {
			t.Fatalf("seed %d: %s", seed, b)
		}
		return
	}
	n := uint64(sequences)
	if race.Enabled {
		n /= raceShare
	}
	if s := os.Getenv("SEQUENCES"); s != "" {
		var err error
		if n, err = strconv.ParseUint(s, 10, 64); err != nil {
			t.Fatal(err)
		}
	}
	playAll(t, n, false)
}

// TestChaosOfCopies plays jobs whose tasks may run twice at a time.
func TestChaosOfCopies(t *testing.T) {
	n := uint64(sequences / 2)
	if race.Enabled {
		n /= raceShare
	}
	playAll(t, n, true)
}

func playAll(t *testing.T, n uint64, copies bool) {
	for shard := range uint64(shards) {
		t.Run(fmt.Sprint("shard ", shard), func(t *testing.T) {
			t.Parallel()
			for seed := shard; seed < n; seed += shards {
				if b := play(t, seed, copies); b != "" {
					t.Fatalf("seed %d: %s", seed, b)
				}
			}
		})
	}
}
