package cell_test

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"lagoonrack/internal/cell"
	"lagoonrack/internal/fuzz"
	"lagoonrack/internal/ledger"
	"lagoonrack/internal/plat"
	"lagoonrack/internal/race"
	"lagoonrack/internal/sim"
	"lagoonrack/internal/stand/worker"
	"lagoonrack/internal/vect"
	"lagoonrack/internal/wire"
)

// chaos simulates one random sequence of events in a cell. Owners crash between
// any two effects, are replaced while they still act as the owner, and lose
// answers of the table. Workers pause, restart and lose their connection.
// Messages are delayed, lost, duplicated and reordered.
type chaos struct {
	sim.Loop
	rng     *rand.Rand
	limits  cell.Limits
	table   fakeTable
	owners  []*owner
	workers []*chaosWorker
	// runs holds the intervals in which each task ran, by the workers' clocks.
	runs map[string][]*interval
	// accepted holds the names of the jobs whose acceptance was answered.
	accepted map[string]bool
	// submitted holds the name of the job of each submit by its token.
	submitted   map[uint64]string
	submitCount int
	errs        []string
	// skipLeaseWait makes a new owner not wait for the leases of earlier ones, to
	// show that the check detects it.
	skipLeaseWait bool
	// trace prints each event; it may be nil.
	trace func(format string, args ...any)
}

// fakeTable stands for the platform's table and object store: the ownership row,
// the pages and the newest snapshot.
type fakeTable struct {
	term  uint64
	owner int
	pages []ledger.Page
	// snapshot is the newest snapshot and snapshotSeq its page.
	snapshot    []byte
	snapshotSeq uint64
	downUntil   time.Duration
}

// owner is a process that may own the cell. Its core is nil while it doesn't.
type owner struct {
	*chaos
	index       int
	incarnation int
	term        uint64
	core        *cell.Core
	startedAt   time.Duration
	lastToken   uint64
	answers     map[uint64]func(wire.Orders)
}

type chaosWorker struct {
	*chaos
	index       int
	incarnation int
	inner       *worker.Worker
	pausedUntil time.Duration
	cutUntil    time.Duration
	// target is the index of the owner to which the worker's agent reports.
	target int
}

// interval is the time in which one attempt of a task ran on a worker.
type interval struct {
	worker     string
	attempt    int
	size       vect.Size
	start, end time.Duration
}

const (
	chaosOwners  = 2
	chaosWorkers = 3
	chaosJobs    = 5
	// chaosLength is how long jobs are submitted and faults injected, and
	// chaosSettleTime how long the jobs may then take to end.
	chaosLength     = 6 * time.Second
	chaosSettleTime = 14 * time.Second
	// stillRunning is the end of an interval that has not ended.
	stillRunning = time.Hour
)

var chaosSize = vect.Size{Cores: 2000, Memory: 2048}

func newChaos(seed uint64, skipLeaseWait bool) *chaos {
	c := &chaos{
		rng:           rand.New(rand.NewPCG(seed, 23)),
		runs:          map[string][]*interval{},
		accepted:      map[string]bool{},
		submitted:     map[uint64]string{},
		skipLeaseWait: skipLeaseWait,
		limits: cell.Limits{
			Run:      time.Second,
			Beat:     200 * time.Millisecond,
			Owner:    time.Second,
			Outage:   2 * time.Second,
			Gap:      50 * time.Millisecond,
			Attempts: 3,
			Snap:     4,
			Largest:  []vect.Size{chaosSize},
		},
	}
	for i := range chaosOwners {
		c.owners = append(c.owners, &owner{chaos: c, index: i})
	}
	for i := range chaosWorkers {
		w := &chaosWorker{chaos: c, index: i}
		w.startIncarnation()
		c.workers = append(c.workers, w)
	}
	return c
}

func (c *chaos) fail(format string, a ...any) { c.errs = append(c.errs, fmt.Sprintf(format, a...)) }

func (c *chaos) upTo(d time.Duration) time.Duration { return time.Duration(c.rng.Int64N(int64(d))) }

