// Package scene runs process scenarios: scripts in which whole processes
// start, serve, are killed and stop.
package scene

import (
	"net"
	"os"
	"path/filepath"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"lagoonrack/internal/ctlcmd"
	"lagoonrack/internal/loadcmd"
	"lagoonrack/internal/prog"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"lagoond":     func() { os.Exit(prog.Entry().Main(os.Args)) },
		"lagoonlet":   func() { os.Exit(prog.Agent().Main(os.Args)) },
		"lagoonstand": func() { os.Exit(prog.Platform().Main(os.Args)) },
		"lagoonctl":   func() { os.Exit(ctlcmd.Main(os.Args)) },
		"lagoonload":  func() { os.Exit(loadcmd.Main(os.Args)) },
	})
}

// ports is the number of free ports that each script may name.
const ports = 16

func TestScenes(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:   "testdata/script",
		Setup: setup,
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"fill":   fill,
			"until":  until,
			"signal": signal,
		},
		Deadline: time.Now().Add(4 * time.Minute),
	})
}

// nextPort is the last port that was given out. The range lies below the one
// from which the system takes ports for outgoing connections and for port 0, so
// that no connection of another script takes a port before its process does.
var nextPort atomic.Int32

const firstPort = 20_000

// freePort returns a port that no script was given before.
func freePort() string {
	for {
		port := strconv.Itoa(firstPort + int(nextPort.Add(1)))
		l, err := net.Listen("tcp", "127.0.0.1:"+port)
		if err == nil {
			_ = l.Close()
			return port
		}
	}
}

// setup names free ports P0 and up, and copies the example settings.
func setup(e *testscript.Env) error {
	for i := range ports {
		e.Setenv(portName(i), freePort())
	}
	files, err := filepath.Glob("../../examples/*.yaml")
	if err != nil {
		return err
	}
	for _, f := range files {
		data, err := os.ReadFile(f)
		if err != nil {
			return err
		}
		if err := os.WriteFile(filepath.Join(e.WorkDir, filepath.Base(f)), data, 0o600); err != nil {
			return err
		}
	}
	return nil
}
