package capac_test

import (
	"os"
	"testing"

	. "github.com/onsi/gomega"

	"lagoonrack/internal/capac"
)

// TestCapacityPageIsCurrent fails if the tables in docs/CAPACITY.md differ from
// those that the capacity command generates from the slopes.
func TestCapacityPageIsCurrent(t *testing.T) {
	g := NewWithT(t)
	data, err := os.ReadFile("../../docs/CAPACITY.md")
	g.Expect(err).NotTo(HaveOccurred())
	updated, err := capac.Replace(string(data))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(data)).To(Equal(updated), "run go run ./cmd/lagoonload capacity --write")
}

// TestRowsDependOnSlopes guards against figures that are not computed from the
// slopes: when all slopes are doubled, at least 10 figures have to change.
func TestRowsDependOnSlopes(t *testing.T) {
	g := NewWithT(t)
	all, err := capac.Slopes()
	g.Expect(err).NotTo(HaveOccurred())
	before := capac.Rows(capac.TargetSize(), capac.PlannedDesign(), all)
	for i := range all {
		all[i].Value *= 2
	}
	after := capac.Rows(capac.TargetSize(), capac.PlannedDesign(), all)
	changed := 0
	for i := range before {
		if after[i].Value != before[i].Value {
			changed++
		}
	}
	g.Expect(changed).To(BeNumerically(">=", 10))
}
