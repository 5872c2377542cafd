package plans_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"lagoonrack/internal/plans"
)

// good is a valid file of a job with two steps.
const good = `name: nightly-1
queue: r1
spec: "go"
steps:
  - {name: fetch, count: 2, cores: 0.5, memory: 256MiB, runtime: 900ms}
  - {name: plan, count: 8, cores: 2, memory: 1GiB, runtime: 7s, after: [fetch], checkpoint: true, fills: true, image: planner}
`

func TestParseValidFile(t *testing.T) {
	g := NewWithT(t)
	g.Expect(plans.HasSteps([]byte(good))).To(BeTrue())
	j, err := plans.Parse("job.yaml", []byte(good))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(j.Check()).To(Succeed())
	g.Expect(j.Steps).To(HaveLen(2))
	g.Expect(j.Steps[1].After).To(Equal([]int{0}))
	g.Expect(j.Steps[1].Size.Cores).To(Equal(int64(2000)))
	g.Expect(j.Steps[1].Estimate).To(Equal(int64(7000)))
}

// TestParseErrorNamesLocation checks that the error of an invalid file names the
// line or the key that is at fault.
func TestParseErrorNamesLocation(t *testing.T) {
	for text, want := range map[string]string{
		"name: a.b\nqueue: q\nsteps:\n  - {name: x, count: 1}\n":           "job.yaml:1:7: name",
		"name: a\nqueue: q\nsteps:\n  - {name: x, count: 0}\n":             "steps[x].count: 0 is less than 1",
		"name: a\nqueue: q\nsteps:\n  - {name: x, count: 1, after: [y]}\n": `"y" is not an earlier step`,
		"name: a\nqueue: q\nsteps:\n  - {name: x, count: 1, fast: true}\n": "steps[x].fast: unknown key",
		"name: a\nqueue: q\ntimes: 3\nsteps:\n  - {name: x, count: 1}\n":   "every",
		"name: a\nqueue: q\nsteps:\n  - {name: x, count: 1, runtime: 9}\n": "is not a span of time",
		"name: a\nsteps: []\n": "a queue is needed",
		"name: a\nqueue: q\nsteps:\n  - {count: 1, lasts: true, gang: 1}\n": "gang",
	} {
		t.Run(want, func(t *testing.T) {
			_, err := plans.Parse("job.yaml", []byte(text))
			NewWithT(t).Expect(err).To(MatchError(ContainSubstring(want)))
		})
	}
}
