package capac

import (
	"fmt"
	"strings"
)

// Markers around the part of the page that is written by Tables.
const (
	begin = "<!-- tables: go run ./cmd/lagoonload capacity --write -->"
	end   = "<!-- end of tables -->"
)

// Tables returns the generated part of docs/CAPACITY.md.
func Tables() (string, error) {
	all, err := Slopes()
	if err != nil {
		return "", err
	}
	var b strings.Builder
	p := Plan()
	fmt.Fprintf(&b, "%s\n\nWorked out for %.0f workers a cell, %.0f entries a region, a page at most every %.0f s and\n%.0f close watchers of each cell.\n\n", begin, p.CellWorkers, p.Entries, p.PageGap, p.Watchers)
	b.WriteString("| role | figure | value | limit | fits | carried by |\n|---|---|---|---|---|---|\n")
	for _, r := range Rows(Letter(), p, all) {
		fmt.Fprintf(&b, "| %s | %s | %s %s | %s | %s | %s |\n", r.Role, r.What, number(r.Value), r.Unit, limit(r), fits(r), r.Carries)
	}
	b.WriteString("\n## Slopes\n\n| slope | value | range | command |\n|---|---|---|---|\n")
	for _, s := range all {
		fmt.Fprintf(&b, "| %s | %s %s | %s | `%s` |\n", s.Name, number(s.Value), s.Unit, s.Range, s.Command)
	}
	fmt.Fprintf(&b, "\n%s\n", end)
	return b.String(), nil
}

func number(v float64) string {
	switch {
	case v >= 100:
		return fmt.Sprintf("%.0f", v)
	case v >= 10:
		return fmt.Sprintf("%.1f", v)
	}
	return fmt.Sprintf("%.2f", v)
}

func limit(r Row) string {
	if r.Limit == 0 {
		return "-"
	}
	return number(r.Limit) + " " + r.Unit
}

func fits(r Row) string {
	switch {
	case r.Limit == 0:
		return "-"
	case r.Fits():
		return "yes"
	}
	return "**no**"
}

// Replace puts freshly made tables into a page.
func Replace(page string) (string, error) {
	head, rest, ok := strings.Cut(page, begin)
	_, tail, ok2 := strings.Cut(rest, end+"\n")
	if !ok || !ok2 {
		return "", fmt.Errorf("the page has no place for the tables: %q and %q are needed", begin, end)
	}
	t, err := Tables()
	if err != nil {
		return "", err
	}
	return head + t + tail, nil
}
