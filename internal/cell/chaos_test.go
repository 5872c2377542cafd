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

// chaos is one sequence of events over a cell: owners crash between any two
// effects, are replaced while they still believe in their cell, and lose
// answers of the table; workers pause, are replaced and are cut off; messages
// are late, lost, repeated and reordered.
type chaos struct {
	sim.Loop
	rng     *rand.Rand
	limits  cell.Limits
	table   fakeTable
	owners  []*owner
	workers []*chaosWorker
	// runs holds the spans in which each task ran, by the workers' clocks.
	runs map[string][]*span
	// accepted holds the jobs whose acceptance was answered.
	accepted map[string]bool
	// asked holds the job of each submit by its token.
	asked   map[uint64]string
	submits int
	bad     []string
	// blind makes a new owner wait for no lease, to show that the check can
	// fail.
	blind bool
	// trace prints what happens; it may be nil.
	trace func(format string, args ...any)
}

// fakeTable is what the platform keeps: the title and the pages.
type fakeTable struct {
	term  uint64
	owner int
	pages []ledger.Page
	// snap is the newest snapshot and seq its page.
	snap []byte
	seq  uint64
	down time.Duration
}

// owner is a process that may own the cell.
type owner struct {
	*chaos
	index int
	life  int
	term  uint64
	core  *cell.Core
	start time.Duration
	next  uint64
	beats map[uint64]func(wire.Orders)
}

type chaosWorker struct {
	*chaos
	index  int
	life   int
	inner  *worker.Worker
	paused time.Duration
	cut    time.Duration
	// target is the owner that the agent beside the worker turns to.
	target int
}

type span struct {
	worker     string
	attempt    int
	size       vect.Size
	start, end time.Duration
}

const (
	chaosOwners  = 2
	chaosWorkers = 3
	chaosJobs    = 5
	chaosLength  = 6 * time.Second
	chaosTail    = 14 * time.Second
	forever      = time.Hour
)

var chaosSize = vect.Size{Cores: 2000, Memory: 2048}

func newChaos(seed uint64, blind bool) *chaos {
	c := &chaos{
		rng:      rand.New(rand.NewPCG(seed, 23)),
		runs:     map[string][]*span{},
		accepted: map[string]bool{},
		asked:    map[uint64]string{},
		blind:    blind,
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
		w.boot()
		c.workers = append(c.workers, w)
	}
	return c
}

func (c *chaos) fail(format string, args ...any) { c.bad = append(c.bad, fmt.Sprintf(format, args...)) }

func (c *chaos) upTo(d time.Duration) time.Duration { return time.Duration(c.rng.Int64N(int64(d))) }

func (c *chaos) run() {
	c.owners[0].takeOver()
	for _, w := range c.workers {
		c.After(c.upTo(100*time.Millisecond), w.loop)
	}
	c.Every(50*time.Millisecond, func() bool { c.ticks(); return true })
	for i := range chaosJobs {
		c.After(c.upTo(chaosLength/2), func() { c.submit(i) })
	}
	for range 1 + c.rng.IntN(5) {
		c.After(c.upTo(chaosLength), c.disturb)
	}
	c.Run(chaosLength)
	// From here on nothing new goes wrong, and everything has to end.
	c.table.down = 0
	c.Every(time.Second, func() bool { c.restore(); return true })
	for c.Now() < chaosLength+chaosTail && !c.over() {
		c.Run(c.Now() + 500*time.Millisecond)
	}
	// The last pages are still on their way to the table.
	c.Run(c.Now() + time.Second)
	c.verify()
}

