package sched

import (
	"time"

	"lagoonrack/internal/wall"
)

// timeEstimate is the estimated time of day by the owner's clock. It is stored with the learned
// estimates and taken over by the next owner.
type timeEstimate struct{ wall.Clock }

// at returns the time since 1970 at a time of the owner's clock, if it is known.
func (k *timeEstimate) at(now time.Duration) (time.Duration, bool) { return k.At(now) }

// slewRate bounds the drift between the clocks of an agent and the owner.
const slewRate = wall.SlewRate
