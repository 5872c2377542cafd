package front

import (
	"context"
	"errors"
	"fmt"
	"time"

	"lagoonrack/internal/clock"
	"lagoonrack/internal/fault"
	"lagoonrack/internal/logs"
	"lagoonrack/internal/plat"
	"lagoonrack/internal/rpcs"
	"lagoonrack/internal/work"
)

// The store may reject the calls of some machines and serve others. An entry whose
// calls are rejected relays them through another entry, so that it can still serve its
// callers.

const (
	// relayTimeout bounds one relayed call, and one probe, while the store is not known
	// to be slow.
	relayTimeout = 500 * time.Millisecond
	// probeInterval is the wait between two probes of an unavailable store.
	probeInterval = 100 * time.Millisecond
	// maxRelayTries is the number of entries that are tried for one relayed call.
	maxRelayTries = 2
)

// Relayed is the answer to a relayed call.
type Relayed struct {
	Row   plat.Row
	Stamp plat.Stamp
	// Code is empty for success, or one of the codes below.
	Code string
}

// The codes of a relayed call that failed.
const (
	codeConflict    = "conflict"
	codeRejected    = "refused"
	codeUnavailable = "down"
)

// codeOf returns the code that stands for an error.
func codeOf(err error) string {
	switch {
	case err == nil:
		return ""
	case errors.Is(err, plat.ErrConflict):
		return codeConflict
	case errors.Is(err, plat.ErrRefused):
		return codeRejected
	}
	return codeUnavailable
}

// err returns the error for which the code stands.
func (r Relayed) err() error {
	switch r.Code {
	case "":
		return nil
	case codeConflict:
		return plat.ErrConflict
	case codeRejected:
		return plat.ErrRefused
	}
	return plat.ErrUnavailable
}

// Commit commits a transaction for another entry.
func (p *Peer) Commit(txn plat.Txn, out *Relayed) (err error) {
	defer p.front.guard().Recover("Commit", &err)
	if p.front.storeDown() {
		*out = Relayed{Code: codeRejected}
		return nil
	}
	ctx, cancel := p.front.withTimeout(p.front.ctx, relayTimeout)
	defer cancel()
	s, err := p.front.commitDirect(ctx, txn)
	*out = Relayed{Stamp: s, Code: codeOf(err)}
	return nil
}

// Read reads a row for another entry.
func (p *Peer) Read(key string, out *Relayed) (err error) {
	defer p.front.guard().Recover("Read", &err)
	if p.front.storeDown() {
		*out = Relayed{Code: codeRejected}
		return nil
	}
	ctx, cancel := p.front.withTimeout(p.front.ctx, relayTimeout)
	defer cancel()
	row, s, err := p.front.readDirect(ctx, key)
	*out = Relayed{Row: row, Stamp: s, Code: codeOf(err)}
	return nil
}

// storeDown reports whether the store has rejected or not answered a call of this entry
// since its last answer.
func (f *Front) storeDown() bool { return f.storeDownSince.Load() != 0 }

// withTimeout returns a context that bounds a call of the store by the given timeout, or
// by a longer one while the store is slow.
func (f *Front) withTimeout(ctx context.Context, timeout time.Duration) (context.Context, context.CancelFunc) {
	return f.storeTimeout.Context(ctx, f.Clock.Now(), timeout)
}

// commitDirect commits a transaction without a relay.
func (f *Front) commitDirect(ctx context.Context, txn plat.Txn) (plat.Stamp, error) {
	return callStore(ctx, f, "commit", func(ctx context.Context) (plat.Stamp, error) { return f.Rows.Commit(ctx, txn) })
}

// readDirect reads a row without a relay.
func (f *Front) readDirect(ctx context.Context, key string) (plat.Row, plat.Stamp, error) {
	type found struct {
		row   plat.Row
		stamp plat.Stamp
	}
	x, err := callStore(ctx, f, "read "+key, func(ctx context.Context) (found, error) {
		row, s, err := f.Rows.Read(ctx, key)
		return found{row, s}, err
	})
	return x.row, x.stamp, err
}

// lateTimeout is how long the answer to a call of the store counts that may have been given up.
const lateTimeout = 2400 * time.Millisecond

// callStore makes a call of the store and records whether it was answered. A call that is given
// up goes on for a while: if its answer comes late, the store is slow and not down, and later
// calls get more time.
func callStore[T any](ctx context.Context, f *Front, step string, call func(context.Context) (T, error)) (T, error) {
	type result struct {
		value T
		err   error
	}
	began := f.Clock.Now()
	results := make(chan result, 1)
	go func() {
		c, cancel := f.lateContext(ctx)
		defer cancel()
		var r result
		r.value, r.err = call(c)
		results <- r
		// This is recorded after the failure if the call is given up at the same moment.
		if isAnswer(r.err) {
			f.recordAnswer(began)
		}
	}()
	r := result{}
	select {
	case r = <-results:
	case <-ctx.Done():
		r.err = fault.At(step, "store").Wrap(fmt.Errorf("%w: %w", plat.ErrUnavailable, ctx.Err()))
	}
	switch {
	case isAnswer(r.err):
		f.recordAnswer(began)
	case !errors.Is(ctx.Err(), context.Canceled):
		// A call that was cancelled says nothing about the store.
		f.recordFailure(r.err)
		select {
		case r = <-results:
			// The answer came when the call was given up.
			if isAnswer(r.err) {
				f.recordAnswer(began)
			}
		default:
		}
	}
	return r.value, r.err
}

