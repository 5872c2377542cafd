package turns

import (
	"fmt"
	"testing"
)

func addresses(n int) []string {
	out := make([]string, n)
	for i := range out {
		out[i] = fmt.Sprintf("10.0.0.%d:7000", i+1)
	}
	return out
}

// TestLiveAddressIsFoundInOneRound guards against tries of a dead address on end: with any one
// of N addresses alive, it is found in N tries at most, wherever the tries begin.
func TestLiveAddressIsFoundInOneRound(t *testing.T) {
	for n := 1; n <= 12; n++ {
		addrs := addresses(n)
		for alive := range n {
			for before := range 5 {
				turns := Turns{Name: "agent"}
				for range before {
					turns.Next(addrs)
				}
				tries := 1
				for turns.Next(addrs) != addrs[alive] {
					tries++
				}
				if tries > n {
					t.Fatalf("%d of %d found after %d tries", alive, n, tries)
				}
			}
		}
	}
}

func TestTurns(t *testing.T) {
	addrs := addresses(3)
	t.Run("users begin at different addresses", func(t *testing.T) {
		begun := map[string]int{}
		for i := range 300 {
			turns := Turns{Name: fmt.Sprint("agent-", i)}
			begun[turns.Next(addrs)]++
		}
		for _, a := range addrs {
			if begun[a] < 60 {
				t.Errorf("%d of 300 begin at %s", begun[a], a)
			}
		}
	})
	t.Run("an address that was tried comes last", func(t *testing.T) {
		turns := Turns{}
		turns.Tried(addrs[1])
		got := []string{turns.Next(addrs), turns.Next(addrs), turns.Next(addrs)}
		if got[2] != addrs[1] {
			t.Errorf("order %v", got)
		}
	})
	t.Run("a new address comes first", func(t *testing.T) {
		turns := Turns{}
		for range 5 {
			turns.Next(addrs[:2])
		}
		if got := turns.Next(addrs); got != addrs[2] {
			t.Errorf("got %s", got)
		}
	})
	t.Run("missing addresses are forgotten", func(t *testing.T) {
		turns := Turns{}
		turns.Next(addrs)
		turns.Next(addrs[2:])
		if len(turns.tried) != 1 {
			t.Errorf("%d addresses are remembered", len(turns.tried))
		}
	})
	t.Run("nothing is returned for no addresses", func(t *testing.T) {
		turns := Turns{}
		if got := turns.Next(nil); got != "" {
			t.Errorf("got %q", got)
		}
	})
}
