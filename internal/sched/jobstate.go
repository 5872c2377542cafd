package sched

import "lagoonrack/internal/work"

// JobState returns the state of a job according to its rows.
func JobState(st work.State, cancelled bool) string {
	switch {
	case st.Complete:
		return "completed"
	case cancelled:
		return "cancelled"
	case st.Failed:
		return "failed"
	case st.ShowsStart():
		return "running"
	}
	return "queued"
}
