// Package fault creates errors that carry the operation that failed and the peer or
// file involved, so that a log line or an operator's message shows them without a
// stack trace.
package fault

import (
	"errors"

	"github.com/samber/oops"
)

// Location is the operation and the peer or file at which an error occurred. Wrap
// with the zero value returns the error unchanged.
type Location struct {
	// Step is the operation in progress, such as "commit page".
	Step string
	// Peer is the address or file involved in the step. It may be empty.
	Peer string
}

// At returns the location of a step and a peer.
func At(step, peer string) Location { return Location{Step: step, Peer: peer} }

// Wrap returns err with the location added and put in front of its text, or nil if
// err is nil.
func (p Location) Wrap(err error) error {
	if err == nil || p == (Location{}) {
		return err
	}
	return oops.In(p.Step).With("peer", p.Peer).Wrapf(err, "%s", p.text())
}

// Errorf returns a new error with the location added and put in front of its text.
func (p Location) Errorf(format string, args ...any) error {
	return oops.In(p.Step).With("peer", p.Peer).Errorf(p.text()+": "+format, args...)
}

// text returns the location as it appears in the text of an error.
func (p Location) text() string {
	if p.Peer == "" {
		return p.Step
	}
	return p.Step + " " + p.Peer
}

// LocationOf returns the outermost location that err carries, and whether it
// carries one.
func LocationOf(err error) (Location, bool) {
	var o oops.OopsError
	if !errors.As(err, &o) {
		return Location{}, false
	}
	peer, _ := o.Context()["peer"].(string)
	return Location{Step: o.Domain(), Peer: peer}, true
}
