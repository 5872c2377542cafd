package cell_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lagoonrack/internal/cell"
	"lagoonrack/internal/ledger"
	"lagoonrack/internal/plat"
	"lagoonrack/internal/vect"
	"lagoonrack/internal/wire"
)

func TestSettled(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "what operators are shown")
}

// shown is an owner whose pages are committed only when the test says so.
type shown struct {
	core *cell.Core
	now  time.Duration
	page uint64
}

func (s *shown) step(e cell.Event) {
	s.now += 100 * time.Millisecond
	for _, f := range s.core.Step(s.now, e) {
		if c, ok := f.(cell.Commit); ok {
			s.page = c.Page.Seq
		}
	}
}

// settle commits pages until nothing is left to commit.
func (s *shown) settle() {
	for range 4 {
		s.step(cell.Committed{Seq: s.page})
		s.step(cell.Tick{})
	}
}

func (s *shown) beat(states ...plat.State) {
	s.step(cell.Beat{Token: 1, Heartbeat: wire.Heartbeat{Cell: "c", Worker: "w", Rack: "r", Report: plat.Report{
		Incarnation: "i", Term: 1, Clock: s.now, Size: vect.Size{Cores: 4000, Memory: 1 << 30}, Tasks: states,
	}}})
}

func (s *shown) ops() []ledger.Op {
	notes, _ := s.core.Why("j")
	var out []ledger.Op
	for _, n := range notes {
		out = append(out, n.Op)
	}
	return out
}

var _ = Describe("an operator's look at a job", func() {
	var s *shown
	BeforeEach(func() {
		s = &shown{core: cell.New(cell.Limits{}, 1, 0, 1, ledger.Ledger{}, 0)}
		s.step(cell.Held{Sent: 0})
	})
	submit := func() {
		s.step(cell.Submit{Token: 2, Job: wire.Job{Name: "j", Tasks: 1, Size: vect.Size{Cores: 1000, Memory: 1 << 20}, Runtime: time.Second, Idempotent: true}})
	}

	It("leaves out what a successor might not find", func() {
		submit()
		Expect(s.ops()).To(BeEmpty())
		s.settle()
		Expect(s.ops()).To(Equal([]ledger.Op{ledger.Submit}))
	})

	It("names a job ended only once its end is committed", func() {
		submit()
		s.settle()
		s.beat()
		s.settle()
		s.beat()
		Expect(s.ops()).To(ContainElement(ledger.Start))
		s.beat(plat.State{Ref: plat.Ref{Task: "j/0", Attempt: 1}, Done: true})
		Expect(s.core.Jobs()).To(HaveExactElements(HaveField("State", "running")))
		s.settle()
		Expect(s.core.Jobs()).To(HaveExactElements(HaveField("State", "done")))
	})
})
