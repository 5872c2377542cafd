// Package fault makes errors that carry the step at which they arose and the
// peer that was concerned, so that a log line or an operator's message names
// the place without a stack trace.
package fault

import (
	"errors"

	"github.com/samber/oops"
)

// Location is where an error arises. The zero value names no place and adds
// nothing to an error.
type Location struct {
	// Step is the operation in progress, such as "commit page".
	Step string
	// Peer is the address or file that the step dealt with. It may be empty.
	Peer string
}

// At returns a location.
func At(step, peer string) Location { return Location{Step: step, Peer: peer} }

// Wrap returns err with the place in front, or nil for nil.
func (p Location) Wrap(err error) error {
	if err == nil || p == (Location{}) {
		return err
	}
	return oops.In(p.Step).With("peer", p.Peer).Wrapf(err, "%s", p.text())
}

// Errorf returns a new error at the place.
func (p Location) Errorf(format string, args ...any) error {
	return oops.In(p.Step).With("peer", p.Peer).Errorf(p.text()+": "+format, args...)
}

func (p Location) text() string {
	if p.Peer == "" {
		return p.Step
	}
	return p.Step + " " + p.Peer
}

// LocationOf returns the outermost place that err carries.
func LocationOf(err error) (Location, bool) {
	var o oops.OopsError
	if !errors.As(err, &o) {
		return Location{}, false
	}
	peer, _ := o.Context()["peer"].(string)
	return Location{Step: o.Domain(), Peer: peer}, true
}
