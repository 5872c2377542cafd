package owner

import (
	"context"
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"lagoonrack/internal/ledger"
	"lagoonrack/internal/plat"
)

// pageRows is the number of rows that the pages of a cell rotate through. A page is
// overwritten only after a stored snapshot covers it.
const pageRows = 1024

// ownerRow is the ownership row, which names the owner of a cell. It changes only
// when the owner does, and every write of an owner checks its version.
type ownerRow struct {
	Term uint64 `cbor:"1,keyasint"`
	// Name and Addr are those of the owner. They are empty once it has released
	// the cell.
	Name string `cbor:"2,keyasint"`
	Addr string `cbor:"3,keyasint"`
	// Nonce is unique for each takeover. If the answer to one was lost, it tells
	// whether the stored row is the one that this process wrote.
	Nonce string `cbor:"4,keyasint"`
}

// heartbeatRow is the row that an owner writes at regular intervals to show that it
// is alive.
type heartbeatRow struct {
	// Count grows with each write.
	Count uint64 `cbor:"1,keyasint"`
	// Snapshot names the newest stored snapshot, and Seq is the last page that it
	// covers.
	Snapshot string `cbor:"2,keyasint"`
	Seq      uint64 `cbor:"3,keyasint"`
}

func ownerKey(cell string) string     { return "cell/" + cell + "/owner" }
func heartbeatKey(cell string) string { return "cell/" + cell + "/head" }
func pageKey(cell string, seq uint64) string {
	return fmt.Sprintf("cell/%s/page/%04d", cell, seq%pageRows)
}

// readRow reads and decodes a row. A row that does not exist gives the zero value.
func readRow[T any](ctx context.Context, t plat.Table, key string) (T, plat.Row, error) {
	var v T
	r, err := t.Read(ctx, key)
	if err != nil || r.Version == 0 {
		return v, r, err
	}
	return v, r, cbor.Unmarshal(r.Value, &v)
}

// encodeWrite returns the write of an encoded value to a row.
func encodeWrite(key string, v any) (plat.Write, error) {
	data, err := cbor.Marshal(v)
	return plat.Write{Key: key, Value: data}, err
}

// loadLedger reads the state of a cell: the snapshot and the pages after it. It must
// be called only after the caller has become the owner, when no earlier owner can
// write any more.
func loadLedger(ctx context.Context, cell string, t plat.Table, s plat.Store) (ledger.Ledger, error) {
	var led ledger.Ledger
	h, _, err := readRow[heartbeatRow](ctx, t, heartbeatKey(cell))
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

// readPage returns the page with the given number, and false if its row is empty or
// holds another page.
func readPage(ctx context.Context, t plat.Table, cell string, seq uint64) (ledger.Page, bool, error) {
	r, err := t.Read(ctx, pageKey(cell, seq))
	if err != nil || r.Version == 0 {
		return ledger.Page{}, false, err
	}
	p, err := ledger.DecodePage(r.Value)
	return p, err == nil && p.Seq == seq, err
}