func (c *chaos) run() {
	c.owners[0].takeOver()
	for _, w := range c.workers {
		c.After(c.upTo(100*time.Millisecond), w.reportLoop)
	}
	c.Every(50*time.Millisecond, func() bool { c.tickAll(); return true })
	for i := range chaosJobs {
		c.After(c.upTo(chaosLength/2), func() { c.submit(i) })
	}
	for range 1 + c.rng.IntN(5) {
		c.After(c.upTo(chaosLength), c.injectFault)
	}
	c.Run(chaosLength)
	// No more faults are injected from here on, and every job has to end.
	c.table.downUntil = 0
	c.Every(time.Second, func() bool { c.restoreWorkers(); return true })
	for c.Now() < chaosLength+chaosSettleTime && !c.allEnded() {
		c.Run(c.Now() + 500*time.Millisecond)
	}
	// The last pages may not be written to the table yet.
	c.Run(c.Now() + time.Second)
	c.verify()
}

// allEnded reports whether every job has ended.
func (c *chaos) allEnded() bool {
	core := c.owners[c.table.owner].core
	if core == nil {
		return false
	}
	for _, j := range core.Jobs() {
		if j.Ended == 0 {
			return false
		}
	}
	return true
}

// restoreWorkers ends the draining of every worker.
func (c *chaos) restoreWorkers() {
	for _, w := range c.workers {
		c.owners[c.table.owner].ask(func(t uint64) cell.Event {
			return cell.Drain{Token: t, Worker: w.inner.Name, Restore: true}
		})
	}
}

func (c *chaos) tickAll() {
	for _, o := range c.owners {
		o.step(o.incarnation, cell.Tick{})
		o.renew()
	}
	// If the cell has no owner, some process takes it over.
	if o := c.owners[c.table.owner]; o.core == nil && c.Now() >= c.table.downUntil {
		c.owners[c.rng.IntN(len(c.owners))].takeOver()
	}
	for _, w := range c.workers {
		if c.Now() >= w.pausedUntil {
			w.inner.Advance(c.Now())
		}
	}
}

func (c *chaos) submit(i int) {
	o := c.owners[c.table.owner]
	if o.core == nil {
		c.After(100*time.Millisecond, func() { c.submit(i) })
		return
	}
	j := wire.Job{
		Name:       fmt.Sprintf("j%d", i),
		Team:       "t",
		Kind:       fmt.Sprintf("k%d", i%2),
		Tasks:      1 + c.rng.IntN(3),
		Size:       vect.Size{Cores: int64(500 + 500*c.rng.IntN(3)), Memory: 512},
		Runtime:    time.Second,
		Actual:     50*time.Millisecond + c.upTo(1500*time.Millisecond),
		Deadline:   time.Minute,
		Idempotent: c.rng.IntN(3) > 0,
		Checkpoint: c.rng.IntN(2) == 0,
		Urgent:     c.rng.IntN(6) == 0,
	}
	o.ask(func(t uint64) cell.Event { return cell.Submit{Token: t, Job: j} })
	if c.rng.IntN(6) == 0 {
		c.After(c.upTo(2*time.Second), func() {
			c.owners[c.table.owner].ask(func(t uint64) cell.Event { return cell.Cancel{Token: t, Name: j.Name} })
		})
	}
}

// injectFault restarts, pauses or cuts off a worker, crashes or replaces an owner,
// makes the table unavailable, has an owner leave, or drains or restores a worker.
func (c *chaos) injectFault() {
	w := c.workers[c.rng.IntN(len(c.workers))]
	o := c.owners[c.rng.IntN(len(c.owners))]
	switch c.rng.IntN(9) {
	case 0:
		w.startIncarnation()
	case 1:
		w.pausedUntil = c.Now() + c.upTo(3*time.Second)
	case 2:
		w.cutUntil = c.Now() + c.upTo(4*time.Second)
	case 3:
		o.crash()
	case 4, 5:
		o.takeOver()
	case 6:
		c.table.downUntil = c.Now() + c.upTo(3*time.Second)
	case 7:
		o.step(o.incarnation, cell.Leave{})
	case 8:
		c.owners[c.table.owner].ask(func(t uint64) cell.Event {
			return cell.Drain{Token: t, Worker: w.inner.Name, Restore: c.rng.IntN(2) == 0}
		})
	}
}

// takeOver makes the process the owner, while another may still act as the owner.
func (o *owner) takeOver() {
	if o.Now() < o.table.downUntil {
		return
	}
	o.crash()
	o.table.term++
	o.table.owner = o.index
	o.term = o.table.term
	o.startedAt = o.Now()
	o.answers = map[uint64]func(wire.Orders){}
	l := o.limits
	if o.skipLeaseWait {
		l.Outage, l.Run = time.Nanosecond, time.Nanosecond
	}
	o.core = cell.New(l, o.term, o.Now().Milliseconds(), o.rng.Uint64(), o.load(), o.table.snapshotSeq)
	o.core.Configure(o.limits)
}

