package front

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lagoonrack/internal/leader"
	"lagoonrack/internal/plat"
	"lagoonrack/internal/sched"
	"lagoonrack/internal/stand/rows"
	"lagoonrack/internal/work"
)

// findingOwner knows every job as one of queue q1 that runs.
type findingOwner struct{}

// Find returns what it knows of a job.
func (findingOwner) Find(_ string, out *work.Found) error {
	*out = work.Found{State: "running", Queue: "q1"}
	return nil
}

// The second job was answered with success and not stored, and never ran.
var _ = Describe("a job with the ID of a job of another queue", func() {
	var f *Front
	var store *rows.Store
	config := &loadedConfig{Config: &work.Config{Version: 1, Queues: []work.Queue{{Name: "q1"}, {Name: "q2"}}}}
	first := work.Job{ID: "00000000000000a1", Queue: "q1", Service: "s", Spec: "first", Steps: []work.Step{{Count: 1, Estimate: 100}}}
	second := first
	second.Queue, second.Spec = "q2", "second"
	submit := func(j work.Job) Outcome { return f.Submit(context.Background(), j) }
	BeforeEach(func() {
		store = &rows.Store{}
		f = newFront(store)
		f.leader = &leader.Leader{Clock: f.Clock}
		f.config.Store(config)
		Expect(submit(first).Status).To(Equal(Stored))
	})
	expectFirst := func() {
		GinkgoHelper()
		row, _, err := f.Rows.Read(context.Background(), sched.JobKey(first.ID))
		Expect(err).NotTo(HaveOccurred())
		j, err := sched.DecodeJob(row, nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(j.Spec).To(Equal("first"))
	}

	It("is rejected", func() {
		Expect(submit(second)).To(Equal(Outcome{Status: Rejected, Reason: "taken"}))
		expectFirst()
	})
	It("is rejected while the owner admits no further jobs", func() {
		Expect(f.storeRejection(context.Background(), second, "full", time.Second)).To(Equal(Outcome{Status: Rejected, Reason: "taken"}))
		expectFirst()
	})
	expectUntouched := func(state string) {
		GinkgoHelper()
		Expect(f.Cancel(context.Background(), "q2", first.ID)).To(Equal(Outcome{Status: NotFound}))
		s, out := f.State(context.Background(), "q2", first.ID)
		Expect(s).To(BeEmpty())
		Expect(out).To(Equal(Outcome{Status: NotFound}))
		s, _ = f.State(context.Background(), "q1", first.ID)
		Expect(s).To(Equal(state))
		row, _, err := f.Rows.Read(context.Background(), sched.CancelKey(first.ID))
		Expect(err).NotTo(HaveOccurred())
		Expect(row.Version).To(BeZero())
		expectFirst()
	}
	// Clients of the other queue got the state of the first job, and cancelled it.
	It("is none for the clients of the other queue", func() {
		expectUntouched("queued")
	})
	It("is none for the clients of the other queue if the owner answers", func() {
		f = newFront(store)
		f.config.Store(config)
		learnOwner(f, findingOwner{})
		expectUntouched("running")
	})
	It("is none for the clients of the other queue if it is accepted while they cancel it", func() {
		f = newFront(&rows.Store{})
		f.leader = &leader.Leader{Clock: f.Clock}
		f.config.Store(config)
		read := f.Rows.Read
		f.Rows.Read = func(ctx context.Context, key string) (plat.Row, plat.Stamp, error) {
			row, s, err := read(ctx, key)
			if row.Version == 0 && key == sched.JobKey(first.ID) {
				Expect(submit(first).Status).To(Equal(Stored))
			}
			return row, s, err
		}
		expectUntouched("queued")
	})
	It("is within reach of all clients once its queue is not in force any more, and of operators", func() {
		s, _ := f.State(context.Background(), "", first.ID)
		Expect(s).To(Equal("queued"))
		f.config.Store(&loadedConfig{Config: &work.Config{Version: 2, Queues: []work.Queue{{Name: "q2"}}}})
		s, _ = f.State(context.Background(), "q2", first.ID)
		Expect(s).To(Equal("queued"))
		Expect(f.Cancel(context.Background(), "q2", first.ID).Status).To(Equal(Stored))
	})
	It("is the same job if only the name of its queue has changed", func() {
		renamed := first
		renamed.Queue = "q2"
		Expect(submit(renamed).Status).To(Equal(Stored))
	})
	It("is the same job if its queue is not in force any more", func() {
		f.config.Store(&loadedConfig{Config: &work.Config{Version: 2, Queues: []work.Queue{{Name: "q2"}}}})
		Expect(submit(second).Status).To(Equal(Stored))
	})
	It("is the same job if it comes again on its queue", func() {
		again := first
		again.Spec = "changed"
		Expect(submit(again).Status).To(Equal(Stored))
	})
})
