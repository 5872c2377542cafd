// Package intake decides whether a service takes another lasting job.
//
// Model. A lasting job holds its room until it is cancelled, so what is given to
// it is gone for all other work. A service therefore keeps part of its
// processors for the other work that it lately saw, and sends a lasting job
// away that would take them: accepted, it would wait for room, keep short tasks
// waiting and leave nothing idle for tasks that fill. The job is told when, at
// the rate at which room comes up, enough of it should be free; those who were
// sent away before it come first.
//
// The load that this answers: lasting jobs that are handed in anew while the
// earlier ones still run, until they hold all processors of a service.
package intake

import (
	"math"
	"slices"
	"time"
)

// Gate follows one service. The zero value has seen nothing and takes every job.
type Gate struct {
	load Load
	// prior is the share that is kept for work that may come and was not seen yet,
	// and others the highest demand of other work; both fade with time.
	prior, others float64
	// freed is the room that came up lately, which fades with time.
	freed    float64
	at       time.Duration
	seen     bool
	promises []promise
}

// promise is a time at which a job was told to come back.
type promise struct {
	until time.Duration
	cores int64
}

// Load is what a service has to do, in thousandths of a core.
type Load struct {
	// Size is what its workers have, Lasting what lasting jobs hold or wait for,
	// and Others what all other tasks ask for that run or wait.
	Size, Lasting, Others int64
}

const (
	// leastKept and mostKept bound the share of a service that is kept for other
	// work. With a third the users' sites served more of every kind of job than
	// with a quarter or nothing.
	leastKept, mostKept = 0.05, 0.32
	// fade is the span in which a demand that was seen once counts half.
	fade = 60 * time.Second
	// stay is how long a lasting job is taken to stay until some have left.
	stay = 60 * time.Second
	// soonest and latest bound the time after which a job may come back.
	soonest, latest = 2 * time.Second, time.Minute
)

// Observe takes in the load at a time.
func (g *Gate) Observe(now time.Duration, l Load) {
	if !g.seen && l.Size > 0 {
		g.seen = true
		g.prior = mostKept
		g.at = now
		g.load = l
	}
	left := half(now - g.at)
	g.prior *= left
	g.others = max(float64(l.Others), g.others*left)
	g.freed = g.freed*left + float64(max(0, g.load.Lasting-l.Lasting))
	g.load, g.at = l, now
}

// half is what is left after a span of something that fades.
func half(d time.Duration) float64 { return math.Exp2(-d.Seconds() / fade.Seconds()) }

// Room is what lasting jobs may still take.
func (g *Gate) Room() int64 {
	size := float64(g.load.Size)
	kept := min(mostKept*size, max(leastKept*size, g.prior*size, g.others))
	return int64(size-kept) - g.load.Lasting
}

// Ask reports whether a job that needs so much may be taken, and otherwise when
// it should come back.
func (g *Gate) Ask(now time.Duration, need int64) (bool, time.Duration) {
	if !g.seen || need <= g.Room() {
		return true, 0
	}
	waits := need - max(0, g.Room())
	g.promises = slices.DeleteFunc(g.promises, func(p promise) bool { return p.until <= now })
	for _, p := range g.promises {
		waits += p.cores
	}
	after := min(latest, max(soonest, time.Duration(float64(waits)/g.rate()*float64(time.Second))))
	g.promises = append(g.promises, promise{now + after, need})
	return false, after
}

// rate is the room that comes up in a second.
func (g *Gate) rate() float64 {
	usual := float64(g.load.Lasting) / stay.Seconds()
	return max(1, usual, g.freed*math.Ln2/fade.Seconds())
}
