package route

import (
	"cmp"
	"time"
)

// Limits holds the settings of a service that routing uses. A zero field stands
// for its default.
type Limits struct {
	Service string
	// Timeout is the maximum budget of a request.
	Timeout time.Duration
	// Queue is the maximum number of requests that wait at one entry.
	Queue int
	// Retries is the maximum number of retries of a request after refusals.
	// A request is also not retried after an unknown outcome if it has had
	// more attempts than this.
	//
	// TokensPerRequest is the number of tokens that each accepted request adds
	// to the retry budget of the service. Each hedge and each retry after an
	// attempt with an unknown outcome costs one token.
	Retries          int
	TokensPerRequest float64
	// Hedge enables a second, parallel attempt for slow idempotent requests.
	Hedge bool
	// UnresponsiveAfter is the time since the last contact with an agent after
	// which its minion gets no new requests.
	UnresponsiveAfter time.Duration
	// EjectAfter is the number of consecutive failures (refusals other than
	// "full", and sends without a complete answer) that eject a minion.
	EjectAfter int
	// MaxEjectedShare is the maximum share of a service's minions that may be
	// ejected at the same time.
	MaxEjectedShare float64
	// AgentQueue is the number of requests that an agent may be sent beyond
	// its free slots. They wait in the agent's queue.
	AgentQueue int
}

// Defaults for zero fields of Limits.
const (
	defaultTimeout           = 2 * time.Second
	defaultQueue             = 1000
	defaultRetries           = 8
	defaultTokensPerRequest  = 0.1
	defaultUnresponsiveAfter = 2 * time.Second
	defaultEjectAfter        = 5
	defaultMaxEjectedShare   = 0.34
)

func (l Limits) withDefaults() Limits {
	l.Timeout = cmp.Or(l.Timeout, defaultTimeout)
	l.Queue = cmp.Or(l.Queue, defaultQueue)
	l.Retries = cmp.Or(l.Retries, defaultRetries)
	l.TokensPerRequest = cmp.Or(l.TokensPerRequest, defaultTokensPerRequest)
	l.UnresponsiveAfter = cmp.Or(l.UnresponsiveAfter, defaultUnresponsiveAfter)
	l.EjectAfter = cmp.Or(l.EjectAfter, defaultEjectAfter)
	l.MaxEjectedShare = cmp.Or(l.MaxEjectedShare, defaultMaxEjectedShare)
	return l
}
