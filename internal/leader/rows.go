package leader

import (
	"context"
	"slices"
	"time"

	"lagoonrack/internal/plat"
	"lagoonrack/internal/sched"
	"lagoonrack/internal/work"
)

// ownership is the row that says who owns the cell.
type ownership struct {
	Term uint64 `cbor:"1,keyasint"`
	// Name and Addr are those of the owner. They are empty after a planned stop.
	Name string `cbor:"2,keyasint"`
	Addr string `cbor:"3,keyasint"`
	// Nonce identifies the claim, so that a process whose claim was not answered can
	// tell its own claim from another one with the same term.
	Nonce string `cbor:"4,keyasint"`
}

// commitMark is the row that each commit of an owner rewrites. It shows whether a
// commit that was not answered took effect. Since each commit checks its version,
// none can take effect after a later one.
type commitMark struct {
	Term uint64 `cbor:"1,keyasint"`
	Seq  uint64 `cbor:"2,keyasint"`
}

// CellOwner is the owner of the cell as the store has it. Addr is empty if nobody
// owns the cell.
type CellOwner struct {
	Term uint64
	Addr string
}

// FindOwner reads from the store who owns the cell.
func FindOwner(ctx context.Context, rows plat.Rows) (CellOwner, error) {
	owner, _, _, err := readRow[ownership](ctx, rows, ownershipKey)
	return CellOwner{Term: owner.Term, Addr: owner.Addr}, err
}

const (
	ownershipKey  = sched.CellTable + "/title"
	commitMarkKey = sched.CellTable + "/mark"
)

// readRow reads and decodes a row. The value is zero if there is no such row.
func readRow[T any](ctx context.Context, rows plat.Rows, key string) (T, plat.Row, plat.Stamp, error) {
	var v T
	r, s, err := rows.Read(ctx, key)
	if err != nil || r.Version == 0 {
		return v, r, s, err
	}
	return v, r, s, work.Decode(r.Value, &v)
}

// encodeRow returns the write of a value under a key.
func encodeRow(key string, v any) (plat.Write, error) {
	data, err := work.Encode(v)
	return plat.Write{Key: key, Value: data}, err
}

// loadState reads the state that a new owner starts from: the jobs with their
// states, cancellations and rejections, and what earlier owners have learned.
//
// A row that can't be used is left out and passed to skip: if it ended the load, it would
// keep every process from owning the cell. A job whose state is not known is left out
// too, since its tasks may have run.
func loadState(ctx context.Context, rows plat.Rows, skip func(key string, err error)) (sched.StoredRows, plat.Stamp, error) {
	found := sched.StoredRows{Versions: map[string]uint64{}, Learned: map[string][]byte{}}
	states, _, err := rows.List(ctx, sched.StateTable)
	if err != nil {
		return found, plat.Stamp{}, err
	}
	found.Progress, found.Barred = sched.ReadProgress(states, skip)
	cell, _, err := rows.List(ctx, sched.CellTable)
	if err != nil {
		return found, plat.Stamp{}, err
	}
	for _, r := range cell {
		if sched.IsLearned(r.Key) {
			found.Learned[r.Key] = r.Value
		}
	}
	jobs, stamp, err := rows.List(ctx, sched.JobTable)
	if err != nil {
		return found, stamp, err
	}
	readPart, err := readParts(ctx, rows, jobs)
	if err != nil {
		return found, stamp, err
	}
	known := map[string]bool{}
	for _, r := range jobs {
		known[r.Key] = true
		if id, ok := sched.CancelledJob(r.Key); ok {
			found.Cancels = append(found.Cancels, id)
			continue
		}
		j, err := sched.DecodeJob(r, readPart)
		if err != nil {
			skip(r.Key, err)
			continue
		}
		if slices.Contains(found.Barred, j.ID) {
			continue
		}
		if j.Refused {
			found.Rejected = append(found.Rejected, sched.NewRejectedJob(j, r.Version))
			continue
		}
		found.Jobs = append(found.Jobs, j)
		found.Versions[j.ID] = r.Version
	}
	for id, p := range found.Progress {
		if !known[sched.JobKey(id)] {
			found.Orphans = append(found.Orphans, p.Keys...)
		}
	}
	slices.Sort(found.Orphans)
	return found, stamp, nil
}

// readParts lists the parts of jobs if one of the rows of the job table has parts, and returns
// how to read them.
func readParts(ctx context.Context, rows plat.Rows, jobs []plat.Row) (func(key string) ([]byte, error), error) {
	found := map[string][]byte{}
	read := func(key string) ([]byte, error) { return found[key], nil }
	hasParts := func(r plat.Row) bool {
		var j work.Job
		return work.Decode(r.Value, &j) == nil && j.Parts > 0
	}
	if !slices.ContainsFunc(jobs, hasParts) {
		return read, nil
	}
	parts, _, err := rows.List(ctx, sched.PartTable)
	for _, r := range parts {
		found[r.Key] = r.Value
	}
	return read, err
}

// callTimeout bounds one call of the store while the store is not known to be slow.
// An answer usually takes 4 ms.
const callTimeout = 800 * time.Millisecond

// withTimeout returns a context that bounds one call of the store.
func (l *Leader) withTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	return l.StoreTimeout.Context(ctx, l.Clock.Now(), callTimeout)
}
