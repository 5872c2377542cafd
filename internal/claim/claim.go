// Package claim decides which of several requests with the same
// Idempotency-Key may run. The decision is one conditional write of a row in
// the table for each key, made before the request is sent anywhere, so it
// outlives every process of the system.
package claim

import (
	"context"
	"errors"
	"fmt"
	"net/url"

	"github.com/fxamacker/cbor/v2"

	"lagoonrack/internal/plat"
)

// Claim is the row of one key.
type Claim struct {
	// ID is the request that may run.
	ID string `cbor:"1,keyasint"`
	// Digest is that of the request's method, path and body. A key that comes
	// back with another digest is a caller's mistake.
	Digest string `cbor:"2,keyasint"`
	// Entry is the peer address of the entry that holds the request.
	Entry string `cbor:"4,keyasint"`
	// Free is set once the request is certain not to run, so that the next one
	// may take the key.
	Free bool `cbor:"3,keyasint"`
}

// ErrTaken says that another request holds the key.
var ErrTaken = errors.New("the key is taken")

// ErrMismatch says that the key was used for a different request.
var ErrMismatch = errors.New("the key was used for a different request")

// longest bounds a key in bytes.
const longest = 255

// Key returns the row of a key, or an error for a key that is not usable.
func Key(service, key string) (string, error) {
	if key == "" || len(key) > longest {
		return "", fmt.Errorf("an Idempotency-Key has 1 to %d bytes", longest)
	}
	return "claim/" + service + "/" + url.QueryEscape(key), nil
}

// Take claims a row for a request. With ErrTaken it returns the claim that
// holds the row. Any other error means that the request must not run.
func Take(ctx context.Context, t plat.Table, row string, want Claim) (Claim, error) {
	old, now, err := read(ctx, t, row)
	if err != nil {
		return Claim{}, err
	}
	if now.Version != 0 && !old.Free {
		return held(old, want)
	}
	err = write(ctx, t, now, want)
	if err == nil {
		return want, nil
	}
	// The answer may be lost: only the row tells who has it.
	got, _, err := read(ctx, t, row)
	if err != nil {
		return Claim{}, err
	}
	if got.ID == want.ID && !got.Free {
		return want, nil
	}
	if got.ID == "" || got.Free {
		return Claim{}, plat.ErrUnavailable
	}
	return held(got, want)
}

func held(old, want Claim) (Claim, error) {
	if old.ID == want.ID {
		return old, nil
	}
	if old.Digest != want.Digest {
		return old, ErrMismatch
	}
	return old, ErrTaken
}

// Release frees the row of a request that certainly did not run.
func Release(ctx context.Context, t plat.Table, row string, c Claim) error {
	old, now, err := read(ctx, t, row)
	if err != nil || old.ID != c.ID || old.Free {
		return err
	}
	c.Free = true
	return write(ctx, t, now, c)
}

func read(ctx context.Context, t plat.Table, row string) (Claim, plat.Row, error) {
	var c Claim
	r, err := t.Read(ctx, row)
	if err != nil || r.Version == 0 {
		return c, r, err
	}
	return c, r, cbor.Unmarshal(r.Value, &c)
}

func write(ctx context.Context, t plat.Table, now plat.Row, c Claim) error {
	data, err := cbor.Marshal(c)
	if err != nil {
		return err
	}
	return t.Commit(ctx, plat.Txn{
		Checks: []plat.Check{{Key: now.Key, Version: now.Version}},
		Writes: []plat.Write{{Key: now.Key, Value: data}},
	})
}
