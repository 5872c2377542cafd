package sched

// Census counts what the owner believes at one moment. It is made for metrics,
// when they are read.
type Census struct {
	// Ready, Leaving, Cut, Suspect and Silent count the workers' newest lives: those
	// that may get new runs, those that are about to end, those that give their
	// agents no answer, those that fail or stall what they start, and those whose
	// agents were not heard.
	Ready, Leaving, Cut, Suspect, Silent int
	// Size is the processors of the ready workers and Reserved what is taken of
	// them, in thousandths of a core.
	Size, Reserved int64
	// Placed counts the tasks that have a place, and Waiting those that could run
	// and have none.
	Placed, Waiting int
	// Jobs counts the jobs that still need something.
	Jobs int
}

// Census returns what the owner believes now.
func (c *Core) Census() Census {
	var out Census
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
		out.Placed += len(j.placements)
		for _, s := range j.readySteps() {
			for _, t := range s.tasks {
				if t.waiting() {
					out.Waiting++
				}
			}
		}
	}
	return out
}

func (c *Core) countWorker(w *worker, out *Census) {
	switch {
	case w.Leaving:
		out.Leaving++
	case w.unresponsive:
		out.Cut++
	case c.now-w.lastReport >= reportTimeout:
		out.Silent++
	case w.suspect():
		out.Suspect++
	default:
		out.Ready++
		out.Size += w.Size.Cores
		out.Reserved += w.reserved.Cores
	}
}
