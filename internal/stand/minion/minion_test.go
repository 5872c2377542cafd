package minion

import "testing"

// TestAddressInUse guards against a panic of the whole process: lagoondev chose a port that was
// free and let the server listen on it later, when a connection could have it.
func TestAddressInUse(t *testing.T) {
	first := &Minion{Name: "first", Addr: "127.0.0.1:0"}
	if err := first.Start(); err != nil {
		t.Fatal(err)
	}
	defer first.Stop()
	if first.Addr == "127.0.0.1:0" {
		t.Errorf("the address is %s after the start, want the port that it listens on", first.Addr)
	}
	second := &Minion{Name: "second", Addr: first.Addr}
	if err := second.Start(); err == nil {
		second.Stop()
		t.Errorf("a second minion started on %s, which is in use", first.Addr)
	}
}
