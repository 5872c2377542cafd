package runner

import (
	"context"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lagoonrack/internal/plat"
	"lagoonrack/internal/work"
)

// A heartbeat of another writer that named a later incarnation made the agent forget its
// worker. The owner then placed the worker's tasks elsewhere while they were at work.
var _ = Describe("A heartbeat of an incarnation that the agent does not know", func() {
	known := work.Life{ID: "w", Born: 1}
	// answer returns the answer of a worker to lease requests for its ID.
	answer := func(present work.Life) func(context.Context, plat.LeaseRequest) (plat.LeaseReply, error) {
		return func(_ context.Context, q plat.LeaseRequest) (plat.LeaseReply, error) {
			if q.Life.ID != present.ID {
				return plat.LeaseReply{}, plat.ErrNotFound
			}
			return plat.LeaseReply{Born: present.Born}, nil
		}
	}
	unavailable := func(context.Context, plat.LeaseRequest) (plat.LeaseReply, error) {
		return plat.LeaseReply{}, plat.ErrUnavailable
	}
	for name, x := range map[string]struct {
		hold      func(context.Context, plat.LeaseRequest) (plat.LeaseReply, error)
		announced work.Life
		replaces  bool
	}{
		"is ignored if the known worker answers":                        {answer(known), work.Life{ID: "other", Born: 9}, false},
		"is ignored if the known worker answers under the same ID":      {answer(known), work.Life{ID: "w", Born: 9}, false},
		"is accepted if that incarnation answers":                       {answer(work.Life{ID: "other", Born: 9}), work.Life{ID: "other", Born: 9}, true},
		"is accepted if that incarnation answers under the same ID":     {answer(work.Life{ID: "w", Born: 9}), work.Life{ID: "w", Born: 9}, true},
		"is accepted if nobody answers":                                 {unavailable, work.Life{ID: "other", Born: 9}, true},
		"is ignored if it is from before the known one, without a call": {nil, work.Life{ID: "other", Born: 0}, false},
	} {
		It(name, func() {
			r := newRunner(&blockingWorker{})
			r.Runtime.Hold = x.hold
			r.Heartbeat(work.Worker{Life: x.announced}, 1)
			expected := known
			if x.replaces {
				expected = x.announced
			}
			Expect(r.worker.Life).To(Equal(expected))
		})
	}
})
