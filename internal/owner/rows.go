package owner

import (
	"context"
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"lagoonrack/internal/ledger"
	"lagoonrack/internal/plat"
)

// ring is the number of rows that the pages of a cell rotate through. A page
// is overwritten only after a snapshot covers it.
const ring = 1024

// title is the row that says who owns a cell. It changes only when the owner
// does, and every page checks its version.
type title struct {
	Term uint64 `cbor:"1,keyasint"`
	// Name and Addr are empty after a planned stop.
	Name string `cbor:"2,keyasint"`
	Addr string `cbor:"3,keyasint"`
	// Nonce tells two takeovers apart whose answers were lost.
	Nonce string `cbor:"4,keyasint"`
}

// head is the row that an owner keeps writing to show that it is alive.
type head struct {
	Beat uint64 `cbor:"1,keyasint"`
	// Snapshot names the newest snapshot, and Seq is its page.
	Snapshot string `cbor:"2,keyasint"`
	Seq      uint64 `cbor:"3,keyasint"`
}

func titleKey(cell string) string { return "cell/" + cell + "/owner" }
func headKey(cell string) string  { return "cell/" + cell + "/head" }
func pageKey(cell string, seq uint64) string {
	return fmt.Sprintf("cell/%s/page/%04d", cell, seq%ring)
}

func readRow[T any](ctx context.Context, t plat.Table, key string) (T, plat.Row, error) {
	var v T
	r, err := t.Read(ctx, key)
	if err != nil || r.Version == 0 {
		return v, r, err
	}
	return v, r, cbor.Unmarshal(r.Value, &v)
}

func put(key string, v any) (plat.Write, error) {
	data, err := cbor.Marshal(v)
	return plat.Write{Key: key, Value: data}, err
}

// load reads the state of a cell: the snapshot and the pages after it. It is
// called only after the caller has become the owner.
func load(ctx context.Context, cell string, t plat.Table, s plat.Store) (ledger.Ledger, error) {
	var led ledger.Ledger
	h, _, err := readRow[head](ctx, t, headKey(cell))
	if err != nil {
		return led, err
	}
	if h.Snapshot != "" {
		data, err := s.Get(ctx, h.Snapshot)
		if err != nil {
			return led, err
		}
		if err := led.Decode(data); err != nil {
			return led, err
		}
	}
	for {
		p, ok, err := readPage(ctx, t, cell, led.Seq+1)
		if err != nil || !ok {
			return led, err
		}
		for _, r := range p.Records {
			led.Apply(r)
		}
		led.Seq = p.Seq
	}
}

// readPage returns the page with the given number, if its row still or already
// holds it.
func readPage(ctx context.Context, t plat.Table, cell string, seq uint64) (ledger.Page, bool, error) {
	r, err := t.Read(ctx, pageKey(cell, seq))
	if err != nil || r.Version == 0 {
		return ledger.Page{}, false, err
	}
	p, err := ledger.DecodePage(r.Value)
	return p, err == nil && p.Seq == seq, err
}
