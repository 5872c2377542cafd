// Package prog defines the long-running programs, so that the commands under cmd
// and the tests that start processes run the same code.
package prog

import (
	"lagoonrack/internal/agent"
	"lagoonrack/internal/daemon"
	"lagoonrack/internal/entry"
	"lagoonrack/internal/httpd"
	"lagoonrack/internal/logs"
	"lagoonrack/internal/plat"
	"lagoonrack/internal/proc"
	"lagoonrack/internal/rpcs"
	"lagoonrack/internal/stand"
	"lagoonrack/internal/stand/serve"
	"lagoonrack/internal/vect"
	"lagoonrack/platform"
)

// Entry returns the program lagoond.
func Entry() daemon.Daemon {
	return daemon.Daemon{
		Name:  "lagoond",
		Usage: "accept callers and operators, route requests and schedule tasks",
		Role:  proc.Entry,
		Start: startEntry,
	}
}

func startEntry(s proc.Settings, log logs.Log) (func(), error) {
	if s.Fleet.On {
		return platform.StartEntry(s, log)
	}
	client := &rpcs.Client{Addr: s.Platform}
	e := entry.New(s, serve.TableOf(client), serve.StoreOf(client), log)
	if err := e.Start(); err != nil {
		return nil, err
	}
	return e.Stop, nil
}

// Agent returns the program lagoonlet.
func Agent() daemon.Daemon {
	return daemon.Daemon{
		Name:  "lagoonlet",
		Usage: "announce a minion or worker, admit its calls and relay its orders",
		Role:  proc.Agent,
		Start: startAgent,
	}
}

func startAgent(s proc.Settings, log logs.Log) (func(), error) {
	if s.Fleet.On {
		return platform.StartAgent(s, log)
	}
	var w plat.Worker
	if s.Worker.Name != "" {
		w = serve.WorkerOf(&rpcs.Client{Addr: s.Worker.Address}, s.Worker.Name)
	}
	a, err := agent.New(s, w, log)
	if err != nil {
		return nil, err
	}
	if err := a.Start(); err != nil {
		return nil, err
	}
	return a.Stop, nil
}

// Platform returns the program lagoonstand.
func Platform() daemon.Daemon {
	return daemon.Daemon{
		Name:  "lagoonstand",
		Usage: "stand in for the platform in tests and trials",
		Role:  proc.Platform,
		Start: startPlatform,
	}
}

// maxBodySize is the maximum size in bytes of the body of a request to the operator
// address. Such requests set the injected faults.
const maxBodySize = 1 << 20

func startPlatform(s proc.Settings, log logs.Log) (func(), error) {
	p := &stand.Platform{}
	for _, w := range s.Stand.Workers {
		p.AddWorker(w.Name, vect.Size{Cores: int64(w.Cores * 1000), Memory: int64(w.Memory) >> 20, Accel: w.Accel})
	}
	for _, m := range s.Stand.Minions {
		if _, err := p.AddMinion(m.Name, m.Address, nil); err != nil {
			return nil, err
		}
	}
	if err := p.Serve(s.Platform); err != nil {
		return nil, err
	}
	h, err := httpd.Listen(s.Operator, maxBodySize)
	if err != nil {
		return nil, err
	}
	p.Operate(h)
	h.Start()
	log.Info(logs.Started, logs.Fields{"platform": p.Addr(), "operator": h.Addr()})
	return p.Close, nil
}
