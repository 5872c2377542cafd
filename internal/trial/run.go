package trial

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"sync"
	"text/tabwriter"
	"time"
)

// Run simulates every combination of load, seed, number of entries and policy,
// several at a time, and the limit for each load and seed.
func Run(c Config) []Outcome {
	var jobs []func() Outcome
	for _, load := range c.Loads {
		for _, seed := range c.Seeds {
			jobs = append(jobs, func() Outcome { return runLimit(c, false, load, seed) })
			jobs = append(jobs, func() Outcome { return runLimit(c, true, load, seed) })
			for _, n := range c.Entries {
				for _, p := range c.Policies {
					jobs = append(jobs, func() Outcome { return runPolicy(c, p, n, load, seed) })
				}
			}
		}
	}
	out := make([]Outcome, len(jobs))
	var all sync.WaitGroup
	semaphore := make(chan struct{}, maxParallelRuns)
	for i, j := range jobs {
		all.Go(func() {
			semaphore <- struct{}{}
			defer func() { <-semaphore }()
			out[i] = j()
		})
	}
	all.Wait()
	return out
}

// maxParallelRuns limits concurrent runs, and with them the memory in use.
const maxParallelRuns = 6

// runPolicy simulates one run of the named policy.
func runPolicy(c Config, policy string, entries int, load float64, seed uint64) Outcome {
	if policies[policy] == nil {
		return runLateBinding(c, entries, load, seed)
	}
	return runBaseline(c, policy, entries, load, seed)
}

// Print writes the outcomes as a table.
func Print(w io.Writer, c Config, all []Outcome) {
	t := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	fmt.Fprintln(t, "load\tseed\tentries\tpolicy\tp50\tp99\tp99.9\tp99/median\tgood\tnot-run\tunknown\tidle waits\tmessages/request\tsends/request\trecovery\treasons")
	for _, o := range all {
		fmt.Fprintf(t, "%.2f\t%d\t%d\t%s\t%s\t%s\t%s\t%.2f\t%.4f\t%d\t%d\t%.3f%%\t%.2f\t%.3f\t%s\t%s\n",
			o.Load, o.Seed, o.Entries, o.Policy, roundLatency(o.Quantile(50)), roundLatency(o.Quantile(99)), roundLatency(o.Quantile(99.9)),
			float64(o.Quantile(99))/float64(c.Median), share(o.Good, o.Sent), o.NotRun, o.Unknown,
			100*share(o.IdleWaits, o.Sent), share(o.Messages, o.Sent), share(o.Sends, o.Sent), recovery(c, o), reasons(o))
	}
	_ = t.Flush()
}

// recovery returns the number of seconds from the end of the crest until the
// 99th percentile of every later second is at most a fifth above that of the
// last second before the rise.
func recovery(c Config, o Outcome) string {
	if c.Crest == 0 {
		return "-"
	}
	warm := int(c.Warm.Std() / time.Second)
	end := int((c.Warm + c.Rise + c.Hold).Std() / time.Second)
	steady := o.Seconds[warm-1].P99()
	last := end
	for i := end; i < len(o.Seconds)-1; i++ {
		if o.Seconds[i].P99() > steady*6/5 {
			last = i + 1
		}
	}
	return fmt.Sprintf("%d s", last-end)
}

// reasons formats the counts of answers that did not run, by reason.
func reasons(o Outcome) string {
	var out []string
	for _, k := range slices.Sorted(maps.Keys(o.Reasons)) {
		out = append(out, fmt.Sprintf("%s: %d", k, o.Reasons[k]))
	}
	return strings.Join(out, ", ")
}

func roundLatency(d time.Duration) time.Duration { return d.Round(10 * time.Microsecond) }

// share returns n as a share of total, and 0 if total is 0.
func share(n, total int) float64 {
	if total == 0 {
		return 0
	}
	return float64(n) / float64(total)
}
