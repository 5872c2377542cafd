// Package fuzz runs many sequences of events, one for each seed, on all
// processors. It is for tests.
package fuzz

import (
	"fmt"
	"runtime"
	"sync"
)

// Result says how many sequences broke a promise.
type Result struct {
	Failed int
	// First is the failure of the lowest seed, or empty.
	First string
	// Seeds lists the seeds that failed, in no order.
	Seeds []uint64
}

// Run runs one(0) to one(n-1), each of which returns what it found broken.
func Run(n int, one func(seed uint64) []string) Result {
	var mu sync.Mutex
	var all sync.WaitGroup
	var out Result
	lowest := uint64(n)
	next := make(chan uint64)
	for range runtime.GOMAXPROCS(0) {
		all.Go(func() {
			for seed := range next {
				bad := one(seed)
				if len(bad) == 0 {
					continue
				}
				mu.Lock()
				out.Failed++
				out.Seeds = append(out.Seeds, seed)
				if seed < lowest {
					lowest = seed
					out.First = fmt.Sprintf("seed %d: %s", seed, bad[0])
				}
				mu.Unlock()
			}
		})
	}
	for s := range n {
		next <- uint64(s)
	}
	close(next)
	all.Wait()
	return out
}
