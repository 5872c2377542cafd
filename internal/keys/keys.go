// Package keys queues keys that have to be handled once each, some at a time.
package keys

// Queue is a queue of keys without repetitions. The zero value is empty.
type Queue struct {
	keys []string
	// waiting holds those of the keys that were not removed.
	waiting map[string]bool
}

// Add adds a key.
func (q *Queue) Add(key string) {
	if q.waiting[key] {
		return
	}
	if q.waiting == nil {
		q.waiting = map[string]bool{}
	}
	q.waiting[key] = true
	q.keys = append(q.keys, key)
}

// Remove removes a key.
func (q *Queue) Remove(key string) { delete(q.waiting, key) }

// Len returns the number of keys.
func (q *Queue) Len() int { return len(q.waiting) }

// Take removes and returns up to n of the oldest keys.
func (q *Queue) Take(n int) []string {
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
