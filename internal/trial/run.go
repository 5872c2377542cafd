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

// Run runs every combination of the experiment, on several processors.
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
	turn := make(chan struct{}, parallel)
	for i, j := range jobs {
		all.Go(func() {
			turn <- struct{}{}
			defer func() { <-turn }()
			out[i] = j()
		})
	}
	all.Wait()
	return out
}

// parallel bounds the runs at a time, and with them the memory.
const parallel = 6

func runPolicy(c Config, policy string, entries int, load float64, seed uint64) Outcome {
	if policies[policy] == nil {
		return runLate(c, entries, load, seed)
	}
	return runPlain(c, policy, entries, load, seed)
}

// Print writes a table of outcomes.
func Print(w io.Writer, c Config, all []Outcome) {
	t := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	fmt.Fprintln(t, "load\tseed\tentries\tpolicy\tp50\tp99\tp99.9\tp99/median\tgood\tnot-run\tunknown\tidle waits\tmessages/request\tsends/request\trecovery\treasons")
	for _, o := range all {
		fmt.Fprintf(t, "%.2f\t%d\t%d\t%s\t%s\t%s\t%s\t%.2f\t%.4f\t%d\t%d\t%.3f%%\t%.2f\t%.3f\t%s\t%s\n",
			o.Load, o.Seed, o.Entries, o.Policy, round(o.Quantile(50)), round(o.Quantile(99)), round(o.Quantile(99.9)),
			float64(o.Quantile(99))/float64(c.Median), share(o.Good, o.Sent), o.NotRun, o.Unknown,
			100*share(o.Idle, o.Sent), share(o.Messages, o.Sent), share(o.Sends, o.Sent), recovery(c, o), reasons(o))
	}
	_ = t.Flush()
}

// recovery returns how many seconds after the crest the 99th percentile of each
// further second is at most a fifth above that before the crest.
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

// reasons lists the reasons of answers that did not run.
func reasons(o Outcome) string {
	var out []string
	for _, k := range slices.Sorted(maps.Keys(o.Reasons)) {
		out = append(out, fmt.Sprintf("%s: %d", k, o.Reasons[k]))
	}
	return strings.Join(out, ", ")
}

func round(d time.Duration) time.Duration { return d.Round(10 * time.Microsecond) }

func share(n, of int) float64 {
	if of == 0 {
		return 0
	}
	return float64(n) / float64(of)
}