// lateContext returns a context for a call that goes on when the time of ctx is up, until
// lateTimeout from now or the end of the entry. Before, it does not depend on the entry's
// context: in a planned stop, requests are served after that has ended.
func (f *Front) lateContext(ctx context.Context) (context.Context, context.CancelFunc) {
	var late context.Context
	var cancel context.CancelFunc
	if deadline, ok := ctx.Deadline(); ok {
		late, cancel = context.WithTimeout(context.WithoutCancel(ctx), max(lateTimeout, time.Until(deadline)))
	} else {
		late, cancel = context.WithCancel(context.WithoutCancel(ctx))
	}
	stop := context.AfterFunc(ctx, func() {
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			select {
			case <-f.ctx.Done():
			case <-late.Done():
			}
		}
		cancel()
	})
	return late, func() {
		stop()
		cancel()
	}
}

// isAnswer reports whether a call of the store that returned an error, or none, was answered by
// it.
func isAnswer(err error) bool { return err == nil || errors.Is(err, plat.ErrConflict) }

// recordAnswer records that the store serves this entry and how long a call took.
func (f *Front) recordAnswer(began time.Duration) {
	now := f.Clock.Now()
	f.storeTimeout.RecordAnswer(now, now-began)
	f.storeInDoubt.Store(false)
	if since := f.storeDownSince.Swap(0); since != 0 {
		f.Log.Info(logs.StoreUp, logs.Fields{"ms": (now - time.Duration(since)).Milliseconds()})
	}
}

// recordFailure records that the store rejected a call or did not answer. The first
// failure of an outage starts a probe.
func (f *Front) recordFailure(err error) {
	if f.ctx.Err() != nil {
		return
	}
	now := f.Clock.Now()
	refused := errors.Is(err, plat.ErrRefused)
	if refused {
		f.storeInDoubt.Store(false)
	} else {
		f.storeTimeout.RecordTimeout(now)
	}
	if since := max(1, int64(now)); f.storeDownSince.CompareAndSwap(0, since) {
		f.storeInDoubt.Store(!refused)
		f.Log.Info(logs.StoreUnavailable, logs.Fields{"error": err.Error()})
		f.loops.Go(func() { f.loopProbe(f.ctx, since) })
	}
}

// loopProbe reads a row at intervals until the store answers again. Each outage has a
// probe of its own. Meanwhile callers are served through other entries or rejected at
// once: none of their calls is used to test the store, since its outcome might stay
// unknown.
func (f *Front) loopProbe(ctx context.Context, since int64) {
	for ctx.Err() == nil && f.storeDownSince.Load() == since {
		c, cancel := f.withTimeout(ctx, relayTimeout)
		// This entry's own row is small. The configuration may have half a megabyte,
		// which takes half a second on a slow link.
		_, _, err := f.readDirect(c, liveTable+"/"+f.Name)
		cancel()
		if err != nil {
			f.storeInDoubt.Store(false)
			clock.Sleep(ctx, probeInterval)
		}
	}
}

// commit commits a transaction, directly or, if the store rejects that, through another
// entry.
func (f *Front) commit(ctx context.Context, txn plat.Txn) (plat.Stamp, error) {
	err := plat.ErrRefused
	var s plat.Stamp
	if !f.storeDown() {
		s, err = f.commitDirect(ctx, txn)
	}
	if !errors.Is(err, plat.ErrRefused) {
		return s, err
	}
	r, err := f.relay(ctx, "Commit", txn)
	return r.Stamp, err
}

// read reads a row, directly or, if that fails, through another entry.
func (f *Front) read(ctx context.Context, key string) (plat.Row, error) {
	if !f.storeDown() {
		row, _, err := f.readDirect(ctx, key)
		if err == nil {
			return row, nil
		}
	}
	r, err := f.relay(ctx, "Read", key)
	return r.Row, err
}

// readForLeader is read with the signature of plat.Rows.Read. The stamp is always zero.
func (f *Front) readForLeader(ctx context.Context, key string) (plat.Row, plat.Stamp, error) {
	row, err := f.read(ctx, key)
	return row, plat.Stamp{}, err
}

// relay makes a call of the store through another entry, and tries a second one if the
// first can't make it. The error is plat.ErrRefused only if the call certainly did not
// take effect.
func (f *Front) relay(ctx context.Context, method string, arg any) (Relayed, error) {
	err := plat.ErrRefused
	for i, addr := range f.alivePeers() {
		if i == maxRelayTries || ctx.Err() != nil {
			break
		}
		c, cancel := f.withTimeout(ctx, relayTimeout)
		var r Relayed
		callErr := f.pool.Get(addr).Call(c, work.EntryService+"."+method, arg, &r)
		cancel()
		if callErr == nil {
			err = r.err()
		} else if !errors.Is(callErr, rpcs.ErrUnsent) {
			err = plat.ErrUnavailable
		}
		f.Tally.Inc("lagoon_relayed_total", "step", method, "code", codeOf(err))
		if !errors.Is(err, plat.ErrRefused) {
			return r, err
		}
	}
	return Relayed{}, err
}
