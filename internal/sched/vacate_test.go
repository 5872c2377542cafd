package sched_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lagoonrack/internal/sched"
	"lagoonrack/internal/work"
)

var _ = Describe("a worker with few serving tasks", func() {
	// crowd has two workers that serve, of which the second serves little.
	crowd := func(last work.Step) *site {
		s := newSite(siteQueues, 16, 24)
		s.submit("full", "serve", latencyTask(1, 12))
		s.submit("rest", "serve", last)
		s.play(time.Second)
		return s
	}
	// press has more tasks that fill than find room.
	press := func(s *site) {
		for i := range 12 {
			s.submit(string(rune('a'+i)), "fill", filling(8))
		}
		s.play(6 * time.Second)
	}

	It("keeps what fits nowhere else", func() {
		s := crowd(latencyTask(2, 3))
		press(s)
		Expect(s.moves("vacate")).To(BeZero())
		Expect(s.on("rest")).To(Equal([]int{1, 1}))
	})

	It("is left alone while nothing that fills waits", func() {
		s := newSite(siteQueues, 16, 24, 24)
		s.submit("full", "serve", latencyTask(4, 4))
		apart := latencyTask(2, 3)
		apart.Apart = 1
		s.submit("apart", "serve", apart)
		s.play(10 * time.Second)
		Expect(s.moves("vacate")).To(BeZero())
		Expect(s.on("apart")).To(Equal([]int{0, 1, 1}))
	})

	It("lets another task go first where the room is taken", func() {
		s := newSite(siteQueues, 16, 24, 24)
		s.submit("full", "serve", latencyTask(4, 4))
		apart := latencyTask(2, 3)
		apart.Apart = 1
		s.submit("apart", "serve", apart)
		s.play(4 * time.Second)
		Expect(s.on("full")).To(Equal([]int{4, 0, 0}))
		Expect(s.on("apart")).To(Equal([]int{0, 1, 1}))
		press(s)
		Expect(s.moves("vacate")).To(Equal(2))
		Expect(s.on("apart")).To(ConsistOf(1, 1, 0))
		Expect(s.on("apart")[0]).To(Equal(1))
	})

	It("moves no more tasks of a step at a time than may be away", func() {
		for _, missing := range []int{1, 2, 0} {
			s := newSite(siteQueues, 16, 24)
			s.submit("stays", "serve", latencyTask(4, 3))
			s.submit("goes", "serve", latencyTask(1, 4))
			s.play(time.Second)
			rest := latencyTask(2, 2)
			rest.Missing = missing
			s.submit("rest", "serve", rest)
			s.play(4 * time.Second)
			Expect(s.on("rest")).To(Equal([]int{0, 2}))
			s.step(sched.Cancel{ID: "goes"})
			press(s)
			if missing == 1 {
				Expect(s.moves("vacate")).To(BeZero())
			} else {
				Expect(s.moves("vacate")).To(Equal(2))
			}
		}
	})
	It("keeps as many tasks of a step at work as it must", func() {
		s := newSite(siteQueues, 16, 24, 24)
		full := latencyTask(4, 4)
		full.Missing = 1
		s.submit("full", "serve", full)
		apart := latencyTask(2, 3)
		apart.Apart, apart.Missing = 1, 1
		s.submit("apart", "serve", apart)
		s.play(4 * time.Second)
		for r, x := range s.workers[0].runs {
			if p, _ := work.ParseTaskName(r.Task); p.Index == 0 {
				x.percent = 0
			}
		}
		press(s)
		Expect(s.moves("vacate")).To(BeZero(), "a task of the step that would move is away already")
	})
})
