package route

import (
	"cmp"
	"time"
)

// Limits are a service's settings as far as routing needs them. A zero field
// means its default.
type Limits struct {
	Service string
	// Timeout is the longest budget of a request.
	Timeout time.Duration
	// Queue is the most requests that wait at one entry.
	Queue int
	// Retries is the most sendings after the first that a request may have
	// for refusals, and Rate the tokens that each arrival adds to the budget
	// for retries after a doubt and for hedges.
	Retries int
	Rate    float64
	// Hedge turns hedging of idempotent requests on.
	Hedge bool
	// Silent is the age of the last announcement after which a minion gets
	// nothing new.
	Silent time.Duration
	// Eject is the number of refusals or breaks in a row that eject a minion.
	Eject int
	// Share is the largest share of minions that may be ejected.
	Share float64
	// Spare is how many requests beyond its free slots an agent is sent.
	Spare int
}

// Defaults for zero fields of Limits.
const (
	defaultTimeout = 2 * time.Second
	defaultQueue   = 1000
	defaultRetries = 8
	defaultRate    = 0.1
	defaultSilent  = 2 * time.Second
	defaultEject   = 5
	defaultShare   = 0.34
)

func (l Limits) withDefaults() Limits {
	l.Timeout = cmp.Or(l.Timeout, defaultTimeout)
	l.Queue = cmp.Or(l.Queue, defaultQueue)
	l.Retries = cmp.Or(l.Retries, defaultRetries)
	l.Rate = cmp.Or(l.Rate, defaultRate)
	l.Silent = cmp.Or(l.Silent, defaultSilent)
	l.Eject = cmp.Or(l.Eject, defaultEject)
	l.Share = cmp.Or(l.Share, defaultShare)
	return l
}
