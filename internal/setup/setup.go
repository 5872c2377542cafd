// Package setup holds the settings that are in force at one process.
//
// A configuration is accepted by one conditional write of a row in the table.
// Each entry gets it from the entry that wrote it or by polling the row. A process
// never goes back to a lower version, in whatever order versions reach it.
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

// Setup holds the newest accepted configuration that a process knows; at first
// there is none. Site must be set, and Table unless only Now and ApplyIfNewer are
// used.
type Setup struct {
	Table plat.Table
	// Site is the name of the site whose overlay applies.
	Site string
	// OnApplied is called with each version that comes into force. Calls do not
	// overlap. It may be nil.
	Applied func(Accepted, conf.Settings)
	// OnRejected is called with the number of a version that is not valid, and why.
	// It may be nil.
	Refused func(uint64, error)

	mu       sync.Mutex
	accepted Accepted
	settings conf.Settings
	// takeMu serializes calls of ApplyIfNewer; mu guards the fields above.
	takeMu sync.Mutex
}

// Accepted is an accepted configuration.
type Accepted struct {
	// Version starts at 1 and grows by one with each acceptance.
	Version uint64      `json:"version"`
	Source  conf.Source `json:"source"`
	// Nonce is unique to the acceptance. It distinguishes the stored configuration
	// from a concurrent attempt at the same version that was not stored.
	Nonce string `json:"nonce"`
	// By names the entry that accepted it.
	By string `json:"by"`
}

// ConflictError reports that another configuration was accepted after the version
// that the change was made from.
type ConflictError struct {
	// From is the version that the change was made from, and Now the
	// configuration accepted now.
	From uint64
	Now  Accepted
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("the settings were made from version %d, but version %d is in force", e.From, e.Now.Version)
}

const (
	rowKey = "conf"
	// pollInterval is the interval at which the row is read.
	pollInterval = time.Second
	tableTimeout = 2 * time.Second
)

// Now returns the configuration in force and the settings of the site. Version 0
// means that none is in force yet.
func (s *Setup) Now() (Accepted, conf.Settings) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.accepted, s.settings
}

// ApplyIfNewer brings an accepted configuration into force if it is newer than the one in
// force and valid, and reports whether it did.
func (s *Setup) Take(a Accepted) bool {
	s.takeMu.Lock()
	defer s.takeMu.Unlock()
	s.mu.Lock()
	newer := a.Version > s.accepted.Version
	s.mu.Unlock()
	if !newer {
		return false
	}
	set, err := settingsOf(a.Source, s.Site)
	if err != nil {
		if s.Refused != nil {
			s.Refused(a.Version, err)
		}
		return false
	}
	s.mu.Lock()
	s.accepted, s.settings = a, set
	s.mu.Unlock()
	if s.Applied != nil {
		s.Applied(a, set)
	}
	return true
}

// settingsOf returns the settings of the named site.
func settingsOf(src conf.Source, name string) (conf.Settings, error) {
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

// Read reads the configuration from the table and passes it to ApplyIfNewer.
func (s *Setup) Read(ctx context.Context) error {
	a, _, err := s.readRow(ctx)
	if err != nil {
		return err
	}
	s.Take(a)
	return nil
}

// readRow reads the row of the configuration. A row that does not exist has
// version 0.
func (s *Setup) readRow(ctx context.Context) (Accepted, plat.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	var a Accepted
	r, err := s.Table.Read(ctx, rowKey)
	if err != nil || r.Version == 0 {
		return a, r, err
	}
	return a, r, json.Unmarshal(r.Value, &a)
}

// Run polls the row until the context ends and calls failed with each error.
func (s *Setup) Run(ctx context.Context, failed func(step string, err error)) {
	t := time.NewTicker(pollInterval)
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

// errOutcomeUnknown reports that it is unknown whether the settings were accepted.
var errOutcomeUnknown = errors.New("the table did not answer, so it is unknown whether the settings were accepted; check the status before you try again")

// Accept validates a configuration and commits it as the version after from. If
// dry is set, it does everything except the commit.
func (s *Setup) Accept(ctx context.Context, from uint64, src conf.Source, by string, dry bool) (Accepted, error) {
	if _, err := src.Load(); err != nil {
		return Accepted{}, err
	}
	now, row, err := s.readRow(ctx)
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

// commit writes the row on the condition that its version is unchanged.
func (s *Setup) commit(ctx context.Context, a Accepted, row plat.Row) error {
	data, err := json.Marshal(a)
	if err != nil {
		return err
	}
	c, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	err = s.Table.Commit(c, plat.Txn{
		Checks: []plat.Check{{Key: rowKey, Version: row.Version}},
		Writes: []plat.Write{{Key: rowKey, Value: data}},
	})
	if err == nil {
		return nil
	}
	return s.resolveCommit(ctx, a, err)
}

// resolveCommit reads the row to find out whether a commit that returned an error
// took effect.
func (s *Setup) resolveCommit(ctx context.Context, a Accepted, cause error) error {
	now, _, err := s.readRow(ctx)
	switch {
	case err != nil:
		return errors.Join(errOutcomeUnknown, cause)
	case now.Nonce == a.Nonce:
		return nil
	case now.Version >= a.Version:
		return &ConflictError{From: a.Version - 1, Now: now}
	}
	// The write has not taken effect, but it still may: if it arrives late, it is
	// accepted as this version.
	return errors.Join(errOutcomeUnknown, cause)
}
