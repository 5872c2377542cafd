// Package claim decides which of several requests with the same
// Idempotency-Key may run. Each key has a row in the table of the platform. A
// request claims the key by one conditional write of that row before it is sent
// to any agent, so the decision survives a crash of every process.
package claim

import (
	"context"
	"errors"
	"fmt"
	"net/url"

	"github.com/fxamacker/cbor/v2"

	"lagoonrack/internal/plat"
)

// Claim is the value of a key's row.
type Claim struct {
	// ID is the ID of the request that may run.
	ID string `cbor:"1,keyasint"`
	// Digest is the digest of the request's method, path and body. A request
	// with the same key and another digest is an error of the caller.
	Digest string `cbor:"2,keyasint"`
	// Entry is the peer address of the entry that holds the request.
	Entry string `cbor:"4,keyasint"`
	// Released is set once the request is certain not to run, so that another
	// request may claim the key.
	Released bool `cbor:"3,keyasint"`
}

// ErrTaken means that another request holds the key.
var ErrTaken = errors.New("the key is taken")

// ErrMismatch means that the key is held by a request with another digest.
var ErrMismatch = errors.New("the key was used for a different request")

// maxKeyLength is the maximum length of a key in bytes.
const maxKeyLength = 255

// RowKey returns the key of the table row for an Idempotency-Key of a service,
// or an error if the Idempotency-Key is empty or too long.
func RowKey(service, key string) (string, error) {
	if key == "" || len(key) > maxKeyLength {
		return "", fmt.Errorf("an Idempotency-Key has 1 to %d bytes", maxKeyLength)
	}
	return "claim/" + service + "/" + url.QueryEscape(key), nil
}

// Take claims a row for a request. The request may run only if the error is nil.
// With ErrTaken and ErrMismatch, Take returns the claim that holds the row.
func Take(ctx context.Context, t plat.Table, row string, want Claim) (Claim, error) {
	old, current, err := read(ctx, t, row)
	if err != nil {
		return Claim{}, err
	}
	if current.Version != 0 && !old.Released {
		return checkHolder(old, want)
	}
	err = write(ctx, t, current, want)
	if err == nil {
		return want, nil
	}
	// The write may have succeeded although its answer was lost, or another
	// request may have written first: read the row again to see who holds it.
	got, _, err := read(ctx, t, row)
	if err != nil {
		return Claim{}, err
	}
	if got.ID == want.ID && !got.Released {
		return want, nil
	}
	if got.ID == "" || got.Released {
		// No request holds the row: the write failed or has not taken effect yet.
		return Claim{}, plat.ErrUnavailable
	}
	return checkHolder(got, want)
}

// checkHolder decides about a row that is already claimed: the claim succeeds
// only if the same request holds it.
func checkHolder(old, want Claim) (Claim, error) {
	if old.ID == want.ID {
		return old, nil
	}
	if old.Digest != want.Digest {
		return old, ErrMismatch
	}
	return old, ErrTaken
}

// Release releases the row held by a request that certainly did not and will not
// run. It does nothing if the request does not hold the row.
func Release(ctx context.Context, t plat.Table, row string, c Claim) error {
	old, current, err := read(ctx, t, row)
	if err != nil || old.ID != c.ID || old.Released {
		return err
	}
	c.Released = true
	return write(ctx, t, current, c)
}

func read(ctx context.Context, t plat.Table, row string) (Claim, plat.Row, error) {
	var c Claim
	r, err := t.Read(ctx, row)
	if err != nil || r.Version == 0 {
		return c, r, err
	}
	return c, r, cbor.Unmarshal(r.Value, &c)
}

func write(ctx context.Context, t plat.Table, current plat.Row, c Claim) error {
	data, err := cbor.Marshal(c)
	if err != nil {
		return err
	}
	return t.Commit(ctx, plat.Txn{
		Checks: []plat.Check{{Key: current.Key, Version: current.Version}},
		Writes: []plat.Write{{Key: current.Key, Value: data}},
	})
}