// load returns the state from the snapshot and the pages after it, and checks that
// all pages give the same state.
func (o *owner) load() ledger.Ledger {
	var led, all ledger.Ledger
	if o.table.snapshot != nil {
		if err := led.Decode(o.table.snapshot); err != nil {
			o.fail("snapshot: %v", err)
		}
	}
	for _, p := range o.table.pages {
		applyPage(&all, p)
		if p.Seq > led.Seq {
			applyPage(&led, p)
		}
	}
	a, _ := led.Encode()
	b, _ := all.Encode()
	if !bytes.Equal(a, b) {
		o.fail("a snapshot and the pages after it differ from all pages")
	}
	return led
}

func applyPage(l *ledger.Ledger, p ledger.Page) {
	for _, r := range p.Records {
		l.Apply(r)
	}
	l.Seq = p.Seq
}

func (o *owner) crash() {
	o.incarnation++
	o.core = nil
	o.answers = nil
}

func (o *owner) step(incarnation int, e cell.Event) {
	if incarnation != o.incarnation || o.core == nil {
		return
	}
	core := o.core
	for _, f := range append([]cell.Effect(nil), core.Step(o.Now()-o.startedAt, e)...) {
		if o.Now() < chaosLength && o.rng.IntN(400) == 0 {
			o.crash()
		}
		if incarnation != o.incarnation {
			return
		}
		o.perform(f)
	}
	core.EachLoad(func(worker string, committed, size vect.Size) {
		if !committed.Fits(size) && size != (vect.Size{}) || committed.Negative() {
			o.fail("worker %s: committed %v of %v", worker, committed, size)
		}
	})
}

func (c *chaos) tracef(format string, args ...any) {
	if c.trace != nil {
		c.trace(format, args...)
	}
}

func (o *owner) perform(f cell.Effect) {
	incarnation := o.incarnation
	if _, ok := f.(cell.Snapshot); !ok {
		o.tracef("owner %d term %d: %T %+v", o.index, o.term, f, f)
	}
	switch f := f.(type) {
	case cell.Commit:
		o.After(o.upTo(60*time.Millisecond), func() { o.commit(incarnation, f.Page) })
	case cell.Orders:
		if answer := o.answers[f.Token]; answer != nil {
			answer(f.Orders)
		}
	case cell.Done:
		if name := o.submitted[f.Token]; name != "" && f.Reason == "" {
			o.accepted[name] = true
		}
	case cell.Snapshot:
		o.After(o.upTo(200*time.Millisecond), func() {
			if incarnation == o.incarnation && o.table.term == o.term {
				o.table.snapshot, o.table.snapshotSeq = f.Data, f.Seq
				o.step(incarnation, cell.Saved{Seq: f.Seq})
			}
		})
	case cell.Release:
		o.table.owner = o.index
		o.crash()
	}
}

// commit writes a page if the term is still current. Its answer may be lost, and
// the write is then retried.
func (o *owner) commit(incarnation int, p ledger.Page) {
	if o.Now() < o.table.downUntil {
		o.After(100*time.Millisecond, func() { o.commit(incarnation, p) })
		return
	}
	// The write takes effect even if its sender has crashed meanwhile.
	if o.table.term == p.Term {
		if n := len(o.table.pages); n == 0 || o.table.pages[n-1].Seq < p.Seq {
			o.table.pages = append(o.table.pages, p)
		}
	}
	if incarnation != o.incarnation {
		return
	}
	switch {
	case o.table.term != p.Term:
		o.step(incarnation, cell.Deposed{})
		if incarnation == o.incarnation {
			o.crash()
		}
	case o.rng.IntN(8) == 0:
		o.After(100*time.Millisecond, func() { o.commit(incarnation, p) })
	default:
		o.step(incarnation, cell.Committed{Seq: p.Seq})
	}
}

// renew writes the owner's heartbeat row. A deposed owner detects by it, after a
// random delay, that it was replaced.
func (o *owner) renew() {
	if o.core == nil || o.Now() < o.table.downUntil {
		return
	}
	if o.table.term != o.term {
		if o.rng.IntN(16) == 0 {
			o.step(o.incarnation, cell.Deposed{})
			o.crash()
		}
		return
	}
	o.step(o.incarnation, cell.Held{Sent: int64(o.Now() - o.startedAt)})
}

