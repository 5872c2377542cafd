// Package fault makes errors that carry the step at which they arose and the
// peer that was concerned, so that a log line or an operator's message names
// the place without a stack trace.
package fault

import (
	"errors"

	"github.com/samber/oops"
)

// Place is where an error arises. The zero value names no place and adds
// nothing to an error.
type Place struct {
	// Step is the operation in progress, such as "commit page".
	Step string
	// Peer is the address or file that the step dealt with. It may be empty.
	Peer string
}

// At returns a place.
func At(step, peer string) Place { return Place{Step: step, Peer: peer} }

// Wrap returns err with the place in front, or nil for nil.
func (p Place) Wrap(err error) error {
	if err == nil || p == (Place{}) {
		return err
	}
	return oops.In(p.Step).With("peer", p.Peer).Wrapf(err, "%s", p.text())
}

// Errorf returns a new error at the place.
func (p Place) Errorf(format string, args ...any) error {
	return oops.In(p.Step).With("peer", p.Peer).Errorf(p.text()+": "+format, args...)
}

func (p Place) text() string {
	if p.Peer == "" {
		return p.Step
	}
	return p.Step + " " + p.Peer
}

// Of returns the outermost place that err carries.
func Of(err error) (Place, bool) {
	var o oops.OopsError
	if !errors.As(err, &o) {
		return Place{}, false
	}
	peer, _ := o.Context()["peer"].(string)
	return Place{Step: o.Domain(), Peer: peer}, true
}
