package chart_test

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"

	. "github.com/onsi/gomega"

	"lagoonrack/internal/chart"
)

// chartFiles returns the paths of all charts of the project.
func chartFiles(t *testing.T) []string {
	all, err := filepath.Glob("../*/*.chart.yaml")
	if err != nil || len(all) == 0 {
		t.Fatalf("no charts found: %v", err)
	}
	return all
}

func loadChart(t *testing.T, file string) *chart.Chart {
	data, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	c, err := chart.Load(data)
	if err != nil {
		t.Fatalf("%s: %v", file, err)
	}
	return c
}

func TestMachineAndNextAgree(t *testing.T) {
	for _, f := range chartFiles(t) {
		c := loadChart(t, f)
		for _, s := range c.States() {
			for _, e := range c.Events() {
				t.Run(fmt.Sprintf("%s/%s/%s", filepath.Base(f), s, e), func(t *testing.T) {
					g := NewWithT(t)
					m := c.Machine(s)
					g.Expect(m.Fire(e)).To(Succeed())
					want, _ := c.Next(s, e)
					g.Expect(m.MustState()).To(Equal(want))
				})
			}
		}
	}
}

func TestLoadRejectsInvalidCharts(t *testing.T) {
	for name, tc := range map[string]struct{ text, want string }{
		"undefined initial state":        {"name: x\ninitial: a\nstates: {b: {}}", `initial state "a" is not defined`},
		"undefined target":               {"name: x\ninitial: a\nstates: {a: {on: {go: b}}}", `undefined state "b"`},
		"unreachable state":              {"name: x\ninitial: a\nstates: {a: {ignore: [go]}, b: {on: {go: a}}}", "state b can't be reached"},
		"unhandled event":                {"name: x\ninitial: a\nstates: {a: {on: {go: b}}, b: {}}", "event go is neither handled nor ignored"},
		"event both handled and ignored": {"name: x\ninitial: a\nstates: {a: {on: {go: a}, ignore: [go]}}", "both handled and ignored"},
		"unknown YAML key":               {"name: x\nstart: a", "field start not found"},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := chart.Load([]byte(tc.text))
			NewWithT(t).Expect(err).To(MatchError(ContainSubstring(tc.want)))
		})
	}
}

func BenchmarkNext(b *testing.B) {
	data, err := os.ReadFile("../route/attempt.chart.yaml")
	if err != nil {
		b.Fatal(err)
	}
	c := chart.Must(data)
	b.Run("table", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			c.Next("sent", "ran")
		}
	})
	b.Run("stateless", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			m := c.Machine("sent")
			if err := m.Fire("ran"); err != nil {
				b.Fatal(err)
			}
		}
	})
}
