package await_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lagoonrack/internal/await"
)

func TestAwait(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "await")
}

const (
	ms   = time.Millisecond
	base = 600 * ms
)

var _ = Describe("the timeout of a store call", func() {
	var l *await.Timeout
	BeforeEach(func() { l = &await.Timeout{} })

	It("is the base timeout while answers take the usual time", func() {
		for at := time.Duration(0); at < 10*time.Second; at += 10 * ms {
			l.RecordAnswer(at, 4*ms)
			Expect(l.For(at, base)).To(Equal(base))
		}
	})
	It("exceeds the latency of slow answers from the first one on", func() {
		for at := time.Second; at < 7*time.Second; at += 500 * ms {
			l.RecordAnswer(at, 600*ms)
			Expect(l.For(at, base)).To(Equal(1800 * ms))
		}
	})
	It("is the base timeout again some seconds after the last slow answer", func() {
		l.RecordAnswer(time.Second, 600*ms)
		for at := time.Second; at < 6*time.Second; at += 10 * ms {
			l.RecordAnswer(at, 4*ms)
		}
		Expect(l.For(6*time.Second, base)).To(Equal(base))
	})
	It("doubles after a timeout, and grows no further with more timeouts", func() {
		for at := time.Second; at < 9*time.Second; at += 100 * ms {
			l.RecordTimeout(at)
			Expect(l.For(at, base)).To(Equal(2 * base))
		}
		Expect(l.For(13*time.Second, base)).To(Equal(base))
	})
	It("stays below the time that callers wait, unless the base timeout is longer", func() {
		l.RecordAnswer(time.Second, 10*time.Second)
		Expect(l.For(time.Second, base)).To(Equal(2400 * ms))
		Expect(l.For(time.Second, 3*time.Second)).To(Equal(3*time.Second), "the base timeout is the minimum")
	})
	It("is the base timeout for a nil Timeout", func() {
		l = nil
		l.RecordAnswer(time.Second, time.Second)
		l.RecordTimeout(time.Second)
		Expect(l.For(time.Second, base)).To(Equal(base))
	})
})
