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
	RunSpecs(t, "runner")
}

// blockingWorker is a worker that does not answer the starts of blockedJob until the
// test allows it.
type blockingWorker struct {
	mu         sync.Mutex
	startCalls []work.Run
	// release is closed to let the starts of blockedJob be answered.
	release chan struct{}
}

const (
	blockedJob  = "00000000000000aa"
	otherJob    = "00000000000000bb"
	pollTimeout = 5 * time.Second
)

func (m *blockingWorker) start(_ context.Context, s plat.StartRun) (plat.Answer, error) {
	m.mu.Lock()
	m.startCalls = append(m.startCalls, s.Run)
	m.mu.Unlock()
	if jobOf(s.Task) == blockedJob {
		<-m.release
	}
	return plat.Answer{Code: work.Started}, nil
}

// startCalled reports whether the worker was called to start a run.
func (m *blockingWorker) startCalled(r work.Run) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Contains(m.startCalls, r)
}

// newRunner returns a runner that has had contact with its owner and its worker, and
// may renew the lease.
func newRunner(m *blockingWorker) *Runner {
	stop := func(context.Context, plat.StopRun) (plat.Answer, error) {
		return plat.Answer{Code: work.Started}, nil
	}
	r := &Runner{Clock: clock.New(), Tally: &tally.Set{}, Runtime: plat.Runtime{Start: m.start, Stop: stop}}
	r.ctx, r.cancel = context.WithCancel(context.Background())
	DeferCleanup(r.cancel)
	r.Limits = sched.Limits{}.WithDefaults()
	r.reset(work.Worker{Life: work.Life{ID: "w", Born: 1}})
	now := r.Clock.Now()
	r.term, r.owner = 1, "owner"
	r.lease.ownerReplied(now, true, false)
	r.lease.syncClock(now, now, time.Second)
	return r
}

// hasStart reports whether the start of a run was ordered and is recorded.
func (r *Runner) hasStart(x work.Run) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.starts[x] != nil
}

// runOf returns the first run of a task of a job.
func runOf(job string, index int) work.Run {
	return work.Run{Task: work.TaskName(job, 0, 0, index), Num: 1}
}

// newOrder returns an order of the owner to start and to stop runs.
func newOrder(r *Runner, starts, stops []work.Run) work.Order {
	o := work.Order{Term: 1, Owner: "owner", Life: r.worker.Life, Word: work.ReportID{Process: r.Clock.StartUnixMilli(), Sent: r.Clock.Now()}, Stops: stops}
	for _, s := range starts {
		o.Starts = append(o.Starts, work.Start{About: work.About{Run: s}})
	}
	return o
}

// startCodes returns the job and the code of each start in the results.
func startCodes(res work.Results) []string {
	var out []string
	for _, s := range res.Starts {
		out = append(out, fmt.Sprintf("%s %s", jobOf(s.Task), s.Code))
	}
	return out
}

// Guards against starting a run that the owner has stopped. In a simulation (seed
// 108838450426), 21 starts were ordered at one worker and a third of them got no
// answer. One start waited two seconds for a slot and was sent 1.5 s after the owner
// had stopped its run.
var _ = Describe("Start that waits for a slot", func() {
	var m *blockingWorker
	var r *Runner
	blocked := make([]work.Run, maxConcurrentStarts)
	for i := range blocked {
		blocked[i] = runOf(blockedJob, i)
	}
	waiting := runOf(otherJob, 0)
	BeforeEach(func() {
		m = &blockingWorker{release: make(chan struct{})}
		r = newRunner(m)
	})

	// block occupies all slots with starts that get no answer.
	block := func() {
		go r.handleOrder(newOrder(r, blocked, nil))
		for _, x := range blocked {
			Eventually(func() bool { return m.startCalled(x) }, pollTimeout).Should(BeTrue())
		}
	}

	It("is not sent after its run was stopped", func() {
		r.slotTimeout = time.Hour
		block()
		done := make(chan work.Results, 1)
		go func() { done <- r.handleOrder(newOrder(r, []work.Run{waiting}, nil)) }()
		Eventually(func() bool { return r.hasStart(waiting) }, pollTimeout).Should(BeTrue())
		Expect(r.handleOrder(newOrder(r, nil, []work.Run{waiting})).Stops).To(ConsistOf(waiting))
		close(m.release)
		var res work.Results
		Eventually(done, pollTimeout).Should(Receive(&res))
		Expect(startCodes(res)).To(ConsistOf(otherJob + " " + string(work.Late)))
		Expect(m.startCalled(waiting)).To(BeFalse())
	})
	It("is not sent if the stop arrives before it", func() {
		o := newOrder(r, []work.Run{waiting}, nil)
		r.handleOrder(newOrder(r, nil, []work.Run{waiting}))
		Expect(startCodes(r.handleOrder(o))).To(ConsistOf(otherJob + " " + string(work.Late)))
		Expect(m.startCalled(waiting)).To(BeFalse())
	})
	It("is sent although all slots were taken by starts without an answer", func() {
		block()
		go r.handleOrder(newOrder(r, []work.Run{waiting}, nil))
		Eventually(func() bool { return m.startCalled(waiting) }, pollTimeout).Should(BeTrue())
		close(m.release)
	})
})

