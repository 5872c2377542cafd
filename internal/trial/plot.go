package trial

import (
	"fmt"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Dimensions of the plot.
const (
	plotWidth  = 20 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
)

// Plot draws a line for each policy with the share of requests answered in time,
// by second of arrival, for the first load, seed and number of entries of the
// experiment. Outcomes with one entry are drawn too, because those of the limit
// always have one. The suffix of the file name selects the format.
func Plot(file string, c Config, all []Outcome) error {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("%s: answers in time, load %.2f, %d entries, seed %d", c.Name, c.Loads[0], c.Entries[0], c.Seeds[0])
	p.X.Label.Text = "second of arrival"
	p.Y.Label.Text = "share answered in time"
	p.Y.Min, p.Y.Max = 0, 1
	var lines []any
	for _, o := range all {
		if o.Load != c.Loads[0] || o.Seed != c.Seeds[0] || o.Entries != 1 && o.Entries != c.Entries[0] {
			continue
		}
		lines = append(lines, o.Policy, goodputLine(c, o))
	}
	if err := plotutil.AddLines(p, lines...); err != nil {
		return err
	}
	return p.Save(plotWidth, plotHeight, file)
}

// goodputLine returns the share of requests answered in time for each second.
func goodputLine(c Config, o Outcome) plotter.XYs {
	var out plotter.XYs
	for i, s := range o.Seconds {
		if time.Duration(i)*time.Second >= c.length() || s.Sent == 0 {
			break
		}
		out = append(out, plotter.XY{X: float64(i), Y: share(s.Good, s.Sent)})
	}
	return out
}
