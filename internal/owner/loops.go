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

// errDeposed is returned by writes once the cell has another owner.
var errDeposed = errors.New("another process owns the cell")

// loopTicks sends a Tick to the core at regular intervals.
func (o *Owner) loopTicks(ctx context.Context, r *ownership) {
	t := time.NewTicker(tickInterval)
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

// loopPages writes the core's pages in order. It retries each until it is known to
// have taken effect. When the core releases the cell, so does loopPages.
func (o *Owner) loopPages(ctx context.Context, r *ownership) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.ended:
			return
		case <-r.release:
			o.release(ctx, r)
			return
		case p := <-r.pages:
			if err := o.writePage(ctx, r, p); err != nil {
				o.depose(r)
				return
			}
			o.mu.Lock()
			o.step(r, cell.Committed{Seq: p.Seq})
			o.mu.Unlock()
		}
	}
}

// writePage writes a page, with retries until it takes effect. It returns an error
// only if the page can't be encoded, the cell has another owner or the context
// ended.
func (o *Owner) writePage(ctx context.Context, r *ownership, p ledger.Page) error {
	data, err := p.Encode()
	if err != nil {
		return err
	}
	key := pageKey(o.Cell, p.Seq)
	return o.persist(ctx, r, "commit page", key, func(now plat.Row) ([]byte, bool) {
		return data, bytes.Equal(now.Value, data)
	})
}

// persist writes one row, with retries until the write is known to have taken
// effect. Next returns the value to write, given the present row, and whether an
// earlier try has already taken effect.
func (o *Owner) persist(ctx context.Context, r *ownership, step, key string, next func(plat.Row) ([]byte, bool)) error {
	for ctx.Err() == nil {
		done, err := o.tryPersist(ctx, r, key, next)
		if done || errors.Is(err, errDeposed) {
			return err
		}
		if err != nil {
			o.storeFailed(step, err)
		}
		clock.Sleep(ctx, retryInterval)
	}
	return ctx.Err()
}

// tryPersist makes one try of persist and reports whether the write has taken
// effect. After a conflict it returns errDeposed if the cell has another owner.
func (o *Owner) tryPersist(ctx context.Context, r *ownership, key string, next func(plat.Row) ([]byte, bool)) (bool, error) {
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
		Checks: []plat.Check{{Key: r.ownerRow.Key, Version: r.ownerRow.Version}, {Key: key, Version: row.Version}},
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
func (o *Owner) stillOwner(ctx context.Context, r *ownership) error {
	row, err := o.Table.Read(ctx, r.ownerRow.Key)
	if err != nil {
		return err
	}
	if row.Version != r.ownerRow.Version {
		return errDeposed
	}
	return nil
}

// loopHeartbeat writes the heartbeat row four times in each owner lease, and stores
// snapshots.
func (o *Owner) loopHeartbeat(ctx context.Context, r *ownership) {
	every := time.NewTicker(max(o.Limits.Owner/4, 100*time.Millisecond))
	defer every.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.ended:
			return
		case s := <-r.snapshots:
			o.storeSnapshot(ctx, r, s)
		case <-every.C:
		}
		if err := o.writeHeartbeat(ctx, r); err != nil {
			o.depose(r)
			return
		}
	}
}

// storeSnapshot puts a snapshot into the object store, has the heartbeat row name
// it, and then deletes the one before.
func (o *Owner) storeSnapshot(ctx context.Context, r *ownership, s cell.Snapshot) {
	name := fmt.Sprintf("cell/%s/%d-%d", o.Cell, r.term, s.Seq)
	c, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := o.Store.Put(c, name, s.Data); err != nil {
		o.storeFailed("store snapshot", err)
		o.mu.Lock()
		r.core.Unsaved()
		o.mu.Unlock()
		return
	}
	old := r.heartbeat.Snapshot
	r.heartbeat.Snapshot, r.heartbeat.Seq = name, s.Seq
	if err := o.writeHeartbeat(ctx, r); err != nil {
		o.depose(r)
		return
	}
	o.mu.Lock()
	o.step(r, cell.Saved{Seq: s.Seq})
	o.mu.Unlock()
	o.Log.Info(logs.Snapshot, logs.Fields{"cell": o.Cell, "seq": s.Seq, "bytes": len(s.Data)})
	if old != "" {
		// An error is ignored: an object that is left over costs little, and nothing
		// refers to it.
		_ = o.Store.Delete(c, old)
	}
}

// writeHeartbeat writes the heartbeat row once. It returns an error only if the cell
// has another owner or the row can't be encoded; after any other failure the next
// heartbeat tries again.
func (o *Owner) writeHeartbeat(ctx context.Context, r *ownership) error {
	sent := r.clock.Now()
	r.heartbeat.Count++
	w, err := encodeWrite(heartbeatKey(o.Cell), r.heartbeat)
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
		o.storeFailed("beat", err)
	}
	if done {
		o.mu.Lock()
		o.step(r, cell.Held{Sent: int64(sent)})
		o.mu.Unlock()
	}
	return nil
}

// depose ends the ownership after another process took the cell over or a write was
// cut short by the end of the context.
func (o *Owner) depose(r *ownership) {
	o.mu.Lock()
	o.step(r, cell.Deposed{})
	o.mu.Unlock()
	o.Log.Info(logs.Deposed, logs.Fields{"cell": o.Cell, "term": r.term})
	r.end()
}

// release writes an ownership row without an owner, so that another process can
// take the cell over without a wait for the owner lease.
func (o *Owner) release(ctx context.Context, r *ownership) {
	w, err := encodeWrite(ownerKey(o.Cell), ownerRow{Term: r.term})
	if err != nil {
		o.storeFailed("release", err)
		r.end()
		return
	}
	c, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err = o.Table.Commit(c, plat.Txn{
		Checks: []plat.Check{{Key: r.ownerRow.Key, Version: r.ownerRow.Version}},
		Writes: []plat.Write{w},
	})
	if err != nil {
		o.storeFailed("release", err)
	}
	o.Log.Info(logs.Released, logs.Fields{"cell": o.Cell, "term": r.term})
	r.end()
}