// ask passes an operator's request to the core. The job of a submit is stored by
// its token, so that its acceptance can be recorded.
func (o *owner) ask(event func(uint64) cell.Event) {
	o.lastToken++
	e := event(uint64(o.submitCount)<<32 | o.lastToken)
	if s, ok := e.(cell.Submit); ok {
		o.submitCount++
		o.submitted[s.Token] = s.Job.Name
	}
	o.step(o.incarnation, e)
}

func (w *chaosWorker) startIncarnation() {
	if w.inner != nil {
		w.endRuns()
	}
	w.incarnation++
	// The first worker never fails tasks, so that every job can end in time.
	name := fmt.Sprintf("w%d", w.index)
	incarnation := w.incarnation
	w.inner = &worker.Worker{Name: name, Incarnation: fmt.Sprint(w.incarnation), Size: chaosSize, Fail: w.index > 0 && w.rng.IntN(12) == 0}
	w.inner.Watch = func(at time.Duration, task string, attempt int, running bool) {
		w.recordRun(incarnation, at, task, attempt, running)
	}
}

// endRuns ends everything that runs on the worker. A task whose lease expired
// during a pause counts as ended at the expiry: the worker checks its clock before
// it lets a task continue.
func (w *chaosWorker) endRuns() {
	w.inner.Advance(w.Now())
	for _, all := range w.runs {
		for _, s := range all {
			if s.worker == w.workerKey(w.incarnation) && s.end == stillRunning {
				s.end = w.Now()
			}
		}
	}
}

func (w *chaosWorker) workerKey(n int) string { return fmt.Sprintf("w%d#%d", w.index, n) }

func (w *chaosWorker) recordRun(incarnation int, at time.Duration, task string, attempt int, running bool) {
	w.tracef("worker %d#%d at %s: %s attempt %d running %v", w.index, incarnation, at, task, attempt, running)
	if running {
		job, _, _ := ledger.ParseTask(task)
		w.runs[task] = append(w.runs[task], &interval{worker: w.workerKey(incarnation), attempt: attempt, size: w.sizeOf(job), start: at, end: stillRunning})
		return
	}
	for _, s := range w.runs[task] {
		if s.worker == w.workerKey(incarnation) && s.attempt == attempt && s.end == stillRunning {
			s.end = at
		}
	}
}

func (c *chaos) sizeOf(job string) vect.Size {
	for _, p := range c.table.pages {
		for _, r := range p.Records {
			if r.Name == job && r.Job != nil {
				return r.Job.Size
			}
		}
	}
	c.fail("job %s runs, but its acceptance is not committed", job)
	return vect.Size{}
}

// reportLoop acts as the worker's agent: it relays a report and the orders that
// answer it, each of which may be delayed, lost or duplicated.
func (w *chaosWorker) reportLoop() {
	w.After(20*time.Millisecond+w.upTo(100*time.Millisecond), w.reportLoop)
	if w.Now() < w.pausedUntil || w.Now() < w.cutUntil {
		return
	}
	if w.rng.IntN(10) == 0 {
		w.target = w.rng.IntN(chaosOwners)
	}
	o := w.owners[w.target]
	if o.core == nil {
		w.target = w.rng.IntN(chaosOwners)
		return
	}
	incarnation := w.incarnation
	rep := w.inner.Poll(w.Now())
	b := wire.Heartbeat{Cell: "c", Worker: w.inner.Name, Report: rep}
	w.deliver(func() { w.receive(o, b, incarnation, rep.Clock) })
}

func (w *chaosWorker) receive(o *owner, b wire.Heartbeat, incarnation int, at time.Duration) {
	if o.core == nil {
		return
	}
	o.lastToken++
	token := 1<<60 | o.lastToken
	o.answers[token] = func(orders wire.Orders) {
		orders.Until = at + orders.Lease
		w.deliver(func() { w.apply(incarnation, orders.Orders) })
	}
	o.step(o.incarnation, cell.Beat{Token: token, Heartbeat: b})
}

func (w *chaosWorker) apply(incarnation int, o plat.Orders) {
	if incarnation != w.incarnation {
		return
	}
	if w.Now() < w.pausedUntil {
		w.At(w.pausedUntil, func() { w.apply(incarnation, o) })
		return
	}
	err := w.inner.Apply(w.Now(), o)
	w.tracef("worker %d applies %+v: %v", w.index, o, err)
}

