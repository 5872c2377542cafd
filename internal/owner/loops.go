package owner

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"time"

	"lagoonrack/internal/cell"
	"lagoonrack/internal/clock"
	"lagoonrack/internal/ledger"
	"lagoonrack/internal/logs"
	"lagoonrack/internal/plat"
)

var errDeposed = errors.New("another process owns the cell")

// loopTicks tells the core of the time.
func (o *Owner) loopTicks(ctx context.Context, r *term) {
	t := time.NewTicker(tickEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.ended:
			return
		case <-t.C:
			o.mu.Lock()
			o.step(r, cell.Tick{})
			o.mu.Unlock()
		}
	}
}

// loopPages writes the core's pages, one after the other, until each is known
// to be in the table.
func (o *Owner) loopPages(ctx context.Context, r *term) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.ended:
			return
		case <-r.release:
			o.give(ctx, r)
			return
		case p := <-r.pages:
			if err := o.write(ctx, r, p); err != nil {
				o.depose(r)
				return
			}
			o.mu.Lock()
			o.step(r, cell.Committed{Seq: p.Seq})
			o.mu.Unlock()
		}
	}
}

// write repeats a page until it took effect. It returns an error only if the
// cell has another owner or the context ended.
func (o *Owner) write(ctx context.Context, r *term, p ledger.Page) error {
	data, err := p.Encode()
	if err != nil {
		return err
	}
	key := pageKey(o.Cell, p.Seq)
	return o.persist(ctx, r, "commit page", key, func(now plat.Row) ([]byte, bool) {
		return data, bytes.Equal(now.Value, data)
	})
}

// persist repeats the write of one row until it is known to have taken effect.
// Next returns what to write, given the present row, and whether an earlier
// try has already taken effect.
func (o *Owner) persist(ctx context.Context, r *term, step, key string, next func(plat.Row) ([]byte, bool)) error {
	for ctx.Err() == nil {
		done, err := o.tryPersist(ctx, r, key, next)
		if done || errors.Is(err, errDeposed) {
			return err
		}
		if err != nil {
			o.failed(step, err)
		}
		clock.Sleep(ctx, retryEvery)
	}
	return ctx.Err()
}

func (o *Owner) tryPersist(ctx context.Context, r *term, key string, next func(plat.Row) ([]byte, bool)) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	row, err := o.Table.Read(ctx, key)
	if err != nil {
		return false, err
	}
	data, done := next(row)
	if done {
		return true, nil
	}
	err = o.Table.Commit(ctx, plat.Txn{
		Checks: []plat.Check{{Key: r.title.Key, Version: r.title.Version}, {Key: key, Version: row.Version}},
		Writes: []plat.Write{{Key: key, Value: data}},
	})
	if err == nil {
		return true, nil
	}
	if errors.Is(err, plat.ErrConflict) {
		return false, o.stillOwner(ctx, r)
	}
	return false, err
}

// stillOwner returns errDeposed if the cell has another owner.
func (o *Owner) stillOwner(ctx context.Context, r *term) error {
	row, err := o.Table.Read(ctx, r.title.Key)
	if err != nil {
		return err
	}
	if row.Version != r.title.Version {
		return errDeposed
	}
	return nil
}

// loopHead keeps writing the sign of life, and stores snapshots.
func (o *Owner) loopHead(ctx context.Context, r *term) {
	every := time.NewTicker(max(o.Limits.Owner/4, 100*time.Millisecond))
	defer every.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.ended:
			return
		case s := <-r.snaps:
			o.store(ctx, r, s)
		case <-every.C:
		}
		if err := o.beat(ctx, r); err != nil {
			o.depose(r)
			return
		}
	}
}

// store writes a snapshot. The head names it from its next write on.
func (o *Owner) store(ctx context.Context, r *term, s cell.Snapshot) {
	name := fmt.Sprintf("cell/%s/%d-%d", o.Cell, r.number, s.Seq)
	c, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := o.Store.Put(c, name, s.Data); err != nil {
		o.failed("store snapshot", err)
		o.mu.Lock()
		r.core.Unsaved()
		o.mu.Unlock()
		return
	}
	old := r.head.Snapshot
	r.head.Snapshot, r.head.Seq = name, s.Seq
	if err := o.beat(ctx, r); err != nil {
		o.depose(r)
		return
	}
	o.mu.Lock()
	o.step(r, cell.Saved{Seq: s.Seq})
	o.mu.Unlock()
	o.Log.Info(logs.Snapshot, logs.Fields{"cell": o.Cell, "seq": s.Seq, "bytes": len(s.Data)})
	if old != "" {
		// A leftover object costs little; nothing refers to it any more.
		_ = o.Store.Delete(c, old)
	}
}

// beat writes the head row once. Only a loss of the cell is an error; a store
// that gives no answer is tried again at the next turn.
func (o *Owner) beat(ctx context.Context, r *term) error {
	sent := r.clock.Now()
	r.head.Beat++
	w, err := put(headKey(o.Cell), r.head)
	if err != nil {
		return err
	}
	done, err := o.tryPersist(ctx, r, w.Key, func(now plat.Row) ([]byte, bool) {
		return w.Value, bytes.Equal(now.Value, w.Value)
	})
	if errors.Is(err, errDeposed) {
		return err
	}
	if err != nil {
		o.failed("beat", err)
	}
	if done {
		o.mu.Lock()
		o.step(r, cell.Held{Sent: int64(sent)})
		o.mu.Unlock()
	}
	return nil
}

func (o *Owner) depose(r *term) {
	o.mu.Lock()
	o.step(r, cell.Deposed{})
	o.mu.Unlock()
	o.Log.Info(logs.Deposed, logs.Fields{"cell": o.Cell, "term": r.number})
	r.end()
}

// give marks the cell as free, so that another process need not wait.
func (o *Owner) give(ctx context.Context, r *term) {
	w, err := put(titleKey(o.Cell), title{Term: r.number})
	if err != nil {
		o.failed("release", err)
		r.end()
		return
	}
	c, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err = o.Table.Commit(c, plat.Txn{
		Checks: []plat.Check{{Key: r.title.Key, Version: r.title.Version}},
		Writes: []plat.Write{w},
	})
	if err != nil {
		o.failed("release", err)
	}
	o.Log.Info(logs.Released, logs.Fields{"cell": o.Cell, "term": r.number})
	r.end()
}
