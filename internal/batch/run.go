package batch

import (
	"fmt"
	"io"
	"sync"
	"text/tabwriter"
	"time"
)

// maxParallelRuns limits concurrent runs.
const maxParallelRuns = 6

// Run simulates every combination of load, seed and policy, several at a time.
func Run(c Config) []Outcome {
	type key struct {
		policy string
		load   float64
		seed   uint64
	}
	var keys []key
	for _, l := range c.Loads {
		for _, s := range c.Seeds {
			for _, p := range []string{policyOracle, policyCell, policyPlain} {
				keys = append(keys, key{p, l, s})
			}
		}
	}
	out := make([]Outcome, len(keys))
	var all sync.WaitGroup
	semaphore := make(chan struct{}, maxParallelRuns)
	for i, k := range keys {
		all.Go(func() {
			semaphore <- struct{}{}
			defer func() { <-semaphore }()
			out[i] = run(c, k.policy, k.load, k.seed)
		})
	}
	all.Wait()
	return out
}

// Print writes the outcomes as a table. It expects them in the order of Run:
// each group of three starts with the oracle, which the others are compared to.
func Print(w io.Writer, all []Outcome) {
	t := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	fmt.Fprintln(t, "load\tseed\tpolicy\tjobs\tmet\tof those that knows meets\tshort wait p50\tp99\tp99 over knows\tlast end\tevictions\tfailures\tpages/s\tbroken")
	var oracle Outcome
	for _, o := range all {
		if o.Policy == policyOracle {
			oracle = o
		}
		fmt.Fprintf(t, "%.2f\t%d\t%s\t%d\t%d\t%.2f%%\t%s\t%s\t%.2f\t%s\t%d\t%d\t%.2f\t%d\n",
			o.Load, o.Seed, o.Policy, o.Jobs, o.DeadlinesMet, 100*sharedDeadlines(o, oracle), o.Quantile(50), o.Quantile(99),
			float64(o.Quantile(99))/float64(oracle.Quantile(99)), o.LastEnd.Round(time.Second), o.Evictions, o.Failures,
			float64(o.Pages)/o.LastEnd.Seconds(), len(o.Violations))
	}
	_ = t.Flush()
}

// sharedDeadlines returns the share of the jobs in time with the oracle that are
// in time in o too.
func sharedDeadlines(o, oracle Outcome) float64 {
	if oracle.DeadlinesMet == 0 {
		return 0
	}
	n := 0
	for name := range oracle.JobsInTime {
		if o.JobsInTime[name] {
			n++
		}
	}
	return float64(n) / float64(oracle.DeadlinesMet)
}