// Guards against passing orders on to an incarnation that the owner does not know yet: the
// worker's address and ID are those of the incarnation before.
var _ = Describe("An order after the worker has started again under its ID", func() {
	It("is rejected once another incarnation has answered", func() {
		m := &blockingWorker{}
		r := newRunner(m)
		r.reportNow = make(chan struct{}, 1)
		request := plat.LeaseRequest{Life: r.worker.Life}
		r.handleLeaseReply(r.ctx, request, plat.LeaseReply{Born: r.worker.Born + 1}, r.Clock.Now())
		run := runOf(otherJob, 0)
		Expect(startCodes(r.handleOrder(newOrder(r, []work.Run{run}, nil)))).To(Equal([]string{otherJob + " other"}))
		Expect(m.startCalled(run)).To(BeFalse())
		next := r.worker
		next.Born++
		r.Runtime.Hold = func(context.Context, plat.LeaseRequest) (plat.LeaseReply, error) {
			return plat.LeaseReply{Born: next.Born}, nil
		}
		r.Heartbeat(next, 1)
		Expect(r.otherBorn).To(BeZero())
	})
})

// The owner releases the runs of a worker that does not answer once its lease is over, which
// is earlier than OwnerTimeout. An order from before must not start them after that.
var _ = Describe("An order from before the worker did not answer", func() {
	It("starts nothing once the owner allows to renew the lease again", func() {
		m := &blockingWorker{}
		r := newRunner(m)
		run := runOf(otherJob, 0)
		delayed := newOrder(r, []work.Run{run}, nil)
		r.mu.Lock()
		r.lease.workerFailed(r.Clock.Now(), true)
		r.lease.workerAnswered()
		time.Sleep(time.Millisecond)
		r.lease.ownerReplied(r.Clock.Now(), true, false)
		r.mu.Unlock()
		Expect(startCodes(r.handleOrder(delayed))).To(Equal([]string{otherJob + " " + string(work.Late)}))
		Expect(m.startCalled(run)).To(BeFalse())
		later := newOrder(r, []work.Run{run}, nil)
		Expect(startCodes(r.handleOrder(later))).To(Equal([]string{otherJob + " " + string(work.Started)}))
	})
})

// A start that an agent still holds when its zone is evacuated must not reach the worker after
// the time that the owner has set, whether the order came late or waits for a slot.
var _ = Describe("A start with a time limit", func() {
	var m *blockingWorker
	var r *Runner
	run := runOf(otherJob, 0)
	limited := func(limit time.Duration) work.Order {
		o := newOrder(r, []work.Run{run}, nil)
		o.StartBy = r.Clock.Now() + limit
		return o
	}
	BeforeEach(func() {
		m = &blockingWorker{release: make(chan struct{})}
		r = newRunner(m)
	})
	It("is sent within it", func() {
		Expect(startCodes(r.handleOrder(limited(time.Hour)))).To(Equal([]string{otherJob + " " + string(work.Started)}))
	})
	It("is not sent if the order comes later", func() {
		o := limited(0)
		time.Sleep(time.Millisecond)
		Expect(startCodes(r.handleOrder(o))).To(Equal([]string{otherJob + " " + string(work.Late)}))
		Expect(m.startCalled(run)).To(BeFalse())
	})
	It("is not sent if it gets a slot later", func() {
		r.slotTimeout = time.Hour
		blocked := make([]work.Run, maxConcurrentStarts)
		for i := range blocked {
			blocked[i] = runOf(blockedJob, i)
		}
		go r.handleOrder(newOrder(r, blocked, nil))
		for _, x := range blocked {
			Eventually(func() bool { return m.startCalled(x) }, pollTimeout).Should(BeTrue())
		}
		limit := 100 * time.Millisecond
		done := make(chan work.Results, 1)
		go func() { done <- r.handleOrder(limited(limit)) }()
		Eventually(func() bool { return r.hasStart(run) }, pollTimeout).Should(BeTrue())
		time.Sleep(2 * limit)
		close(m.release)
		var res work.Results
		Eventually(done, pollTimeout).Should(Receive(&res))
		Expect(startCodes(res)).To(Equal([]string{otherJob + " " + string(work.Late)}))
		Expect(m.startCalled(run)).To(BeFalse())
	})
})
