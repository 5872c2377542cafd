package front

import (
	"context"
	"errors"
	"time"

	"lagoonrack/internal/leader"
	"lagoonrack/internal/where"
	"lagoonrack/internal/work"
)

// whereTimeout bounds an operator's question about a placement. It is longer than ownerTimeout,
// since an owner that is behind or makes others wait should still answer, and no job waits for it.
const whereTimeout = 4 * time.Second

// Where asks the owner where the tasks of a job would go now. The job is not submitted.
func (f *Front) Where(ctx context.Context, q work.PlacementQuery) (where.Answer, error) {
	a, err := f.ownWhere(q)
	if !errors.Is(err, leader.ErrNotOwner) {
		return a, err
	}
	addr, _ := f.leader.Owner()
	if addr == "" || addr == f.server.Addr() {
		return where.Answer{}, errNoOwner
	}
	ctx, cancel := context.WithTimeout(ctx, whereTimeout)
	defer cancel()
	// A call that fails may still write to its reply later.
	var reply where.Answer
	if err := f.pool.Get(addr).Call(ctx, work.EntryService+".Where", q, &reply); err != nil {
		return where.Answer{}, err
	}
	return reply, nil
}

// ownWhere answers as the owner. It also says if jobs are rejected because the owner is behind.
func (f *Front) ownWhere(q work.PlacementQuery) (where.Answer, error) {
	a, err := f.leader.Where(q)
	if err != nil {
		return a, err
	}
	if lag := f.ownerLag(); lag >= busyLag && a.State == "" && a.Rejected == "" {
		a.Rejected, a.RetryAfter = "busy", busyRetryAfter(lag).Milliseconds()
	}
	return a, nil
}

// Where explains, as the owner, where the tasks of a job would go now.
func (p *Peer) Where(q work.PlacementQuery, out *where.Answer) (err error) {
	defer p.front.guard().Recover("Where", &err)
	a, err := p.front.ownWhere(q)
	*out = a
	return err
}
