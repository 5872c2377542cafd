package sched_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lagoonrack/internal/sched"
	"lagoonrack/internal/work"
)

// An owner that deletes the progress of an ended job while the row that accepted the job
// stays makes it a new job for every owner that reads the table.
var _ = Describe("the rows of an ended job", func() {
	const id = "00000000000000a1"
	var s *testCell
	endJob := func(how work.EndReason) {
		s.submit(id, "short", shortStep(1, false))
		for range 4 {
			s.advance(time.Second)
			for _, w := range s.workers {
				for r := range w.runs {
					s.endRun(w, r, how)
				}
			}
		}
	}
	cancelJob := func() {
		s.submit(id, "short", shortStep(1, false))
		s.advance(time.Second)
		s.step(sched.Cancel{ID: id})
		s.advance(time.Second)
	}
	BeforeEach(func() {
		s = newTestCell(testQueues, 4, 4, 4)
		s.deletionsFail = true
	})
	for name, end := range map[string]func(){
		"completed": func() { endJob(work.Done) },
		"failed":    func() { endJob(work.Failed) },
		"cancelled": cancelJob,
	} {
		It("stay together until the first is deleted: "+name, func() {
			end()
			Expect(s.core.State(id)).To(Equal(name))
			s.advance(140 * time.Second)
			Expect(s.deletions).To(BeEmpty())
			s.advance(60 * time.Second)
			Expect(len(s.deletions)).To(BeNumerically(">", 5), "deletions that fail are repeated")
			Expect(s.stateRows).To(HaveKey(id))
			Expect(s.core.State(id)).To(Equal(name))
			s.deletionsFail = false
			s.advance(20 * time.Second)
			Expect(s.stateRows).NotTo(HaveKey(id))
			Expect(s.core.State(id)).To(BeEmpty())
		})
	}
	It("do not bring a job back that was deleted and then cancelled by its ID", func() {
		s.version = 7
		s.step(sched.RejectedJob{ID: id, Version: s.version, At: s.now.Milliseconds(), Cancelled: true})
		for _, version := range []uint64{0, 6} {
			s.step(sched.Submit{Version: version, Job: work.Job{ID: id, Queue: "short", Service: "s", Spec: "x", Steps: []work.Step{shortStep(1, false)}}})
			Expect(s.core.State(id)).To(BeEmpty())
		}
		s.deletionsFail = false
		s.advance(140 * time.Second)
		Expect(s.deletions).To(BeEmpty())
		s.advance(60 * time.Second)
		Expect(s.deletions).To(HaveLen(1))
	})
	It("do not bring the job back when they were read before the deletion", func() {
		s.deletionsFail = false
		endJob(work.Done)
		job := work.Job{ID: id, Queue: "short", Service: "s", Steps: []work.Step{shortStep(1, false)}}
		read := sched.Submit{Job: job, Version: s.version}
		s.advance(160 * time.Second)
		Expect(s.core.State(id)).To(BeEmpty())
		s.step(read)
		s.step(sched.Submit{Job: job})
		s.step(sched.Cancel{ID: id})
		s.advance(time.Second)
		Expect(s.core.State(id)).To(BeEmpty())
	})
	It("make room for a new job under the same name", func() {
		s.deletionsFail = false
		endJob(work.Done)
		s.advance(160 * time.Second)
		s.submit(id, "short", shortStep(1, false))
		Expect(s.stateRows).To(HaveKey(id), "the progress of the new job replaces that of the old one")
		s.advance(time.Second)
		Expect(s.core.State(id)).To(Equal("running"))
	})
	It("are deleted by the next owner if only one is left", func() {
		endJob(work.Done)
		s.core = sched.New(sched.Limits{}, 2, s.now, 0, sched.StoredRows{Orphans: []string{sched.StateKey(id)}}, s.config)
		s.advance(time.Second)
		Expect(s.stateRows).NotTo(HaveKey(id))
	})
})
