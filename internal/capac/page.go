package capac

import (
	"fmt"
	"strings"
)

// Markers around the part of docs/CAPACITY.md that Tables generates.
const (
	beginMarker = "<!-- tables: go run ./cmd/lagoonload capacity --write -->"
	endMarker   = "<!-- end of tables -->"
)

// Tables returns the generated part of docs/CAPACITY.md, with its markers.
func Tables() (string, error) {
	all, err := Slopes()
	if err != nil {
		return "", err
	}
	var b strings.Builder
	p := PlannedDesign()
	fmt.Fprintf(&b, "%s\n\nWorked out for %.0f workers a cell, %.0f entries a region, a page at most every %.0f s and\n%.0f close watchers of each cell.\n\n", beginMarker, p.CellWorkers, p.Entries, p.PageGap, p.Watchers)
	b.WriteString("| role | figure | value | limit | fits | carried by |\n|---|---|---|---|---|---|\n")
	for _, r := range Rows(TargetSize(), p, all) {
		fmt.Fprintf(&b, "| %s | %s | %s %s | %s | %s | %s |\n", r.Role, r.Figure, formatNumber(r.Value), r.Unit, formatLimit(r), formatFits(r), r.Mechanism)
	}
	b.WriteString("\n## Slopes\n\n| slope | value | range | command |\n|---|---|---|---|\n")
	for _, s := range all {
		fmt.Fprintf(&b, "| %s | %s %s | %s | `%s` |\n", s.Name, formatNumber(s.Value), s.Unit, s.Range, s.Command)
	}
	fmt.Fprintf(&b, "\n%s\n", endMarker)
	return b.String(), nil
}

// formatNumber formats a figure with fewer decimals the larger it is.
func formatNumber(v float64) string {
	switch {
	case v >= 100:
		return fmt.Sprintf("%.0f", v)
	case v >= 10:
		return fmt.Sprintf("%.1f", v)
	}
	return fmt.Sprintf("%.2f", v)
}

// formatLimit formats the limit of a row, or "-" if it has none.
func formatLimit(r Row) string {
	if r.Limit == 0 {
		return "-"
	}
	return formatNumber(r.Limit) + " " + r.Unit
}

// formatFits tells whether a row is within its limit, or "-" if it has none.
func formatFits(r Row) string {
	switch {
	case r.Limit == 0:
		return "-"
	case r.Fits():
		return "yes"
	}
	return "**no**"
}

// Replace replaces the tables between the markers of a page by newly generated
// ones.
func Replace(page string) (string, error) {
	head, rest, ok := strings.Cut(page, beginMarker)
	_, tail, ok2 := strings.Cut(rest, endMarker+"\n")
	if !ok || !ok2 {
		return "", fmt.Errorf("the page has no place for the tables: %q and %q are needed", beginMarker, endMarker)
	}
	t, err := Tables()
	if err != nil {
		return "", err
	}
	return head + t + tail, nil
}
