package front

import (
	"context"
	"errors"
	"time"

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
	// awayFor is how long after a refusal the other entries are asked first.
	awayFor = 400 * time.Millisecond
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
	return plat.ErrDown
}

// Commit makes a transaction for another entry.
func (p *Peer) Commit(txn plat.Txn, out *Relayed) error {
	ctx, cancel := context.WithTimeout(p.front.ctx, relayTimeout)
	defer cancel()
	s, err := p.front.Rows.Commit(ctx, txn)
	*out = Relayed{Stamp: s, Code: codeOf(err)}
	return nil
}

// Read reads a row for another entry.
func (p *Peer) Read(key string, out *Relayed) error {
	ctx, cancel := context.WithTimeout(p.front.ctx, relayTimeout)
	defer cancel()
	row, s, err := p.front.Rows.Read(ctx, key)
	*out = Relayed{Row: row, Stamp: s, Code: codeOf(err)}
	return nil
}

// away reports whether the store turned this entry away a moment ago.
func (f *Front) away() bool {
	at := time.Duration(f.turned.Load())
	return at > 0 && f.Clock.Now()-at < awayFor
}

// tried notes how the store answered a call.
func (f *Front) tried(err error) {
	switch {
	case err == nil || errors.Is(err, plat.ErrConflict):
		if f.turned.Swap(0) > 0 {
			f.Log.Info(logs.StoreUp, nil)
		}
	default:
		f.turned.Store(int64(max(1, f.Clock.Now())))
	}
}

// commit makes a transaction, itself or through another entry.
func (f *Front) commit(ctx context.Context, txn plat.Txn) (plat.Stamp, error) {
	err := plat.ErrRefused
	var s plat.Stamp
	if !f.away() {
		s, err = f.Rows.Commit(ctx, txn)
		f.tried(err)
	}
	if !errors.Is(err, plat.ErrRefused) {
		return s, err
	}
	r, rerr := f.relay(ctx, "Commit", txn)
	if errors.Is(rerr, plat.ErrRefused) {
		// Nobody could be asked; the next try goes to the store.
		f.turned.Store(0)
	}
	return r.Stamp, rerr
}

// read reads a row, itself or through another entry.
func (f *Front) read(ctx context.Context, key string) (plat.Row, error) {
	if !f.away() {
		row, _, err := f.Rows.Read(ctx, key)
		f.tried(err)
		if err == nil {
			return row, nil
		}
	}
	r, err := f.relay(ctx, "Read", key)
	if err != nil {
		f.turned.Store(0)
	}
	return r.Row, err
}

// relay has other entries make a call of the store. The error is
// plat.ErrRefused only if none of them can have made it.
func (f *Front) relay(ctx context.Context, method string, arg any) (Relayed, error) {
	err := plat.ErrRefused
	for i, addr := range f.alive() {
		if i == relayTries || ctx.Err() != nil {
			break
		}
		c, cancel := context.WithTimeout(ctx, relayTimeout)
		var r Relayed
		call := f.pool.Get(addr).Call(c, work.EntryService+"."+method, arg, &r)
		cancel()
		if call == nil {
			err = r.err()
		} else if !errors.Is(call, rpcs.ErrUnsent) {
			err = plat.ErrDown
		}
		f.Tally.Inc("lagoon_relayed_total", "step", method, "code", codeOf(err))
		if !errors.Is(err, plat.ErrRefused) {
			return r, err
		}
	}
	return Relayed{}, err
}
