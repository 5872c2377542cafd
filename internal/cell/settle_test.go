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

// TestOperatorView guards against showing operators decisions that a new owner
// might not find because they were never committed.
func TestOperatorView(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "operator view of jobs")
}

// ownerFixture is an owner whose pages are committed only by commitAll.
type ownerFixture struct {
	core *cell.Core
	now  time.Duration
	page uint64
}

func (s *ownerFixture) step(e cell.Event) {
	s.now += 100 * time.Millisecond
	for _, f := range s.core.Step(s.now, e) {
		if c, ok := f.(cell.Commit); ok {
			s.page = c.Page.Seq
		}
	}
}

// commitAll commits pages until no records are pending.
func (s *ownerFixture) commitAll() {
	for range 4 {
		s.step(cell.Committed{Seq: s.page})
		s.step(cell.Tick{})
	}
}

func (s *ownerFixture) beat(states ...plat.State) {
	s.step(cell.Beat{Token: 1, Heartbeat: wire.Heartbeat{Cell: "c", Worker: "w", Rack: "r", Report: plat.Report{
		Incarnation: "i", Term: 1, Clock: s.now, Size: vect.Size{Cores: 4000, Memory: 1 << 30}, Tasks: states,
	}}})
}

func (s *ownerFixture) ops() []ledger.Op {
	history, _ := s.core.Why("j")
	var out []ledger.Op
	for _, n := range history {
		out = append(out, n.Op)
	}
	return out
}

var _ = Describe("operator view of a job", func() {
	var s *ownerFixture
	BeforeEach(func() {
		s = &ownerFixture{core: cell.New(cell.Limits{}, 1, 0, 1, ledger.Ledger{}, 0)}
		s.step(cell.Held{Sent: 0})
	})
	submit := func() {
		s.step(cell.Submit{Token: 2, Job: wire.Job{Name: "j", Tasks: 1, Size: vect.Size{Cores: 1000, Memory: 1 << 20}, Runtime: time.Second, Idempotent: true}})
	}

	It("omits records that are not committed yet", func() {
		submit()
		Expect(s.ops()).To(BeEmpty())
		s.commitAll()
		Expect(s.ops()).To(Equal([]ledger.Op{ledger.Submit}))
	})

	It("shows a job as ended only once its end is committed", func() {
		submit()
		s.commitAll()
		s.beat()
		s.commitAll()
		s.beat()
		Expect(s.ops()).To(ContainElement(ledger.Start))
		s.beat(plat.State{Ref: plat.Ref{Task: "j/0", Attempt: 1}, Done: true})
		Expect(s.core.Jobs()).To(HaveExactElements(HaveField("State", "running")))
		s.commitAll()
		Expect(s.core.Jobs()).To(HaveExactElements(HaveField("State", "done")))
	})
})
