// Package fuzz runs a randomised test for many seeds, on all CPUs at once.
package fuzz

import (
	"fmt"
	"runtime"
	"sync"
)

// Result holds the failures found by Run.
type Result struct {
	// Failed is the number of seeds that failed.
	Failed int
	// First describes the first failure of the lowest seed that failed. It is
	// empty if no seed failed.
	First string
	// Seeds lists the seeds that failed, in no particular order.
	Seeds []uint64
}

// Run calls runSeed once for each seed from 0 to n-1, from several goroutines.
// runSeed returns the failures that it found; none means that the seed passed.
func Run(n int, runSeed func(seed uint64) []string) Result {
	var mu sync.Mutex
	var workers sync.WaitGroup
	var out Result
	lowest := uint64(n)
	next := make(chan uint64)
	for range runtime.GOMAXPROCS(0) {
		workers.Go(func() {
			for seed := range next {
				failures := runSeed(seed)
				if len(failures) == 0 {
					continue
				}
				mu.Lock()
				out.Failed++
				out.Seeds = append(out.Seeds, seed)
				if seed < lowest {
					lowest = seed
					out.First = fmt.Sprintf("seed %d: %s", seed, failures[0])
				}
				mu.Unlock()
			}
		})
	}
	for s := range n {
		next <- uint64(s)
	}
	close(next)
	workers.Wait()
	return out
}
