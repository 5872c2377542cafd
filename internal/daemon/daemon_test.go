package daemon

import (
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"lagoonrack/internal/logs"
	"lagoonrack/internal/proc"
)

// childVariable names the variable with the settings file of a daemon that the test starts.
const childVariable = "LAGOON_DAEMON_TEST"

const settings = `name: entry-1
site: s
zone: z
caller: 127.0.0.1:1
operator: 127.0.0.1:2
peer: 127.0.0.1:3
platform: 127.0.0.1:4
`

// signalSelf sends a signal to this process and waits until it has been delivered.
func signalSelf(s syscall.Signal) {
	_ = syscall.Kill(os.Getpid(), s)
	time.Sleep(100 * time.Millisecond)
}

func TestMain(m *testing.M) {
	file := os.Getenv(childVariable)
	if file == "" {
		os.Exit(m.Run())
	}
	d := Daemon{Name: "test", Role: proc.Entry, Start: func(proc.Settings, logs.Log) (func(), error) {
		signalSelf(syscall.SIGHUP)
		go signalSelf(syscall.SIGTERM)
		return func() { signalSelf(syscall.SIGHUP) }, nil
	}}
	os.Exit(d.Main([]string{"test", "--settings", file}))
}

// TestHangupDoesNotEndProcess guards against a SIGHUP that ends the process while it starts, or
// in the midst of a planned stop.
func TestHangupDoesNotEndProcess(t *testing.T) {
	file := filepath.Join(t.TempDir(), "settings.yaml")
	if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
		t.Fatal(err)
	}
	exe, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	c := exec.Command(exe)
	c.Env = append(os.Environ(), childVariable+"="+file)
	if out, err := c.CombinedOutput(); err != nil {
		t.Errorf("%v: %s", err, out)
	}
}
