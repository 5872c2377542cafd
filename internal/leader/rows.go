package leader

import (
	"context"
	"time"

	"lagoonrack/internal/plat"
	"lagoonrack/internal/sched"
	"lagoonrack/internal/work"
)

// title is the row that says who owns the cell.
type title struct {
	Term uint64 `cbor:"1,keyasint"`
	// Name and Addr are empty after a planned stop.
	Name string `cbor:"2,keyasint"`
	Addr string `cbor:"3,keyasint"`
	// Nonce tells two claims apart whose answers were lost.
	Nonce string `cbor:"4,keyasint"`
}

// mark is the row that each commit rewrites. A commit whose answer was lost can
// be told by it, and none can take effect after a later one.
type mark struct {
	Term uint64 `cbor:"1,keyasint"`
	Seq  uint64 `cbor:"2,keyasint"`
}

// Holder is what the title says of the cell's owner.
type Holder struct {
	Term uint64
	Addr string
}

// Find reads who owns the cell.
func Find(ctx context.Context, rows plat.Rows) (Holder, error) {
	t, _, _, err := readRow[title](ctx, rows, titleKey)
	return Holder{Term: t.Term, Addr: t.Addr}, err
}

const (
	titleKey = "cell/title"
	markKey  = "cell/mark"
)

func readRow[T any](ctx context.Context, rows plat.Rows, key string) (T, plat.Row, plat.Stamp, error) {
	var v T
	r, s, err := rows.Read(ctx, key)
	if err != nil || r.Version == 0 {
		return v, r, s, err
	}
	return v, r, s, work.Decode(r.Value, &v)
}

func encode(key string, v any) (plat.Write, error) {
	data, err := work.Encode(v)
	return plat.Write{Key: key, Value: data}, err
}

// load reads all that a new owner has to know.
func load(ctx context.Context, rows plat.Rows) (sched.Found, plat.Stamp, error) {
	found := sched.Found{States: map[string]work.State{}}
	states, _, err := rows.List(ctx, sched.StateTable)
	if err != nil {
		return found, plat.Stamp{}, err
	}
	for _, r := range states {
		var st work.State
		if err := work.Decode(r.Value, &st); err != nil {
			return found, plat.Stamp{}, err
		}
		_, _, id := plat.SplitKey(r.Key)
		found.States[id] = st
	}
	learned, _, err := rows.Read(ctx, sched.LearnedKey)
	if err != nil {
		return found, plat.Stamp{}, err
	}
	found.Learned = learned.Value
	jobs, stamp, err := rows.List(ctx, sched.JobTable)
	if err != nil {
		return found, stamp, err
	}
	for _, r := range jobs {
		if id, ok := sched.CancelOf(r.Key); ok {
			found.Cancels = append(found.Cancels, id)
			continue
		}
		var j work.Job
		if err := work.Decode(r.Value, &j); err != nil {
			return found, stamp, err
		}
		if j.Refused {
			found.Refused = append(found.Refused, sched.Refuse{ID: j.ID, Version: r.Version, At: j.At})
			continue
		}
		found.Jobs = append(found.Jobs, j)
	}
	return found, stamp, nil
}

// callTimeout bounds one call of the store while it is not known to be slow. Its
// usual answer takes 4 ms.
const callTimeout = 800 * time.Millisecond

// within bounds one call of the store.
func (l *Leader) within(ctx context.Context) (context.Context, context.CancelFunc) {
	return l.Limit.Within(ctx, l.Clock.Now(), callTimeout)
}
