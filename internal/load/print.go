package load

import (
	"fmt"
	"io"
	"maps"
	"slices"
)

// Print writes the report as text.
func (r Report) Print(w io.Writer) {
	fmt.Fprintf(w, "service %s: %d requests, p50 %s, p99 %s, p99.9 %s\n",
		r.Service, r.Sent, r.Quantile(50), r.Quantile(99), r.Quantile(99.9))
	for _, n := range slices.Sorted(maps.Keys(r.Outcomes)) {
		fmt.Fprintf(w, "  %-24s %d\n", n, r.Outcomes[n])
	}
	if r.WrongBodies > 0 {
		fmt.Fprintf(w, "  answers that were not their own: %d\n", r.WrongBodies)
	}
}
