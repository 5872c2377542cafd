package trial

import (
	"container/heap"
	"time"

	"lagoonrack/internal/wire"
)

// runLimit serves all arrivals from one central queue in order of arrival,
// without any network delay. A request whose timeout has passed before it starts
// is dropped. With knowsRunTimes set, a request that would end after its timeout
// is dropped too: no policy that does not know run times in advance can do better.
func runLimit(c Config, knowsRunTimes bool, load float64, seed uint64) Outcome {
	name := "limit"
	if knowsRunTimes {
		name = "knows"
	}
	r := newRecorder(c, name, 1, load, seed)
	slots := &freeTimes{}
	for range c.Minions * c.Slots {
		heap.Push(slots, time.Duration(0))
	}
	for _, a := range c.arrivals(load, seed) {
		start := max(a.at, (*slots)[0])
		end := start
		if knowsRunTimes {
			end += a.runTime
		}
		if end-a.at >= c.Timeout.Std() {
			r.add(a, start, wire.NotRun, false)
			continue
		}
		(*slots)[0] = start + a.runTime
		heap.Fix(slots, 0)
		r.add(a, start+a.runTime, wire.Ran, false)
	}
	return r.Outcome
}

// freeTimes is a heap of the times at which the slots become free.
type freeTimes []time.Duration

func (t freeTimes) Len() int           { return len(t) }
func (t freeTimes) Less(i, j int) bool { return t[i] < t[j] }
func (t freeTimes) Swap(i, j int)      { t[i], t[j] = t[j], t[i] }
func (t *freeTimes) Push(x any)        { *t = append(*t, x.(time.Duration)) }
func (t *freeTimes) Pop() any {
	old := *t
	x := old[len(old)-1]
	*t = old[:len(old)-1]
	return x
}
