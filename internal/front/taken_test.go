package front

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lagoonrack/internal/leader"
	"lagoonrack/internal/sched"
	"lagoonrack/internal/stand/rows"
	"lagoonrack/internal/work"
)

// The second job was answered with success and not stored, and never ran.
var _ = Describe("a job with the ID of a job of another queue", func() {
	var f *Front
	first := work.Job{ID: "00000000000000a1", Queue: "q1", Service: "s", Spec: "first", Steps: []work.Step{{Count: 1, Estimate: 100}}}
	second := first
	second.Queue, second.Spec = "q2", "second"
	submit := func(j work.Job) Outcome { return f.Submit(context.Background(), j) }
	BeforeEach(func() {
		f = newFront(&rows.Store{})
		f.leader = &leader.Leader{Clock: f.Clock}
		f.config.Store(&loadedConfig{Config: &work.Config{Version: 1, Queues: []work.Queue{{Name: "q1"}, {Name: "q2"}}}})
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
