// Package setup keeps the settings that are in force at one process.
//
// A configuration is accepted by one conditional write of a row in the table.
// Each entry learns of it from the entry that wrote it or from a poll of the
// row. A process never moves to a lower version, whatever it hears and in
// whatever order.
package setup

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/oklog/ulid/v2"

	"lagoonrack/internal/conf"
	"lagoonrack/internal/plat"
)

// Setup holds the newest accepted configuration that a process knows. The zero
// value has none.
type Setup struct {
	Table plat.Table
	// Site selects the overlay.
	Site string
	// Applied is called, one call at a time, with each version that comes into
	// force. It may be nil.
	Applied func(Accepted, conf.Settings)
	// Refused is called with a version that could not be read. It may be nil.
	Refused func(uint64, error)

	mu    sync.Mutex
	now   Accepted
	set   conf.Settings
	apply sync.Mutex
}

// Accepted is an accepted configuration.
type Accepted struct {
	// Version starts at 1 and grows by one with each acceptance.
	Version uint64      `json:"version"`
	Source  conf.Source `json:"source"`
	// Nonce tells an acceptance apart from another with the same version that
	// did not come about.
	Nonce string `json:"nonce"`
	// By names the entry that accepted it.
	By string `json:"by"`
}

// ConflictError says that another configuration was accepted in between.
type ConflictError struct {
	// From is the version that the change was made from, and Now the accepted
	// one.
	From uint64
	Now  Accepted
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("the settings were made from version %d, but version %d is in force", e.From, e.Now.Version)
}

const (
	key = "conf"
	// pollEvery is how often the row is read.
	pollEvery = time.Second
	timeout   = 2 * time.Second
)

// Now returns what is in force; version 0 means that nothing is yet.
func (s *Setup) Now() (Accepted, conf.Settings) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.now, s.set
}

// Take brings an accepted configuration into force if it is newer than the
// present one, and reports whether it did.
func (s *Setup) Take(a Accepted) bool {
	s.apply.Lock()
	defer s.apply.Unlock()
	s.mu.Lock()
	newer := a.Version > s.now.Version
	s.mu.Unlock()
	if !newer {
		return false
	}
	set, err := site(a.Source, s.Site)
	if err != nil {
		if s.Refused != nil {
			s.Refused(a.Version, err)
		}
		return false
	}
	s.mu.Lock()
	s.now, s.set = a, set
	s.mu.Unlock()
	if s.Applied != nil {
		s.Applied(a, set)
	}
	return true
}

func site(src conf.Source, name string) (conf.Settings, error) {
	all, err := src.Load()
	if err != nil {
		return conf.Settings{}, err
	}
	for _, v := range all {
		if v.Site == name {
			return v, nil
		}
	}
	return conf.Settings{}, fmt.Errorf("no overlay has the site %q", name)
}

// Read takes what the table holds.
func (s *Setup) Read(ctx context.Context) error {
	a, _, err := s.row(ctx)
	if err != nil {
		return err
	}
	s.Take(a)
	return nil
}

func (s *Setup) row(ctx context.Context) (Accepted, plat.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var a Accepted
	r, err := s.Table.Read(ctx, key)
	if err != nil || r.Version == 0 {
		return a, r, err
	}
	return a, r, json.Unmarshal(r.Value, &a)
}

// Run reads the row at a steady pace until the context ends.
func (s *Setup) Run(ctx context.Context, failed func(step string, err error)) {
	t := time.NewTicker(pollEvery)
	defer t.Stop()
	for {
		if err := s.Read(ctx); err != nil && ctx.Err() == nil {
			failed("read settings", err)
		}
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// errUnknown says that it is not known whether the settings were accepted.
var errUnknown = errors.New("the table gave no answer; look at the status before you try again")

// Accept checks a configuration and commits it as the version after from. With
// dry set it does everything but commit.
func (s *Setup) Accept(ctx context.Context, from uint64, src conf.Source, by string, dry bool) (Accepted, error) {
	if _, err := src.Load(); err != nil {
		return Accepted{}, err
	}
	now, row, err := s.row(ctx)
	if err != nil {
		return Accepted{}, err
	}
	if now.Version != from {
		return now, &ConflictError{From: from, Now: now}
	}
	a := Accepted{Version: from + 1, Source: src, Nonce: ulid.Make().String(), By: by}
	if dry {
		return a, nil
	}
	if err := s.commit(ctx, a, row); err != nil {
		return a, err
	}
	s.Take(a)
	return a, nil
}

func (s *Setup) commit(ctx context.Context, a Accepted, row plat.Row) error {
	data, err := json.Marshal(a)
	if err != nil {
		return err
	}
	c, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	err = s.Table.Commit(c, plat.Txn{
		Checks: []plat.Check{{Key: key, Version: row.Version}},
		Writes: []plat.Write{{Key: key, Value: data}},
	})
	if err == nil {
		return nil
	}
	return s.readBack(ctx, a, err)
}

// readBack decides what became of a commit whose answer was an error.
func (s *Setup) readBack(ctx context.Context, a Accepted, cause error) error {
	now, _, err := s.row(ctx)
	switch {
	case err != nil:
		return errors.Join(errUnknown, cause)
	case now.Nonce == a.Nonce:
		return nil
	case now.Version >= a.Version:
		return &ConflictError{From: a.Version - 1, Now: now}
	}
	// The write did not take effect, though it still might: a late one would
	// be accepted as this version.
	return errors.Join(errUnknown, cause)
}
