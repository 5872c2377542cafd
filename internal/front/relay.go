package front

import (
	"context"
	"errors"
	"time"

	"lagoonrack/internal/clock"
	"lagoonrack/internal/logs"
	"lagoonrack/internal/plat"
	"lagoonrack/internal/rpcs"
	"lagoonrack/internal/work"
)

// The store may turn some machines away and serve others. An entry that is
// turned away has another one make its calls, so that its callers are served.

const (
	// relayTimeout bounds one relayed call.
	relayTimeout = 500 * time.Millisecond
	// probePause is the wait between two tests whether the store is back.
	probePause = 100 * time.Millisecond
	// relayTries is the number of entries that are asked for one call.
	relayTries = 2
)

// Relayed is the answer to a relayed call.
type Relayed struct {
	Row   plat.Row
	Stamp plat.Stamp
	// Code is empty for success, or one of the codes below.
	Code string
}

const (
	codeConflict = "conflict"
	codeRefused  = "refused"
	codeDown     = "down"
)

func codeOf(err error) string {
	switch {
	case err == nil:
		return ""
	case errors.Is(err, plat.ErrConflict):
		return codeConflict
	case errors.Is(err, plat.ErrRefused):
		return codeRefused
	}
	return codeDown
}

func (r Relayed) err() error {
	switch r.Code {
	case "":
		return nil
	case codeConflict:
		return plat.ErrConflict
	case codeRefused:
		return plat.ErrRefused
	}
	return plat.ErrUnavailable
}

// Commit makes a transaction for another entry.
func (p *Peer) Commit(txn plat.Txn, out *Relayed) error {
	if p.front.away() {
		*out = Relayed{Code: codeRefused}
		return nil
	}
	ctx, cancel := p.front.within(p.front.ctx, relayTimeout)
	defer cancel()
	s, err := p.front.commitHere(ctx, txn)
	*out = Relayed{Stamp: s, Code: codeOf(err)}
	return nil
}

// Read reads a row for another entry.
func (p *Peer) Read(key string, out *Relayed) error {
	if p.front.away() {
		*out = Relayed{Code: codeRefused}
		return nil
	}
	ctx, cancel := p.front.within(p.front.ctx, relayTimeout)
	defer cancel()
	row, s, err := p.front.readHere(ctx, key)
	*out = Relayed{Row: row, Stamp: s, Code: codeOf(err)}
	return nil
}

// away reports whether the store gave this entry no answer, or turned it away,
// since it last answered.
func (f *Front) away() bool { return f.since.Load() != 0 }

// within bounds a call of the store that usually is given the least.
func (f *Front) within(ctx context.Context, least time.Duration) (context.Context, context.CancelFunc) {
	return f.limit.Within(ctx, f.Clock.Now(), least)
}

// commitHere makes a transaction itself.
func (f *Front) commitHere(ctx context.Context, txn plat.Txn) (plat.Stamp, error) {
	began := f.Clock.Now()
	s, err := f.Rows.Commit(ctx, txn)
	f.tried(ctx, began, err)
	return s, err
}

// readHere reads a row itself.
func (f *Front) readHere(ctx context.Context, key string) (plat.Row, plat.Stamp, error) {
	began := f.Clock.Now()
	row, s, err := f.Rows.Read(ctx, key)
	f.tried(ctx, began, err)
	return row, s, err
}

// tried notes how the store answered a call. A call that nobody waited for any more
// says nothing of the store.
func (f *Front) tried(ctx context.Context, began time.Duration, err error) {
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
	case err == nil || errors.Is(err, plat.ErrConflict):
		f.answered(began)
	default:
		f.failed(err)
	}
}

// answered notes that the store serves this entry, and how long a call took.
func (f *Front) answered(began time.Duration) {
	now := f.Clock.Now()
	f.limit.Answered(now, now-began)
	if since := f.since.Swap(0); since != 0 {
		f.Log.Info(logs.StoreUp, logs.Fields{"ms": (now - time.Duration(since)).Milliseconds()})
	}
}

// failed notes that the store turned a call away or gave no answer.
func (f *Front) failed(err error) {
	if f.ctx.Err() != nil {
		return
	}
	now := f.Clock.Now()
	if !errors.Is(err, plat.ErrRefused) {
		f.limit.Missed(now)
	}
	if since := max(1, int64(now)); f.since.CompareAndSwap(0, since) {
		f.Log.Info(logs.StoreAway, logs.Fields{"error": err.Error()})
		f.loops.Go(func() { f.loopProbe(f.ctx, since) })
	}
}

// loopProbe reads a row until the store has answered after an outage: each outage
// has a probe of its own. Callers meanwhile are served through other entries or
// sent away at once: no call of theirs is left in doubt for the sake of a test.
func (f *Front) loopProbe(ctx context.Context, since int64) {
	for ctx.Err() == nil && f.since.Load() == since {
		c, cancel := f.within(ctx, relayTimeout)
		// The entry's own row is small. The configuration may have half a megabyte,
		// which a thin link carries in half a second.
		_, _, err := f.readHere(c, liveTable+"/"+f.Name)
		cancel()
		if err != nil {
			clock.Sleep(ctx, probePause)
		}
	}
}

// commit makes a transaction, itself or through another entry.
func (f *Front) commit(ctx context.Context, txn plat.Txn) (plat.Stamp, error) {
	err := plat.ErrRefused
	var s plat.Stamp
	if !f.away() {
		s, err = f.commitHere(ctx, txn)
	}
	if !errors.Is(err, plat.ErrRefused) {
		return s, err
	}
	r, err := f.relay(ctx, "Commit", txn)
	return r.Stamp, err
}

// read reads a row, itself or through another entry.
func (f *Front) read(ctx context.Context, key string) (plat.Row, error) {
	if !f.away() {
		row, _, err := f.readHere(ctx, key)
		if err == nil {
			return row, nil
		}
	}
	r, err := f.relay(ctx, "Read", key)
	return r.Row, err
}

func (f *Front) readStamped(ctx context.Context, key string) (plat.Row, plat.Stamp, error) {
	row, err := f.read(ctx, key)
	return row, plat.Stamp{}, err
}

// relay has other entries make a call of the store. The error is
// plat.ErrRefused only if none of them can have made it.
func (f *Front) relay(ctx context.Context, method string, arg any) (Relayed, error) {
	err := plat.ErrRefused
	for i, addr := range f.alive() {
		if i == relayTries || ctx.Err() != nil {
			break
		}
		c, cancel := f.within(ctx, relayTimeout)
		var r Relayed
		call := f.pool.Get(addr).Call(c, work.EntryService+"."+method, arg, &r)
		cancel()
		if call == nil {
			err = r.err()
		} else if !errors.Is(call, rpcs.ErrUnsent) {
			err = plat.ErrUnavailable
		}
		f.Tally.Inc("lagoon_relayed_total", "step", method, "code", codeOf(err))
		if !errors.Is(err, plat.ErrRefused) {
			return r, err
		}
	}
	return Relayed{}, err
}
