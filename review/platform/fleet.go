//go:build review

package main

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"lagoonrack/internal/work"
)

func must(err error) {
	if err != nil {
		panic(err)
	}
}

// freeAddr returns a loopback address with a port that was free a moment ago.
func freeAddr() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

func port(addr string) string {
	_, p, err := net.SplitHostPort(addr)
	must(err)
	return p
}

// process is one program of the project. The platform starts it again restartAfter after
// it ends, as long as keep is set.
type process struct {
	rec                           *record
	name, program, settings       string
	log                           *os.File
	pids                          *os.File
	peer, caller, check, operator string
	// core is the core that the process sees, or -1 for all.
	core int

	mu   sync.Mutex
	cmd  *exec.Cmd
	keep bool
	done chan struct{}
}

// restartAfter is the delay after which the platform starts a process again that has
// ended.
const restartAfter = 200 * time.Millisecond

func (p *process) run() {
	p.mu.Lock()
	p.keep = true
	p.done = make(chan struct{})
	p.mu.Unlock()
	go func() {
		defer close(p.done)
		for {
			p.mu.Lock()
			if !p.keep {
				p.mu.Unlock()
				return
			}
			c := exec.Command(p.program, "--settings", p.settings)
			c.Stdout, c.Stderr = p.log, p.log
			must(startOn(p.core, c))
			p.cmd = c
			fmt.Fprintln(p.pids, c.Process.Pid)
			p.mu.Unlock()
			p.rec.say(p.name, "starts")
			_ = c.Wait()
			p.rec.say(p.name, "has ended: %v", c.ProcessState)
			time.Sleep(restartAfter)
		}
	}()
}

// maxCores is above the number of any core.
const maxCores = 1024

// startOn starts a command that sees only one core, or all if core is below 0.
func startOn(core int, c *exec.Cmd) error {
	if core < 0 {
		return c.Start()
	}
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	var all, one unix.CPUSet
	if err := unix.SchedGetaffinity(0, &all); err != nil {
		return err
	}
	// The case itself may be confined to some cores.
	skip := core % all.Count()
	for n := range maxCores {
		if !all.IsSet(n) {
			continue
		}
		if skip == 0 {
			one.Set(n)
			break
		}
		skip--
	}
	if err := unix.SchedSetaffinity(0, &one); err != nil {
		return err
	}
	defer func() { _ = unix.SchedSetaffinity(0, &all) }()
	return c.Start()
}

func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil && p.cmd.ProcessState == nil {
		p.rec.say(p.name, "gets %v", s)
		_ = p.cmd.Process.Signal(s)
	}
}

func (p *process) end() {
	p.mu.Lock()
	p.keep = false
	c := p.cmd
	p.mu.Unlock()
	if c != nil && c.ProcessState == nil {
		_ = c.Process.Signal(syscall.SIGCONT)
		_ = c.Process.Kill()
	}
	select {
	case <-p.done:
	case <-time.After(3 * time.Second):
	}
	_ = p.log.Close()
}

// fleet is a small deployment: entries and agents as processes, the platform as stand-ins.
type fleet struct {
	rec      *record
	dir      string
	store    *store
	entries  []*process
	agents   []*process
	machines []*machine
	pids     *os.File
	version  int
}

type options struct {
	entries, minions int
	// cpu and memory are the size of a minion.
	cpu, memory int64
	// keep is how long ended jobs can be asked for, or empty for the default.
	keep string
	// queues are the names of the queues.
	queues []string
	// oneCore says that each process sees one core, as on the machines of the pages.
	oneCore bool
}

