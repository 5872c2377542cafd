// Package scene runs scenarios with real processes: scripts that start the
// programs, use them, kill them and stop them.
package scene

import (
	"bytes"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"lagoonrack/internal/ctlcmd"
	"lagoonrack/internal/loadcmd"
	"lagoonrack/internal/ports"
	"lagoonrack/internal/prog"
)

// TestMain makes the programs available to scripts as commands: this test binary
// runs as the program by whose name it is called.
func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"lagoond":     func() { os.Exit(prog.Entry().Main(os.Args)) },
		"lagoonlet":   func() { os.Exit(prog.Agent().Main(os.Args)) },
		"lagoonstand": func() { os.Exit(prog.Platform().Main(os.Args)) },
		"lagoonctl":   func() { os.Exit(ctlcmd.Main(os.Args)) },
		"lagoonload":  func() { os.Exit(loadcmd.Main(os.Args)) },
	})
}

// portsPerScript is the number of free ports that each script can use.
const portsPerScript = 16

// TestScenes runs all scripts in testdata/script.
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

var freePorts = ports.Range{First: ports.Scene}

// setup puts the numbers of free ports into the variables P0, P1 and so on, and
// copies the example settings into the directory of the script.
func setup(e *testscript.Env) error {
	for i := range portsPerScript {
		_, port, err := net.SplitHostPort(freePorts.Next())
		if err != nil {
			return err
		}
		e.Setenv(portName(i), port)
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
		if filepath.Base(f) != "base.yaml" {
			continue
		}
		data = bytes.ReplaceAll(data, []byte("timeout: 2s"), []byte("timeout: 20s"))
		if err := os.WriteFile(filepath.Join(e.WorkDir, longTimeoutFile), data, 0o600); err != nil {
			return err
		}
	}
	return nil
}

// longTimeoutFile is a copy of base.yaml with a timeout of 20 s instead of 2 s,
// for scripts in which no request may be refused. A request that cannot be served
// within its timeout is refused by design, which on a busy machine can happen
// within 2 s.
const longTimeoutFile = "patient.yaml"
