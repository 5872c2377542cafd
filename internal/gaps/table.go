package gaps

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Row sums up the gaps of one queue that have one cause.
type Row struct {
	Queue string `json:"queue"`
	Cause string `json:"cause"`
	Gaps  int    `json:"gaps"`
	Jobs  int    `json:"jobs"`
	// Seconds is the sum of the gaps, and Longest the longest one.
	Seconds float64 `json:"seconds"`
	Longest float64 `json:"longest"`
}

// Table sums gaps up by queue and cause, in each queue the cause with the longest sum
// first.
func Table(all []Gap) []Row {
	type key struct{ queue, cause string }
	rows, jobs := map[key]*Row{}, map[key]map[string]bool{}
	for _, g := range all {
		k := key{g.Queue, g.Cause}
		if rows[k] == nil {
			rows[k], jobs[k] = &Row{Queue: g.Queue, Cause: g.Cause}, map[string]bool{}
		}
		jobs[k][g.Job] = true
		r := rows[k]
		r.Gaps, r.Jobs = r.Gaps+1, len(jobs[k])
		r.Seconds += g.Duration()
		r.Longest = max(r.Longest, g.Duration())
	}
	var out []Row
	for _, r := range rows {
		out = append(out, *r)
	}
	slices.SortFunc(out, func(a, b Row) int {
		return cmp.Or(cmp.Compare(a.Queue, b.Queue), cmp.Compare(b.Seconds, a.Seconds), cmp.Compare(a.Cause, b.Cause))
	})
	return out
}

// Print writes a table as text.
func Print(w io.Writer, rows []Row) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "queue\tcause\tgaps\tjobs\tseconds\tlongest")
	for _, r := range rows {
		fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%.1f\t%.2f\n", r.Queue, r.Cause, r.Gaps, r.Jobs, r.Seconds, r.Longest)
	}
	return t.Flush()
}

// Dimensions of the plot.
const (
	plotWidth  = 22 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
)

// plottedCauses is how many causes the plot shows, those with the longest sums.
const plottedCauses = 6

// Plot draws, for each cause, how many tasks were not at work in each second. The suffix
// of the file name selects the format.
func Plot(file, title string, all []Gap) error {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = "second"
	p.Y.Label.Text = "tasks not at work, mean of the second"
	p.Y.Min = 0
	p.Legend.Top = true
	sums := map[string]float64{}
	for _, g := range all {
		sums[g.Cause] += g.Duration()
	}
	var causes []string
	for c := range sums {
		causes = append(causes, c)
	}
	slices.SortFunc(causes, func(a, b string) int { return cmp.Or(cmp.Compare(sums[b], sums[a]), cmp.Compare(a, b)) })
	var lines []any
	for _, c := range causes[:min(plottedCauses, len(causes))] {
		lines = append(lines, c, perSecond(all, c))
	}
	if err := plotutil.AddLines(p, lines...); err != nil {
		return err
	}
	return p.Save(plotWidth, plotHeight, file)
}

// perSecond returns the tasks that were not at work because of a cause, for each second
// from the first gap to the last.
func perSecond(all []Gap, cause string) plotter.XYs {
	first, last := int(all[0].From), int(all[0].To)
	for _, g := range all {
		first, last = min(first, int(g.From)), max(last, int(g.To))
	}
	out := make(plotter.XYs, last-first+1)
	for i := range out {
		from := float64(first + i)
		out[i].X = from
		for _, g := range all {
			if g.Cause == cause {
				out[i].Y += max(0, min(g.To, from+1)-max(g.From, from))
			}
		}
	}
	return out
}