func newFleet(rec *record, o options) *fleet {
	f := &fleet{rec: rec, dir: os.Getenv("CASE_TMP"), store: newStore(rec)}
	var err error
	f.pids, err = os.OpenFile(filepath.Join(f.dir, "pids"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	must(err)
	f.configure(o.queues...)
	for i := range o.entries {
		f.addEntry(i, o)
	}
	for i := range o.minions {
		f.addAgent(i, o)
	}
	for _, m := range f.machines {
		m.boot()
	}
	for _, p := range append(append([]*process{}, f.entries...), f.agents...) {
		p.run()
	}
	return f
}

// configure writes the next version of the configuration.
func (f *fleet) configure(queues ...string) {
	f.version += 3
	var routes []string
	for _, q := range queues {
		routes = append(routes, fmt.Sprintf(`{"name":%q,"host":"shop.example","prefix":"/%s/","service":"svc","priority":0,"maxAttempts":3,"stretch":2,"targetLatencyMs":500,"timeoutMs":3000}`, q, q))
	}
	f.store.operator("config", fmt.Appendf(nil, `{"version":%d,"routes":[%s],"services":[{"name":"svc","rejectsOverload":true}],"limits":{"maxBodyBytes":262144}}`,
		f.version, strings.Join(routes, ",")))
	f.rec.say("operator", "configuration %d is acknowledged: queues %s", f.version, strings.Join(queues, ", "))
}

// render fills a settings template as the platform does.
func render(file string, values map[string]string) string {
	data, err := os.ReadFile(file)
	must(err)
	text := string(data)
	// There is no advisor and no value for the other sections, so they are left out.
	text = regexp.MustCompile(`(?s)\{\{#[^}]*\}\}.*?\{\{/[^}]*\}\}`).ReplaceAllString(text, "")
	return regexp.MustCompile(`\{\{([^}]*)\}\}`).ReplaceAllStringFunc(text, func(s string) string {
		v, ok := values[strings.Trim(s, "{}")]
		if !ok {
			panic("no value for " + s)
		}
		return v
	})
}

func (f *fleet) process(name, program, settings string) *process {
	file := filepath.Join(f.dir, name+".yaml")
	must(os.WriteFile(file, []byte(settings), 0o600))
	log, err := os.Create(filepath.Join(f.dir, name+".log"))
	must(err)
	return &process{rec: f.rec, name: name, program: program, settings: file, log: log, pids: f.pids, core: -1}
}

func (f *fleet) addEntry(i int, o options) {
	name := fmt.Sprintf("entry-%d", i+1)
	caller, peer, operator, check := freeAddr(), freeAddr(), freeAddr(), freeAddr()
	s := render("deploy/entry.yaml", map[string]string{
		"nodeName": name, "region": "r", "zone": fmt.Sprintf("z%d", i%3+1), "listen.frontend": caller, "ip": "127.0.0.1",
		"internalPorts.0": port(peer), "internalPorts.1": port(operator), "platform.address": f.store.listen(name),
		"listen.readiness": check, "limits.cpuShare": "0.4", "limits.linkMbps": "1000",
	})
	if o.keep != "" {
		s = strings.TrimRight(s, "\n") + "\n  keep: " + o.keep + "\n"
	}
	p := f.process(name, "target/lagoond", s)
	p.caller, p.peer, p.operator, p.check = caller, peer, operator, check
	if o.oneCore {
		p.core = i
	}
	f.entries = append(f.entries, p)
}

func (f *fleet) addAgent(i int, o options) {
	name := fmt.Sprintf("agent-%d", i+1)
	peer, operator, control, app := freeAddr(), freeAddr(), freeAddr(), freeAddr()
	s := render("deploy/agent.yaml", map[string]string{
		"nodeName": name, "region": "r", "zone": fmt.Sprintf("z%d", i%3+1), "ip": "127.0.0.1",
		"internalPorts.0": port(peer), "internalPorts.1": port(operator), "platform.address": f.store.listen(name),
		"app": app, "listen.control": control,
	})
	p := f.process(name, "target/lagoonlet", s)
	p.peer = peer
	f.agents = append(f.agents, p)
	f.machines = append(f.machines, newMachine(f.rec, fmt.Sprintf("minion-%d", i+1), app, control, o.cpu, o.memory))
}

func (f *fleet) close() {
	for _, p := range append(append([]*process{}, f.entries...), f.agents...) {
		p.end()
	}
	for _, m := range f.machines {
		m.mu.Lock()
		if m.srv != nil {
			_ = m.srv.Close()
		}
		m.mu.Unlock()
	}
	f.store.close()
}

// owner returns the entry that the store names as the owner of the cell, or nil.
func (f *fleet) owner() *process {
	var row struct {
		Term uint64 `cbor:"1,keyasint"`
		Name string `cbor:"2,keyasint"`
	}
	if v := f.store.value("cell", "title"); v == nil || work.Decode(v, &row) != nil {
		return nil
	}
	for _, p := range f.entries {
		if p.name == row.Name {
			return p
		}
	}
	return nil
}

// awaitOwner waits for an owner, at most for the given time.
func (f *fleet) awaitOwner(d time.Duration) *process {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if p := f.owner(); p != nil {
			return p
		}
	}
	giveUp("no entry owns the cell")
	return nil
}

// giveUp ends a case that could not run.
func giveUp(why string) { panic(cannotRun(why)) }

type cannotRun string
