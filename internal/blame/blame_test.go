package blame

import (
	"testing"
	"time"
)

// failEach records one failure of a job's task on each of the workers in turn.
func failEach(now time.Duration, job string, k *Kind, workers ...*Record) {
	for i, r := range workers {
		r.Failed(workerName(i), job, k, now)
	}
}

func workerName(i int) string { return string(rune('a' + i)) }

func expectSuspect(t *testing.T, now time.Duration, want ...bool) func(...*Record) {
	t.Helper()
	return func(workers ...*Record) {
		t.Helper()
		for i, r := range workers {
			if got := r.Suspect(workerName(i), now); got != want[i] {
				t.Errorf("worker %s: suspect %v at %v, want %v", workerName(i), got, now, want[i])
			}
		}
	}
}

func TestRecord(t *testing.T) {
	const now = time.Second
	t.Run("failures of one kind on one worker speak against it", func(t *testing.T) {
		var a, b Record
		k := new(Kind)
		failEach(now, "job", k, &a)
		expectSuspect(t, now, false)(&a)
		failEach(now, "job", k, &a)
		expectSuspect(t, now, true, false)(&a, &b)
	})
	t.Run("failures of one kind on two workers speak against neither", func(t *testing.T) {
		var a, b Record
		k := new(Kind)
		for range 4 {
			failEach(now, "job", k, &a, &b)
		}
		expectSuspect(t, now, false, false)(&a, &b)
	})
	t.Run("a success of the kind shows that the workers are at fault", func(t *testing.T) {
		var a, b Record
		k := new(Kind)
		for range 4 {
			failEach(now, "job", k, &a, &b)
		}
		k.Succeeded()
		expectSuspect(t, now, true, true)(&a, &b)
	})
	t.Run("failures of several jobs speak against a worker, whatever explains each", func(t *testing.T) {
		var a, b Record
		for _, job := range []string{"x", "y", "z"} {
			expectSuspect(t, now, false, false)(&a, &b)
			failEach(now, job, new(Kind), &a, &b)
		}
		expectSuspect(t, now, true, true)(&a, &b)
	})
	t.Run("a success clears the worker", func(t *testing.T) {
		var a Record
		k := new(Kind)
		failEach(now, "job", k, &a)
		failEach(now, "job", k, &a)
		a.Succeeded()
		expectSuspect(t, now, false)(&a)
	})
	t.Run("refusals speak against the worker", func(t *testing.T) {
		var a Record
		a.Refused(now)
		a.Refused(now)
		expectSuspect(t, now, true)(&a)
	})
	t.Run("failures are forgotten", func(t *testing.T) {
		var a Record
		k := new(Kind)
		failEach(now, "job", k, &a)
		failEach(now, "job", k, &a)
		expectSuspect(t, now+memory, true)(&a)
		expectSuspect(t, now+memory+1, false)(&a)
		a.Trim(now + memory + 1)
		if len(a.failures) != 0 {
			t.Errorf("%d failures are kept", len(a.failures))
		}
	})
	t.Run("an old failure elsewhere explains nothing", func(t *testing.T) {
		var a, b Record
		k := new(Kind)
		b.Failed("b", "job", k, now)
		later := now + memory + 1
		failEach(later, "job", k, &a)
		failEach(later, "job", k, &a)
		expectSuspect(t, later, true)(&a)
	})
	t.Run("the number of failures is bounded", func(t *testing.T) {
		var a Record
		for range 10 * maxFailures {
			failEach(now, "job", new(Kind), &a)
		}
		if len(a.failures) != maxFailures {
			t.Errorf("%d failures are kept, want %d", len(a.failures), maxFailures)
		}
	})
}
