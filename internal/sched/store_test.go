package sched_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lagoonrack/internal/plat"
	"lagoonrack/internal/sched"
	"lagoonrack/internal/work"
)

// The limits of the platform's store. It refuses a transaction that breaks one of them as a
// whole, however often the transaction is repeated.
const (
	// maxRowBytes bounds the value of a row, and maxTxnBytes a transaction as it is sent,
	// with its values in base64.
	maxRowBytes = 64 << 10
	maxTxnBytes = 1_000_000
	// maxTxnEntries bounds the checks and writes of a transaction. The owner adds
	// ownEntries to each commit: two checks and the commit mark.
	maxTxnEntries = 100
	ownEntries    = 3
)

// checkLimits returns an error if the store would refuse a commit. rowBytes bounds the
// value of a row.
func checkLimits(c sched.Commit, rowBytes int) error {
	if n := len(c.Writes) + ownEntries; n > maxTxnEntries {
		return fmt.Errorf("a transaction of %d entries", n)
	}
	size := 0
	keys := map[string]bool{}
	for _, w := range c.Writes {
		if len(w.Value) > rowBytes {
			return fmt.Errorf("a value of %d bytes in row %s", len(w.Value), w.Key)
		}
		if keys[w.Key] {
			return fmt.Errorf("two writes of row %s in a transaction", w.Key)
		}
		keys[w.Key] = true
		table, part, key := plat.SplitKey(w.Key)
		size += len(w.Value)*4/3 + len(table) + len(part) + len(key) + 64
	}
	if size > maxTxnBytes {
		return fmt.Errorf("a transaction of %d bytes", size)
	}
	return nil
}

// What an owner learns of images and queues is stored for the next one. In one row it
// outgrows the store's limit for a value, and then no progress of any job is stored.
var _ = Describe("what an owner has learned", func() {
	// learnPairs lets as many images of each kind run beside each other on one worker.
	learnPairs := func(images int, nameBytes int) *testCell {
		s := newTestCell(testQueues, 4000)
		for i := range images {
			step := latencyStep(1, 1)
			step.Image = fmt.Sprintf("%0*d", nameBytes, i)
			s.submit(fmt.Sprintf("%016x", i), "serve", step)
		}
		s.advance(time.Second)
		for i := range images {
			step := bestEffortStep(1)
			step.Count, step.Image = 1, fmt.Sprintf("b%0*d", nameBytes-1, i)
			s.submit(fmt.Sprintf("%016x", 1000+i), "fill", step)
		}
		s.advance(2 * time.Second)
		return s
	}
	// keepStoring makes a transaction every second, as traffic does.
	keepStoring := func(s *testCell, d time.Duration) {
		for i := range int(d / time.Second) {
			s.submit(fmt.Sprintf("%016x", 5000+i+int(s.now/time.Second)), "short", shortStep(1, false))
			s.advance(time.Second)
		}
	}

	It("is stored within the limits, however many images there are", func() {
		const images = 45
		s := learnPairs(images, 16)
		keepStoring(s, 60*time.Second)
		Expect(storedPairs(s.learnedRows)).To(Equal(images * images))
		s.core = sched.New(sched.Limits{}, 2, s.now, 0, sched.StoredRows{Learned: s.learnedRows}, s.config)
		keepStoring(s, 12*time.Second)
		Expect(storedPairs(s.learnedRows)).To(Equal(images*images), "the next owner keeps what it has not measured itself")
	})
	It("is stored within the limits, however long the names are", func() {
		s := learnPairs(20, 800)
		keepStoring(s, 20*time.Second)
		Expect(storedPairs(s.learnedRows)).To(BeZero())
		s = learnPairs(20, 400)
		keepStoring(s, 200*time.Second)
		Expect(storedPairs(s.learnedRows)).To(Equal(20 * 20))
	})
	It("is read from the single row of earlier versions", func() {
		type saved struct {
			Pairs []any              `cbor:"1,keyasint"`
			Bases map[string]float64 `cbor:"2,keyasint"`
		}
		data, err := work.Encode(struct {
			Interference saved `cbor:"2,keyasint"`
		}{saved{Pairs: []any{[]any{"plan", "web", 1.5, 0.1}}, Bases: map[string]float64{"web": 4}}})
		Expect(err).NotTo(HaveOccurred())
		s := newTestCell(testQueues, 4)
		s.core = sched.New(sched.Limits{}, 2, s.now, 0, sched.StoredRows{Learned: map[string][]byte{sched.LearnedKey: data}}, s.config)
		keepStoring(s, 10*time.Second)
		Expect(storedPairs(s.learnedRows)).To(Equal(1))
	})
	It("is not lost with one row that can't be read", func() {
		s := learnPairs(20, 16)
		keepStoring(s, 20*time.Second)
		rows := s.learnedRows
		rows[sched.LearnedKey+"/0"] = []byte{0xff}
		rows[sched.LearnedKey+"/1000000000"] = []byte{0xa0}
		left := storedPairs(rows)
		s.core = sched.New(sched.Limits{}, 2, s.now, 0, sched.StoredRows{Learned: rows}, s.config)
		keepStoring(s, 12*time.Second)
		Expect(rows).NotTo(HaveKey(sched.LearnedKey + "/1000000000"))
		Expect(storedPairs(s.learnedRows)).To(BeNumerically(">=", left))
	})
})

// storedPairs counts the pairs of images in rows with what was learned. Rows that can't be
// read count as empty.
func storedPairs(rows map[string][]byte) int {
	n := 0
	for _, data := range rows {
		var row struct {
			Interference struct {
				Pairs []any `cbor:"1,keyasint"`
			} `cbor:"2,keyasint"`
		}
		if work.Decode(data, &row) == nil {
			n += len(row.Interference.Pairs)
		}
	}
	return n
}
