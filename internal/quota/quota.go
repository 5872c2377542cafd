// Package quota bounds how often something is done. A quota of n uses in a period allows n at
// once, and gives them back evenly over the period: at most 2n are taken within any period.
package quota

import "time"

// Quota counts uses. In the zero value none is taken.
type Quota struct {
	// restored is when all uses are given back if no more is taken.
	restored time.Duration
}

// Take takes one use out of a quota of n in a period. It returns false if none is left, and how
// long it takes until one is.
func (q *Quota) Take(now time.Duration, n int, period time.Duration) (wait time.Duration, ok bool) {
	perUse := period / time.Duration(n)
	restored := max(q.restored, now) + perUse
	if wait = restored - now - perUse*time.Duration(n); wait > 0 {
		return wait, false
	}
	q.restored = restored
	return 0, true
}
