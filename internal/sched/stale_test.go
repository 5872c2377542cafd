package sched_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lagoonrack/internal/sched"
	"lagoonrack/internal/work"
)

// Hunt of Ndiaye, day servers --vary --seed 965168862891: TWICE. Reports that a cut
// had held up arrived after it, seconds late and after newer ones. One of them did
// not list a run that was being stopped, so the owner took that to have ended and
// started its task elsewhere 0.1 s before it did.
var _ = Describe("a report that was held up", func() {
	// stopping has a run that is being stopped on the first worker, and a report
	// from before it began.
	stopping := func() (*site, work.Report) {
		s := newSite(siteQueues, 16, 16)
		s.grace = 900 * time.Millisecond
		s.play(time.Second)
		old := s.compose(s.workers[0])
		s.play(time.Second)
		s.submit("job", "short", short(1, false))
		s.play(2 * siteTick)
		Expect(s.on("job")).To(Equal([]int{1, 0}))
		for s.moves("stalled") == 0 {
			s.play(siteTick)
		}
		s.play(2 * siteTick)
		Expect(s.on("job")).To(Equal([]int{1, 0}), "the stop takes a while")
		return s, old
	}
	It("frees nothing if a newer one came before it", func() {
		s, old := stopping()
		s.step(sched.Report{Report: old})
		Expect(s.on("job")).To(Equal([]int{1, 0}))
		s.play(time.Second)
		Expect(s.on("job")).To(Equal([]int{0, 1}), "goes on elsewhere once the end is listed")
	})
	It("frees nothing if it is the first to come after a pause", func() {
		s, _ := stopping()
		// The agent composes a report, and what it sends takes as long as the stop.
		held := s.compose(s.workers[0])
		held.Running = nil
		held.Word.Sent = s.now - 2*time.Second
		s.step(sched.Report{Report: held})
		Expect(s.on("job")).To(Equal([]int{1, 0}))
	})
	It("takes no lease back that was renewed since", func() {
		s := newSite(siteQueues, 16, 16)
		s.submit("serve", "serve", latencyTask(1, 4))
		s.play(time.Second)
		cut := s.compose(s.workers[0])
		cut.Cut, cut.Left, cut.Listed = true, 100, false
		s.play(3 * time.Second)
		s.step(sched.Report{Report: cut})
		s.play(time.Second)
		Expect(s.on("serve")).To(Equal([]int{1, 0}))
		for _, n := range s.notes {
			Expect(n.Kind).NotTo(Equal("cut"))
		}
	})
	It("of an earlier process of the agent says nothing either", func() {
		s, old := stopping()
		for i := range s.workers {
			s.workers[i].process = 2
		}
		s.play(siteTick)
		s.step(sched.Report{Report: old})
		Expect(s.on("job")).To(Equal([]int{1, 0}))
	})
	// Chaos, seed 10740: the owner first heard the present process, then a late report
	// of the one before, and dropped all that the present one said from then on.
	It("of an earlier process that comes after the first of the present one silences nobody", func() {
		s := newSite(siteQueues, 16)
		w := s.workers[0]
		w.process = 1
		late := s.compose(w)
		w.process = 2
		s.play(siteTick)
		s.step(sched.Report{Report: late})
		s.play(2 * time.Second)
		Expect(s.core.Census().Ready).To(Equal(1))
		s.submit("job", "short", short(1, false))
		s.play(500 * time.Millisecond)
		Expect(s.on("job")).To(Equal([]int{1}))
	})
	It("that repeats an old list shows no standstill", func() {
		s := newSite(siteQueues, 16, 16)
		s.submit("job", "short", short(1, false))
		s.play(3 * siteTick)
		list := s.compose(s.workers[0])
		for age := int64(100); age < 2500; age += 100 {
			s.now += siteTick
			list.Age, list.Word.Sent = age, s.now
			s.step(sched.Report{Report: list})
			s.report(s.workers[1])
			s.step(sched.Tick{})
		}
		Expect(s.moves("stalled")).To(BeZero())
	})
})
