package runner

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lagoonrack/internal/clock"
	"lagoonrack/internal/plat"
	"lagoonrack/internal/sched"
	"lagoonrack/internal/tally"
	"lagoonrack/internal/work"
)

func TestOrders(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "an agent's orders")
}

// mute is a worker that answers the starts of a job only once the test lets it.
type mute struct {
	mu     sync.Mutex
	called []work.Run
	// let is closed when the starts of the muted job are answered.
	let chan struct{}
}

const (
	mutedJob = "00000000000000aa"
	otherJob = "00000000000000bb"
	patient  = 5 * time.Second
)

func (m *mute) start(_ context.Context, s plat.StartRun) (plat.Answer, error) {
	m.mu.Lock()
	m.called = append(m.called, s.Run)
	m.mu.Unlock()
	if jobOf(s.Task) == mutedJob {
		<-m.let
	}
	return plat.Answer{Code: work.Started}, nil
}

func (m *mute) starts(r work.Run) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Contains(m.called, r)
}

// newAgent returns an agent that has heard its owner, beside a worker.
func newAgent(m *mute) *Runner {
	taken := func(context.Context, plat.StopRun) (plat.Answer, error) {
		return plat.Answer{Code: work.Started}, nil
	}
	r := &Runner{Clock: clock.New(), Tally: &tally.Set{}, Runtime: plat.Runtime{Start: m.start, Stop: taken}}
	r.ctx, r.cancel = context.WithCancel(context.Background())
	DeferCleanup(r.cancel)
	r.Limits = sched.Limits{}.WithDefaults()
	r.reset(work.Worker{Life: work.Life{ID: "w", Born: 1}})
	now := r.Clock.Now()
	r.term, r.owner = 1, "owner"
	r.lease.confirmed(now, true, false)
	r.lease.sync(now, time.Second)
	return r
}

// queued reports whether the start of a run was ordered.
func (r *Runner) queued(x work.Run) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.orders[x] != nil
}

func run(job string, index int) work.Run {
	return work.Run{Task: work.TaskName(job, 0, 0, index), Num: 1}
}

// ordered returns an order of the owner that starts and stops runs.
func ordered(r *Runner, starts, stops []work.Run) work.Order {
	o := work.Order{Term: 1, Owner: "owner", Life: r.worker.Life, Word: work.ReportID{Process: r.Clock.Epoch(), Sent: r.Clock.Now()}, Stops: stops}
	for _, s := range starts {
		o.Starts = append(o.Starts, work.Start{About: work.About{Run: s}})
	}
	return o
}

func codesOf(res work.Results) []string {
	var out []string
	for _, s := range res.Starts {
		out = append(out, fmt.Sprintf("%s %s", jobOf(s.Task), s.Code))
	}
	return out
}

// The day "late" of the Burgwacht site (seed 108838450426) had 21 starts at one
// worker, a third of which got no answer. One that waited for its turn for two
// seconds was sent 1.5 s after the owner had stopped it.
var _ = Describe("a start that waits for its turn at an agent", func() {
	var m *mute
	var r *Runner
	muted := make([]work.Run, abreast)
	for i := range muted {
		muted[i] = run(mutedJob, i)
	}
	waits := run(otherJob, 0)
	BeforeEach(func() {
		m = &mute{let: make(chan struct{})}
		r = newAgent(m)
	})

	// block has all slots taken by starts that get no answer.
	block := func() {
		go r.order(ordered(r, muted, nil))
		for _, x := range muted {
			Eventually(func() bool { return m.starts(x) }, patient).Should(BeTrue())
		}
	}

	It("is not sent once its run was stopped", func() {
		r.slotHold = time.Hour
		block()
		done := make(chan work.Results, 1)
		go func() { done <- r.order(ordered(r, []work.Run{waits}, nil)) }()
		Eventually(func() bool { return r.queued(waits) }, patient).Should(BeTrue())
		Expect(r.order(ordered(r, nil, []work.Run{waits})).Stops).To(ConsistOf(waits))
		close(m.let)
		var res work.Results
		Eventually(done, patient).Should(Receive(&res))
		Expect(codesOf(res)).To(ConsistOf(otherJob + " " + string(work.Late)))
		Expect(m.starts(waits)).To(BeFalse())
	})
	It("is not sent if its order comes after that of its stop", func() {
		o := ordered(r, []work.Run{waits}, nil)
		r.order(ordered(r, nil, []work.Run{waits}))
		Expect(codesOf(r.order(o))).To(ConsistOf(otherJob + " " + string(work.Late)))
		Expect(m.starts(waits)).To(BeFalse())
	})
	It("does not wait for calls that get no answer", func() {
		block()
		go r.order(ordered(r, []work.Run{waits}, nil))
		Eventually(func() bool { return m.starts(waits) }, patient).Should(BeTrue())
		close(m.let)
	})
})
