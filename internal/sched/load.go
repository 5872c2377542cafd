package sched

import "lagoonrack/internal/work"

// Load is how long a job that is handed in now would wait, in milliseconds, by
// queue.
type Load struct {
	Wait map[string]int64
}

// Load tells how much is waiting.
func (c *Core) Load() Load { return Load{} }

// Shown returns the state of a job by its rows.
func Shown(st work.State, cancelled bool) string {
	switch {
	case st.Complete:
		return "completed"
	case cancelled:
		return "cancelled"
	case st.Failed:
		return "failed"
	case len(st.Tasks) > 0:
		return "running"
	}
	return "queued"
}
