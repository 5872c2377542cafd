package sched

// keyQueue is a queue of keys without repetitions. The zero value is empty.
type keyQueue struct {
	keys []string
	// waiting holds those of the keys that were not removed.
	waiting map[string]bool
}

// add adds a key.
func (q *keyQueue) add(key string) {
	if q.waiting[key] {
		return
	}
	if q.waiting == nil {
		q.waiting = map[string]bool{}
	}
	q.waiting[key] = true
	q.keys = append(q.keys, key)
}

// remove removes a key.
func (q *keyQueue) remove(key string) { delete(q.waiting, key) }

// len returns the number of keys.
func (q *keyQueue) len() int { return len(q.waiting) }

// take removes and returns up to n of the oldest keys.
func (q *keyQueue) take(n int) []string {
	var out []string
	for len(q.keys) > 0 && len(out) < n {
		if k := q.keys[0]; q.waiting[k] {
			delete(q.waiting, k)
			out = append(out, k)
		}
		q.keys = q.keys[1:]
	}
	return out
}
