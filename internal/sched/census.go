package sched

import "maps"

// Census is a count of workers, tasks and jobs at one moment, made when the metrics
// are read.
type Census struct {
	// Ready, Draining, WorkersUnresponsive, Suspect and AgentsUnresponsive count
	// workers by their newest incarnations: those that may get new runs, those that
	// are about to end, those that do not answer their agents, those whose runs
	// fail or stall, and those whose agents do not report.
	Ready, Draining, WorkersUnresponsive, Suspect, AgentsUnresponsive int
	// Evacuated counts those of evacuated zones that would be ready or suspect otherwise.
	Evacuated int
	// Size is the processor capacity of the ready workers and Reserved the part
	// that is reserved, in thousandths of a core.
	Size, Reserved int64
	// Placed counts the placements, and Waiting the tasks that could run and have
	// none.
	Placed, Waiting int
	// Jobs counts the jobs that are not finished.
	Jobs int
	// Backlog is the expected remaining work of all jobs that are not long-running, in
	// core-seconds, and Demand the work that arrives in a second. Both are 0 without overload
	// control.
	Backlog, Demand float64
	// Held counts, by reason, waiting tasks that are not placed although a worker has the
	// capacity, among the first ones in the order of scheduling. It is nil if there are none.
	Held map[string]int
	SpeedCensus
}

// coreMillis converts thousandths of a core to cores.
const coreMillis = 1000

// Census counts the workers, tasks and jobs that the owner knows now.
func (c *Core) Census() Census {
	out := Census{SpeedCensus: c.speedCensus()}
	if len(c.held) > 0 {
		out.Held = maps.Clone(c.held)
	}
	for _, g := range c.gates {
		out.Backlog += g.Backlog() / coreMillis
		out.Demand += g.Demand(c.now) / coreMillis
	}
	for _, w := range c.workers {
		if w.reported && !w.gone && c.workerByAgent[w.agent] == w {
			c.countWorker(w, &out)
		}
	}
	for _, j := range c.active {
		if j.finished() {
			continue
		}
		out.Jobs++
		out.Placed += j.placements.len()
		for _, s := range j.readySteps() {
			out.Waiting += s.waiting
		}
	}
	return out
}

// countWorker adds a worker to the count of its state.
func (c *Core) countWorker(w *worker, out *Census) {
	switch {
	case w.Leaving:
		out.Draining++
	case w.unresponsive:
		out.WorkersUnresponsive++
	case c.now-w.lastReport >= reportTimeout:
		out.AgentsUnresponsive++
	case c.zones.Closed(w.Zone):
		out.Evacuated++
	case c.suspect(w):
		out.Suspect++
	default:
		out.Ready++
		out.Size += w.Size.Cores
		out.Reserved += w.reserved.Cores
	}
}
