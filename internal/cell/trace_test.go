package cell_test

import (
	"fmt"
	"os"
	"strconv"
	"testing"
)

// TestTrace prints the events of the chaos test with one seed, and its violations:
// SEED=544 go test -run Trace.
func TestTrace(t *testing.T) {
	seed, err := strconv.ParseUint(os.Getenv("SEED"), 10, 64)
	if err != nil {
		t.Skip("no SEED is given")
	}
	c := newChaos(seed, false)
	c.trace = func(format string, args ...any) { fmt.Printf("%12s "+format+"\n", append([]any{c.Now()}, args...)...) }
	c.run()
	for _, b := range c.errs {
		fmt.Println("violation:", b)
	}
}
