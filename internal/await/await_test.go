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
	RunSpecs(t, "the wait for the store")
}

const (
	ms    = time.Millisecond
	least = 600 * ms
)

var _ = Describe("the wait for an answer", func() {
	var l *await.Limit
	BeforeEach(func() { l = &await.Limit{} })

	It("is the least while answers come as usual", func() {
		for at := time.Duration(0); at < 10*time.Second; at += 10 * ms {
			l.Answered(at, 4*ms)
			Expect(l.For(at, least)).To(Equal(least))
		}
	})
	It("is longer than the slow answers that came, from the first one on", func() {
		for at := time.Second; at < 7*time.Second; at += 500 * ms {
			l.Answered(at, 600*ms)
			Expect(l.For(at, least)).To(Equal(1800 * ms))
		}
	})
	It("is the least again some seconds after the last slow answer", func() {
		l.Answered(time.Second, 600*ms)
		for at := time.Second; at < 6*time.Second; at += 10 * ms {
			l.Answered(at, 4*ms)
		}
		Expect(l.For(6*time.Second, least)).To(Equal(least))
	})
	It("doubles after a call that was given up, and not more while none is answered", func() {
		for at := time.Second; at < 9*time.Second; at += 100 * ms {
			l.Missed(at)
			Expect(l.For(at, least)).To(Equal(2 * least))
		}
		Expect(l.For(13*time.Second, least)).To(Equal(least))
	})
	It("stays below the time that callers have", func() {
		l.Answered(time.Second, 10*time.Second)
		Expect(l.For(time.Second, least)).To(Equal(2400 * ms))
		Expect(l.For(time.Second, 3*time.Second)).To(Equal(3*time.Second), "the least holds")
	})
	It("is the least without a limit", func() {
		l = nil
		l.Answered(time.Second, time.Second)
		l.Missed(time.Second)
		Expect(l.For(time.Second, least)).To(Equal(least))
	})
})