// over reports whether every job has ended.
func (c *chaos) over() bool {
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

// restore uses every worker again.
func (c *chaos) restore() {
	for _, w := range c.workers {
		c.owners[c.table.owner].ask(func(t uint64) cell.Event {
			return cell.Drain{Token: t, Worker: w.inner.Name, Off: true}
		})
	}
}

func (c *chaos) ticks() {
	for _, o := range c.owners {
		o.step(o.life, cell.Tick{})
		o.head()
	}
	// The cell never stays without an owner.
	if o := c.owners[c.table.owner]; o.core == nil && c.Now() >= c.table.down {
		c.owners[c.rng.IntN(len(c.owners))].takeOver()
	}
	for _, w := range c.workers {
		if c.Now() >= w.paused {
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

func (c *chaos) disturb() {
	w := c.workers[c.rng.IntN(len(c.workers))]
	o := c.owners[c.rng.IntN(len(c.owners))]
	switch c.rng.IntN(9) {
	case 0:
		w.boot()
	case 1:
		w.paused = c.Now() + c.upTo(3*time.Second)
	case 2:
		w.cut = c.Now() + c.upTo(4*time.Second)
	case 3:
		o.crash()
	case 4, 5:
		o.takeOver()
	case 6:
		c.table.down = c.Now() + c.upTo(3*time.Second)
	case 7:
		o.step(o.life, cell.Leave{})
	case 8:
		c.owners[c.table.owner].ask(func(t uint64) cell.Event {
			return cell.Drain{Token: t, Worker: w.inner.Name, Off: c.rng.IntN(2) == 0}
		})
	}
}

// takeOver makes the process the owner, while another may still believe it is.
func (o *owner) takeOver() {
	if o.Now() < o.table.down {
		return
	}
	o.crash()
	o.table.term++
	o.table.owner = o.index
	o.term = o.table.term
	o.start = o.Now()
	o.beats = map[uint64]func(wire.Orders){}
	l := o.limits
	if o.blind {
		l.Outage, l.Run = time.Nanosecond, time.Nanosecond
	}
	o.core = cell.New(l, o.term, o.Now().Milliseconds(), o.rng.Uint64(), o.load(), o.table.seq)
	o.core.Configure(o.limits)
}

// load folds the snapshot and the pages after it, and compares that with the
// fold of all pages.
func (o *owner) load() ledger.Ledger {
	var led, all ledger.Ledger
	if o.table.snap != nil {
		if err := led.Decode(o.table.snap); err != nil {
			o.fail("snapshot: %v", err)
		}
	}
	for _, p := range o.table.pages {
		fold(&all, p)
		if p.Seq > led.Seq {
			fold(&led, p)
		}
	}
	a, _ := led.Encode()
	b, _ := all.Encode()
	if !bytes.Equal(a, b) {
		o.fail("a snapshot and the pages after it differ from all pages")
	}
	return led
}

func fold(l *ledger.Ledger, p ledger.Page) {
	for _, r := range p.Records {
		l.Apply(r)
	}
	l.Seq = p.Seq
}

func (o *owner) crash() {
	o.life++
	o.core = nil
	o.beats = nil
}

func (o *owner) step(life int, e cell.Event) {
	if life != o.life || o.core == nil {
		return
	}
	core := o.core
	for _, f := range append([]cell.Effect(nil), core.Step(o.Now()-o.start, e)...) {
		if o.Now() < chaosLength && o.rng.IntN(400) == 0 {
			o.crash()
		}
		if life != o.life {
			return
		}
		o.do(f)
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

func (o *owner) do(f cell.Effect) {
	life := o.life
	if _, ok := f.(cell.Snapshot); !ok {
		o.tracef("owner %d term %d: %T %+v", o.index, o.term, f, f)
	}
	switch f := f.(type) {
	case cell.Commit:
		o.After(o.upTo(60*time.Millisecond), func() { o.commit(life, f.Page) })
	case cell.Orders:
		if answer := o.beats[f.Token]; answer != nil {
			answer(f.Orders)
		}
	case cell.Done:
		if name := o.asked[f.Token]; name != "" && f.Reason == "" {
			o.accepted[name] = true
		}
	case cell.Snapshot:
		o.After(o.upTo(200*time.Millisecond), func() {
			if life == o.life && o.table.term == o.term {
				o.table.snap, o.table.seq = f.Data, f.Seq
				o.step(life, cell.Saved{Seq: f.Seq})
			}
		})
	case cell.Release:
		o.table.owner = o.index
		o.crash()
	}
}

// commit writes a page if the term is still in force. Its answer may be lost,
// and the write is then repeated.
func (o *owner) commit(life int, p ledger.Page) {
	if o.Now() < o.table.down {
		o.After(100*time.Millisecond, func() { o.commit(life, p) })
		return
	}
	// The write takes effect even if its sender has died meanwhile.
	if o.table.term == p.Term {
		if n := len(o.table.pages); n == 0 || o.table.pages[n-1].Seq < p.Seq {
			o.table.pages = append(o.table.pages, p)
		}
	}
	if life != o.life {
		return
	}
	switch {
	case o.table.term != p.Term:
		o.step(life, cell.Deposed{})
		if life == o.life {
			o.crash()
		}
	case o.rng.IntN(8) == 0:
		o.After(100*time.Millisecond, func() { o.commit(life, p) })
	default:
		o.step(life, cell.Committed{Seq: p.Seq})
	}
}

// head writes the sign of life. A deposed owner learns by it, some time later,
// that it is one.
func (o *owner) head() {
	if o.core == nil || o.Now() < o.table.down {
		return
	}
	if o.table.term != o.term {
		if o.rng.IntN(16) == 0 {
			o.step(o.life, cell.Deposed{})
			o.crash()
		}
		return
	}
	o.step(o.life, cell.Held{Sent: int64(o.Now() - o.start)})
}

// ask passes an operator's request whose acceptance is noted by its job.
func (o *owner) ask(event func(uint64) cell.Event) {
	o.next++
	e := event(uint64(o.submits)<<32 | o.next)
	if s, ok := e.(cell.Submit); ok {
		o.submits++
		o.asked[s.Token] = s.Job.Name
	}
	o.step(o.life, e)
}

func (w *chaosWorker) boot() {
	if w.inner != nil {
		w.kill()
	}
	w.life++
	// The first worker is sound, so that every job can end in time.
	name := fmt.Sprintf("w%d", w.index)
	life := w.life
	w.inner = &worker.Worker{Name: name, Incarnation: fmt.Sprint(w.life), Size: chaosSize, Fail: w.index > 0 && w.rng.IntN(12) == 0}
	w.inner.Watch = func(at time.Duration, task string, attempt int, running bool) {
		w.watch(life, at, task, attempt, running)
	}
}

// kill ends everything that runs on the worker. What had outlived its lease
// during a pause ended with the lease: the worker looks at its clock before it
// lets a task go on.
func (w *chaosWorker) kill() {
	w.inner.Advance(w.Now())
	for _, all := range w.runs {
		for _, s := range all {
			if s.worker == w.key(w.life) && s.end == forever {
				s.end = w.Now()
			}
		}
	}
}

func (w *chaosWorker) key(life int) string { return fmt.Sprintf("w%d#%d", w.index, life) }

func (w *chaosWorker) watch(life int, at time.Duration, task string, attempt int, running bool) {
	w.tracef("worker %d#%d at %s: %s attempt %d running %v", w.index, life, at, task, attempt, running)
	if running {
		job, _, _ := ledger.ParseTask(task)
		w.runs[task] = append(w.runs[task], &span{worker: w.key(life), attempt: attempt, size: w.sizeOf(job), start: at, end: forever})
		return
	}
	for _, s := range w.runs[task] {
		if s.worker == w.key(life) && s.attempt == attempt && s.end == forever {
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

// loop is the agent beside the worker: it relays a report and the orders that
// answer it, each of which may be late, lost or repeated.
func (w *chaosWorker) loop() {
	w.After(20*time.Millisecond+w.upTo(100*time.Millisecond), w.loop)
	if w.Now() < w.paused || w.Now() < w.cut {
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
	life := w.life
	rep := w.inner.Poll(w.Now())
	b := wire.Heartbeat{Cell: "c", Worker: w.inner.Name, Report: rep}
	w.carry(func() { w.arrive(o, b, life, rep.Clock) })
}

func (w *chaosWorker) arrive(o *owner, b wire.Heartbeat, life int, at time.Duration) {
	if o.core == nil {
		return
	}
	o.next++
	token := 1<<60 | o.next
	o.beats[token] = func(orders wire.Orders) {
		orders.Until = at + orders.Lease
		w.carry(func() { w.apply(life, orders.Orders) })
	}
	o.step(o.life, cell.Beat{Token: token, Heartbeat: b})
}

func (w *chaosWorker) apply(life int, o plat.Orders) {
	if life != w.life {
		return
	}
	if w.Now() < w.paused {
		w.At(w.paused, func() { w.apply(life, o) })
		return
	}
	err := w.inner.Apply(w.Now(), o)
	w.tracef("worker %d applies %+v: %v", w.index, o, err)
}

func (c *chaos) carry(do func()) {
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

// verify checks the promises on jobs over the whole sequence.
func (c *chaos) verify() {
	for _, w := range c.workers {
		// A worker that is paused to the end has kept to its leases too.
		w.inner.Advance(c.Now())
	}
	for task, all := range c.runs {
		slices.SortStableFunc(all, func(a, b *span) int { return int(a.start - b.start) })
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

// verifyLoad checks at each start that what runs on a worker fits its size.
func (c *chaos) verifyLoad() {
	byWorker := map[string][]*span{}
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
				c.fail("worker %s: %v runs at %s, which is more than it has", name, sum, s.start)
			}
		}
	}
}

// verifyLedger folds all pages: each task's end is counted once, accepted jobs
// are there, and every job has ended.
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
			c.fail("job %s was accepted and forgotten", name)
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

func chaosRun(seed uint64, blind bool) []string {
	c := newChaos(seed, blind)
	c.run()
	return c.bad
}

func TestCellUnderChaos(t *testing.T) {
	n := 100_000
	if race.Enabled || testing.Short() {
		n = 5000
	}
	r := fuzz.Run(n, func(seed uint64) []string { return chaosRun(seed, false) })
	NewWithT(t).Expect(r.Failed).To(BeZero(), "%s; all: %d", r.First, r.Seeds)
}

// TestChaosCanFail shows that the check sees an owner that waits for no lease.
func TestChaosCanFail(t *testing.T) {
	r := fuzz.Run(500, func(seed uint64) []string { return chaosRun(seed, true) })
	NewWithT(t).Expect(r.Failed).To(BeNumerically(">", 0))
}
