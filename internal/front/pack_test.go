package front

import (
	"fmt"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

// Day scale-1 of the grown Burgwacht site: an entry on a link of 10 Mbit/s did
// not get a configuration of 1,647 routes for 4.4 s, and answered 404 meanwhile.
func TestAConfigurationOfManyRoutesIsSmallOnTheWay(t *testing.T) {
	g := NewWithT(t)
	var b strings.Builder
	for i := range 1647 {
		fmt.Fprintf(&b, `{"name":"r-%07x","host":"h%d.example","prefix":"/p%x/","kind":"unsafe","timeoutMs":3000,"targetLatencyMs":250,"priority":0,"service":"s","maxAttempts":3,"stretch":1.5},`, i*7919, i%7, i*104729)
	}
	raw := []byte(b.String())
	packed, err := pack(raw)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(len(packed)).To(BeNumerically("<", len(raw)/5), "of %d bytes", len(raw))
	got, err := unpack(packed)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(got).To(Equal(raw))
}
