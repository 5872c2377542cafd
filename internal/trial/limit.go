package trial

import (
	"container/heap"
	"time"

	"lagoonrack/internal/wire"
)

// runLimit serves all arrivals from one central queue, first come, first
// served, without any delay. A request whose time is over when its turn comes
// is dropped. With knows set, so is one that would not end in time: a bound that
// nobody reaches without knowing run times beforehand.
func runLimit(c Config, knows bool, load float64, seed uint64) Outcome {
	name := "limit"
	if knows {
		name = "knows"
	}
	r := newRecorder(c, name, 1, load, seed)
	slots := &times{}
	for range c.Minions * c.Slots {
		heap.Push(slots, time.Duration(0))
	}
	for _, a := range c.arrivals(load, seed) {
		start := max(a.at, (*slots)[0])
		end := start
		if knows {
			end += a.work
		}
		if end-a.at >= c.Timeout.Std() {
			r.add(a, start, wire.NotRun, false)
			continue
		}
		(*slots)[0] = start + a.work
		heap.Fix(slots, 0)
		r.add(a, start+a.work, wire.Ran, false)
	}
	return r.Outcome
}

type times []time.Duration

func (t times) Len() int           { return len(t) }
func (t times) Less(i, j int) bool { return t[i] < t[j] }
func (t times) Swap(i, j int)      { t[i], t[j] = t[j], t[i] }
func (t *times) Push(x any)        { *t = append(*t, x.(time.Duration)) }
func (t *times) Pop() any {
	old := *t
	x := old[len(old)-1]
	*t = old[:len(old)-1]
	return x
}
