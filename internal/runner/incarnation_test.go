package runner

import (
	"context"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lagoonrack/internal/plat"
	"lagoonrack/internal/work"
)

// The owner was told that the lease ends after Left and that nobody renews it.
var _ = Describe("A farewell that is taken back by a heartbeat", func() {
	takenBack := func() *Runner {
		r := newLeavingRunner()
		r.Runtime.Hold = func(context.Context, plat.LeaseRequest) (plat.LeaseReply, error) {
			return plat.LeaseReply{Running: []work.Running{{}}}, nil
		}
		r.Deregistered(r.worker.ID)
		rep := expectAtWork(r)
		r.handleReply(rep, work.Reply{Term: 1}, "owner", r.Clock.Now())
		r.Heartbeat(r.worker, 7)
		return r
	}
	It("allows no renewal before the owner has answered a report without Cut", func() {
		request, _ := takenBack().nextLeaseRequest()
		Expect(request.Until).To(BeZero())
	})
	It("starts no run before that", func() {
		r := takenBack()
		run := runOf(otherJob, 0)
		Expect(startCodes(r.handleOrder(newOrder(r, []work.Run{run}, nil)))).To(Equal([]string{otherJob + " " + string(work.Late)}))
	})
})

// A worker that has started again under its ID answers lease requests and orders that were
// meant for the incarnation before. It must not forget ends that nobody has read.
var _ = Describe("Another incarnation that answers under the worker's ID", func() {
	otherAnswers := func(born int64) *Runner {
		r := newLeavingRunner()
		r.recordStored(71)
		request, _ := r.nextLeaseRequest()
		r.handleLeaseReply(r.ctx, request, plat.LeaseReply{Born: born}, r.Clock.Now())
		return r
	}
	It("is not told to forget its ends by the count of the incarnation before", func() {
		r := otherAnswers(2)
		request, _ := r.nextLeaseRequest()
		Expect(request.Seen).To(BeZero())
	})
	It("gets no lease by the clock of the incarnation before", func() {
		r := otherAnswers(2)
		request, _ := r.nextLeaseRequest()
		Expect(request.Until).To(BeZero())
	})
	It("is used although its wall clock is behind that of the incarnation before", func() {
		r := newLeavingRunner()
		r.worker.Born = 1000
		request, _ := r.nextLeaseRequest()
		r.handleLeaseReply(r.ctx, request, plat.LeaseReply{Born: 900}, r.Clock.Now())
		next := r.worker
		next.Born = 900
		r.Runtime.Hold = func(context.Context, plat.LeaseRequest) (plat.LeaseReply, error) {
			return plat.LeaseReply{Born: 900}, nil
		}
		r.Heartbeat(next, 1)
		Expect(r.worker.Born).To(Equal(int64(900)))
	})
	It("is used under a new ID although its wall clock is behind that of the incarnation before", func() {
		r := newLeavingRunner()
		r.worker.Born = 1000
		r.leaseRequestFailed(plat.LeaseRequest{Life: r.worker.Life}, plat.ErrNotFound)
		next := r.worker
		next.ID, next.Born = "w2", 900
		r.Runtime.Hold = func(context.Context, plat.LeaseRequest) (plat.LeaseReply, error) {
			return plat.LeaseReply{Born: 900}, nil
		}
		r.Heartbeat(next, 1)
		Expect(r.worker.ID).To(Equal("w2"))
	})
	It("is not called without a pause", func() {
		r := newLeavingRunner()
		var calls atomic.Int64
		r.Runtime.Hold = func(context.Context, plat.LeaseRequest) (plat.LeaseReply, error) {
			calls.Add(1) // A worker with ends above Seen answers at once.
			return plat.LeaseReply{Born: 2, Ends: []work.End{{N: 72, How: work.Done}}}, nil
		}
		ctx, cancel := context.WithTimeout(r.ctx, 300*time.Millisecond)
		defer cancel()
		r.loopLease(ctx)
		Expect(calls.Load()).To(BeNumerically("<", 20))
	})
	It("is not reported as the incarnation before, nor are that one's runs as over", func() {
		r := otherAnswers(2)
		rep, _ := r.buildReport()
		Expect(rep.Cut).To(BeTrue())
		Expect(rep.Gone || rep.Listed).To(BeFalse())
		Expect(rep.Left).To(BeNumerically(">=", r.Limits.Lease.Milliseconds()))
	})
})

// The owner would count with the longest possible lease if the agent stopped before it knew.
var _ = Describe("A planned stop of an agent whose worker has said farewell", func() {
	It("waits until the owner knows when the lease expires", func() {
		r := newDeregisteredRunner()
		began := r.Clock.Now()
		time.AfterFunc(300*time.Millisecond, func() {
			rep, _ := r.buildReport()
			r.handleReply(rep, work.Reply{Term: 1}, "owner", r.Clock.Now())
		})
		r.awaitStored()
		Expect(r.Clock.Now() - began).To(And(BeNumerically(">=", 250*time.Millisecond), BeNumerically("<", endsTimeout)))
	})
})