// deliver calls do once or twice after a random delay, or never.
func (c *chaos) deliver(do func()) {
	for range 1 + c.rng.IntN(8)/7 {
		if c.Now() < chaosLength && c.rng.IntN(12) == 0 {
			continue
		}
		d := c.upTo(20 * time.Millisecond)
		if c.rng.IntN(12) == 0 {
			d = c.upTo(2 * time.Second)
		}
		c.After(d, do)
	}
}

// verify checks the guarantees over the whole sequence: no two attempts of a task
// run at the same time, and attempt numbers grow; verifyLoad and verifyLedger check
// the rest.
func (c *chaos) verify() {
	for _, w := range c.workers {
		// A worker that is still paused also stops tasks whose lease has expired.
		w.inner.Advance(c.Now())
	}
	for task, all := range c.runs {
		slices.SortStableFunc(all, func(a, b *interval) int { return int(a.start - b.start) })
		for i := 1; i < len(all); i++ {
			if all[i].start < all[i-1].end {
				c.fail("task %s: attempt %d on %s from %s, attempt %d on %s until %s", task,
					all[i].attempt, all[i].worker, all[i].start, all[i-1].attempt, all[i-1].worker, all[i-1].end)
			}
			if all[i].attempt <= all[i-1].attempt {
				c.fail("task %s: attempt %d after %d", task, all[i].attempt, all[i-1].attempt)
			}
		}
	}
	c.verifyLoad()
	c.verifyLedger()
}

// verifyLoad checks at each start that the tasks that run on a worker fit its size.
func (c *chaos) verifyLoad() {
	byWorker := map[string][]*interval{}
	for _, all := range c.runs {
		for _, s := range all {
			byWorker[s.worker] = append(byWorker[s.worker], s)
		}
	}
	for name, all := range byWorker {
		for _, s := range all {
			var sum vect.Size
			for _, o := range all {
				if o.start <= s.start && s.start < o.end {
					sum = sum.Add(o.size)
				}
			}
			if !sum.Fits(chaosSize) {
				c.fail("worker %s: %v runs at %s, which is more than its size", name, sum, s.start)
			}
		}
	}
}

// verifyLedger applies all pages and checks that the end of each task is counted
// once, checkpoints don't go back, accepted jobs exist, and every job has ended.
func (c *chaos) verifyLedger() {
	var led ledger.Ledger
	ends := map[string]int{}
	saved := map[string]time.Duration{}
	for _, p := range c.table.pages {
		for _, r := range p.Records {
			fits := led.Apply(r)
			id := ledger.TaskID(r.Name, r.Task)
			if fits && r.Op == ledger.End {
				ends[id]++
			}
			if d, err := time.ParseDuration(r.Saved); err == nil && fits && r.Op == ledger.Requeue {
				if d < saved[id] {
					c.fail("task %s: checkpoint %s after %s", id, d, saved[id])
				}
				saved[id] = d
			}
		}
	}
	for id, n := range ends {
		if n > 1 {
			c.fail("task %s: its end was counted %d times", id, n)
		}
	}
	for name := range c.accepted {
		if led.Jobs[name] == nil {
			c.fail("job %s was accepted but is not in the ledger", name)
		}
	}
	for name, j := range led.Jobs {
		if j.Ended == 0 {
			c.fail("job %s has not ended: %d waiting, %d running, %d done of %d", name, j.Waiting(), j.Running(), j.Done, j.Spec.Tasks)
		}
		if sum := j.Done + j.Failed + j.Lost + j.Dropped; sum > j.Spec.Tasks {
			c.fail("job %s: %d ends of %d tasks", name, sum, j.Spec.Tasks)
		}
	}
}

func runChaos(seed uint64, skipLeaseWait bool) []string {
	c := newChaos(seed, skipLeaseWait)
	c.run()
	return c.errs
}

// TestCellUnderChaos checks the guarantees of verify over random sequences of
// faults.
func TestCellUnderChaos(t *testing.T) {
	n := 100_000
	if race.Enabled || testing.Short() {
		n = 5000
	}
	r := fuzz.Run(n, func(seed uint64) []string { return runChaos(seed, false) })
	NewWithT(t).Expect(r.Failed).To(BeZero(), "%s; all: %d", r.First, r.Seeds)
}

// TestChaosDetectsMissingLeaseWait shows that the checks of the chaos test detect an
// owner that does not wait for the leases of earlier owners.
func TestChaosDetectsMissingLeaseWait(t *testing.T) {
	r := fuzz.Run(500, func(seed uint64) []string { return runChaos(seed, true) })
	NewWithT(t).Expect(r.Failed).To(BeNumerically(">", 0))
}
