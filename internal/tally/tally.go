// Package tally holds the metrics of a process. A counter, with a label for each
// reason of a rejection, a retry or an eviction, is created at its first use.
package tally

import (
	"io"
	"strings"
	"sync"

	"github.com/VictoriaMetrics/metrics"
)

// Set is a set of metrics that one process publishes. Its zero value works.
type Set struct {
	once sync.Once
	set  *metrics.Set
}

func (s *Set) metrics() *metrics.Set {
	s.once.Do(func() { s.set = metrics.NewSet() })
	return s.set
}

// Add adds n to the counter with the given name and label pairs.
func (s *Set) Add(n int, name string, labels ...string) {
	s.metrics().GetOrCreateCounter(series(name, labels)).Add(n)
}

// Inc adds one to a counter.
func (s *Set) Inc(name string, labels ...string) { s.Add(1, name, labels...) }

// Value returns the current value of a counter.
func (s *Set) Value(name string, labels ...string) uint64 {
	return s.metrics().GetOrCreateCounter(series(name, labels)).Get()
}

// Gauge publishes what f returns at the time of a scrape.
func (s *Set) Gauge(f func() float64, name string, labels ...string) {
	s.metrics().GetOrCreateGauge(series(name, labels), f)
}

// Seconds records a duration in a histogram, in seconds.
func (s *Set) Seconds(v float64, name string, labels ...string) {
	s.metrics().GetOrCreateHistogram(series(name, labels)).Update(v)
}

// Write writes all metrics in the Prometheus text format.
func (s *Set) Write(w io.Writer) {
	s.metrics().WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}

// series builds the name of a series; labels are pairs of name and value.
func series(name string, labels []string) string {
	if len(labels) == 0 {
		return name
	}
	var b strings.Builder
	b.WriteString(name)
	sep := "{"
	for i := 0; i+1 < len(labels); i += 2 {
		b.WriteString(sep)
		b.WriteString(labels[i])
		b.WriteString(`="`)
		b.WriteString(labels[i+1])
		b.WriteString(`"`)
		sep = ","
	}
	b.WriteString("}")
	return b.String()
}
