package leader_test

import (
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"lagoonrack/internal/plat"
	"lagoonrack/internal/sched"
	"lagoonrack/internal/work"
)

// endedJobRetention is how long the entries of the tests below keep ended jobs. Owners look
// for jobs to delete every few seconds.
const endedJobRetention = 3 * time.Second

// The rows of an ended job are deleted by more than one call. If the row that accepted the
// job outlives the record of its progress, an owner that reads it takes the job for a new
// one and runs it again.
func TestEndedJobsDoNotRunAgain(t *testing.T) {
	type commit = func() (plat.Stamp, error)
	for name, deletes := range map[string]deleteFault{
		"deletes are refused": func(commit) (plat.Stamp, error) { return plat.Stamp{}, plat.ErrRefused },
		"answers to deletes are lost": func(c commit) (plat.Stamp, error) {
			_, _ = c()
			return plat.Stamp{}, plat.ErrUnavailable
		},
		"deletes are performed late": func(c commit) (plat.Stamp, error) {
			time.AfterFunc(2*settleTime, func() { _, _ = c() })
			return plat.Stamp{}, plat.ErrUnavailable
		},
		"deletes succeed": func(c commit) (plat.Stamp, error) { return c() },
	} {
		t.Run(name+", then another owner", func(t *testing.T) {
			runLimitedFleetTest(t, sched.Limits{EndedJobRetention: endedJobRetention}, func(g *WithT, f *fleet) {
				f.setDeletes(deletes)
				time.Sleep(3 * settleTime)
				f.owner().stop()
				time.Sleep(settleTime)
				f.setDeletes(nil)
				time.Sleep(3 * settleTime)
				f.expectStartedOnce(g, noReruns)
				f.expectRowsOfRecentJobs(g)
			})
		})
		t.Run(name+", and the history is lost", func(t *testing.T) {
			runLimitedFleetTest(t, sched.Limits{EndedJobRetention: endedJobRetention}, func(g *WithT, f *fleet) {
				f.setDeletes(deletes)
				f.setLink(link{listTime: slowList / 3})
				f.setHistoryGone(true)
				time.Sleep(4 * settleTime)
				f.setDeletes(nil)
				time.Sleep(3 * settleTime)
				f.expectStartedOnce(g, noReruns)
				f.expectRowsOfRecentJobs(g)
			})
		})
	}
}

// expectRowsOfRecentJobs checks that the store has no rows of jobs that ended long ago.
func (f *fleet) expectRowsOfRecentJobs(g *WithT) {
	f.mu.Lock()
	starts := slices.Clone(f.starts)
	f.mu.Unlock()
	for _, s := range starts {
		if task, _ := work.ParseTaskName(s.task); time.Since(s.at) > endedJobRetention+2*settleTime {
			g.Expect(f.store.Row(sched.JobKey(task.Job)).Version).To(BeZero(), "row of job %s", task.Job)
			g.Expect(f.store.Row(sched.StateKey(task.Job)).Version).To(BeZero(), "progress of job %s", task.Job)
		}
	}
}
