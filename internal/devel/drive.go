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

// Drive puts an example load on a system and reports on it.
type Drive struct {
	System *System
	// For is how long requests arrive; jobs that were accepted are waited for.
	For time.Duration
	// Rate is requests a second to each service.
	Rate float64
	Seed uint64
	Out  io.Writer

	mu      sync.Mutex
	reports []load.Report
}

const (
	// jobsEach is the number of jobs that each site gets, and tasksEach the
	// number of tasks of each.
	jobsEach  = 4
	tasksEach = 12
	// jobsWithin bounds the wait for jobs after the load has ended.
	jobsWithin = 30 * time.Second
	progress   = 2 * time.Second
	auditEvery = 50 * time.Millisecond
)

// Run drives the load and prints a report. It returns an error if a check
// failed or a job did not end.
func (d *Drive) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var side sync.WaitGroup
	watch, stop := context.WithCancel(ctx)
	side.Go(func() { d.loopAudit(watch) })
	side.Go(func() { d.loopProgress(watch) })
	var loads sync.WaitGroup
	for _, o := range d.System.Sites {
		loads.Go(func() { d.requests(ctx, o) })
	}
	err := d.jobs(ctx)
	loads.Wait()
	err = errors.Join(err, d.waitJobs(ctx))
	stop()
	side.Wait()
	return errors.Join(err, d.print(ctx))
}

func (d *Drive) requests(ctx context.Context, o *Site) {
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

// jobs submits the example jobs: short inspections and longer overhaul plans.
func (d *Drive) jobs(ctx context.Context) error {
	for _, o := range d.System.Sites {
		for i := range jobsEach {
			j := wire.Job{
				Name:       fmt.Sprintf("%s-inspection-%d", o.Settings.Site, i+1),
				Team:       "ndiaye",
				Kind:       "inspection",
				Tasks:      tasksEach,
				Size:       vect.Size{Cores: 1000, Memory: 1024},
				Runtime:    time.Second,
				Actual:     500 * time.Millisecond,
				Deadline:   20 * time.Second,
				Idempotent: i%2 == 0,
				Checkpoint: true,
			}
			if i == jobsEach-1 {
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

func (d *Drive) waitJobs(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, jobsWithin)
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
		case <-time.After(auditEvery):
		}
	}
}

func allEnded(jobs []cell.Job) bool {
	for _, j := range jobs {
		if j.Ended == 0 {
			return false
		}
	}
	return true
}

func (d *Drive) loopAudit(ctx context.Context) {
	t := time.NewTicker(auditEvery)
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

func (d *Drive) loopProgress(ctx context.Context) {
	t := time.NewTicker(progress)
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

func (d *Drive) print(ctx context.Context) error {
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
	return d.verdict()
}

func (d *Drive) verdict() error {
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
