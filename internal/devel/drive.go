package devel

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"time"

	"lagoonrack/internal/cell"
	"lagoonrack/internal/load"
	"lagoonrack/internal/vect"
	"lagoonrack/internal/wire"
)

// Drive runs an example load of requests and jobs on a system, checks the
// invariants meanwhile, and prints a report.
type Drive struct {
	System *System
	// For is how long requests arrive. Run then still waits for accepted jobs.
	For time.Duration
	// Rate is the number of requests per second to each service.
	Rate float64
	Seed uint64
	Out  io.Writer

	mu      sync.Mutex
	reports []load.Report
}

const (
	// jobsPerSite is the number of jobs submitted to each site, and tasksPerJob
	// the number of tasks of each job.
	jobsPerSite = 4
	tasksPerJob = 12
	// jobsTimeout bounds the wait for jobs after the load has ended.
	jobsTimeout      = 30 * time.Second
	progressInterval = 2 * time.Second
	auditInterval    = 50 * time.Millisecond
)

// Run generates the load and prints a report. It returns an error if an
// invariant was violated or a job did not end in time.
func (d *Drive) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var background sync.WaitGroup
	watch, stop := context.WithCancel(ctx)
	background.Go(func() { d.runAudits(watch) })
	background.Go(func() { d.printProgress(watch) })
	var loads sync.WaitGroup
	for _, o := range d.System.Sites {
		loads.Go(func() { d.sendRequests(ctx, o) })
	}
	err := d.submitJobs(ctx)
	loads.Wait()
	err = errors.Join(err, d.waitJobs(ctx))
	stop()
	background.Wait()
	return errors.Join(err, d.printReport(ctx))
}

// sendRequests sends requests to each service of a site, one service after the
// other, and keeps the reports.
func (d *Drive) sendRequests(ctx context.Context, o *Site) {
	var callers []string
	for _, e := range o.Entries {
		callers = append(callers, e.Caller())
	}
	for i, v := range o.Settings.Services {
		l := load.Load{
			Entries: callers,
			Service: v.Name,
			Rate:    d.Rate,
			For:     d.For,
			Median:  20 * time.Millisecond,
			Sigma:   0.5,
			Long:    0.02,
			Factor:  30,
			Once:    0.3,
			Size:    200,
			Seed:    d.Seed + uint64(i),
			Check:   &d.System.Check,
		}
		r, err := l.Run(ctx)
		if err != nil {
			fmt.Fprintln(d.Out, "load:", err)
			continue
		}
		d.mu.Lock()
		d.reports = append(d.reports, r)
		d.mu.Unlock()
	}
}

// submitJobs submits the example jobs to each site: short inspections and, as
// the last one, a longer overhaul.
func (d *Drive) submitJobs(ctx context.Context) error {
	for _, o := range d.System.Sites {
		for i := range jobsPerSite {
			j := wire.Job{
				Name:       fmt.Sprintf("%s-inspection-%d", o.Settings.Site, i+1),
				Team:       "ndiaye",
				Kind:       "inspection",
				Tasks:      tasksPerJob,
				Size:       vect.Size{Cores: 1000, Memory: 1024},
				Runtime:    time.Second,
				Actual:     500 * time.Millisecond,
				Deadline:   20 * time.Second,
				Idempotent: i%2 == 0,
				Checkpoint: true,
			}
			if i == jobsPerSite-1 {
				j.Name, j.Kind = o.Settings.Site+"-overhaul", "overhaul"
				j.Actual = 3 * time.Second
			}
			if err := o.Submit(ctx, j); err != nil {
				return err
			}
		}
	}
	return nil
}

// waitJobs waits until all jobs have ended, for at most jobsTimeout.
func (d *Drive) waitJobs(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, jobsTimeout)
	defer cancel()
	for {
		jobs, err := d.System.Jobs(ctx)
		if err != nil {
			return err
		}
		if allEnded(jobs) {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.New("some jobs did not end in time")
		case <-time.After(auditInterval):
		}
	}
}

// allEnded reports whether every job has ended.
func allEnded(jobs []cell.Job) bool {
	for _, j := range jobs {
		if j.Ended == 0 {
			return false
		}
	}
	return true
}

// runAudits audits the system periodically until ctx ends.
func (d *Drive) runAudits(ctx context.Context) {
	t := time.NewTicker(auditInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			d.System.Audit()
		}
	}
}

// printProgress prints a summary of the checks periodically until ctx ends.
func (d *Drive) printProgress(ctx context.Context) {
	t := time.NewTicker(progressInterval)
	defer t.Stop()
	start := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			fmt.Fprintf(d.Out, "%3.0f s: %s\n", time.Since(start).Seconds(), d.System.Check.Summary())
		}
	}
}

// printReport prints the reports of requests, jobs and checks.
func (d *Drive) printReport(ctx context.Context) error {
	for _, r := range d.reports {
		r.Print(d.Out)
	}
	jobs, err := d.System.Jobs(ctx)
	if err != nil {
		return err
	}
	inTime := 0
	for _, j := range jobs {
		if j.State == "done" && (j.Due == 0 || j.Ended <= j.Due) {
			inTime++
		}
	}
	evictions := 0
	for _, o := range d.System.Sites {
		evictions += o.Evictions()
	}
	fmt.Fprintf(d.Out, "jobs: %d, done by deadline: %d, evictions: %d\n", len(jobs), inTime, evictions)
	return d.printChecks()
}

// printChecks prints the result of the checks and returns an error if one failed.
func (d *Drive) printChecks() error {
	fmt.Fprintf(d.Out, "checked: %s\n", d.System.Check.Summary())
	bad := d.System.Check.Failures()
	if len(bad) == 0 {
		fmt.Fprintln(d.Out, "every invariant held")
		return nil
	}
	for _, b := range bad {
		fmt.Fprintln(d.Out, "broken:", b)
	}
	return fmt.Errorf("%d invariant checks failed", len(bad))
}
