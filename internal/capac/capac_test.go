package capac_test

import (
	"os"
	"testing"

	. "github.com/onsi/gomega"

	"lagoonrack/internal/capac"
)

// TestPage holds the page and the command together.
func TestPage(t *testing.T) {
	g := NewWithT(t)
	data, err := os.ReadFile("../../docs/CAPACITY.md")
	g.Expect(err).NotTo(HaveOccurred())
	fresh, err := capac.Replace(string(data))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(data)).To(Equal(fresh), "run go run ./cmd/lagoonload capacity --write")
}

func TestRowsFollowTheSlopes(t *testing.T) {
	g := NewWithT(t)
	all, err := capac.Slopes()
	g.Expect(err).NotTo(HaveOccurred())
	before := capac.Rows(capac.Letter(), capac.Plan(), all)
	for i := range all {
		all[i].Value *= 2
	}
	after := capac.Rows(capac.Letter(), capac.Plan(), all)
	changed := 0
	for i := range before {
		if after[i].Value != before[i].Value {
			changed++
		}
	}
	g.Expect(changed).To(BeNumerically(">=", 10))
}
