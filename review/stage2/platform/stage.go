//go:build review

// Command stage2 plays one case of the review in review/REPORT-2.md: it starts lagoond and
// lagoonlet as processes on stand-ins of the platform, plays the case's order of events,
// writes what was sent, answered and run to a record, and checks the rule.
//
// It exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case could
// not run. With TROUBLE=0 the case runs without its disruption.
package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"time"

	"lagoonrack/internal/ports"
	"lagoonrack/platform/fake"
)

const (
	host    = "shop.example"
	service = "svc"
	// heartbeatInterval is heartbeatMs of the settings.
	heartbeatInterval = 1500 * time.Millisecond
	// clientDeadline is how long clients wait for an answer.
	clientDeadline = 3 * time.Second
	startTimeout   = 20 * time.Second
)

// stage is a small deployment: entries and agents as processes, and a stand-in of the store
// and of each minion in this process.
type stage struct {
	dir     string
	store   *fake.Store
	began   time.Time
	trouble bool
	// ports hands out the stage's ports, and reserved keeps them.
	ports    ports.Range
	reserved net.Listener
	entries  []*entry
	minions  []*minion
	// link is the link of all machines to the store, or nil if they call it directly.
	link *link
	// advisor is the stand-in of the advisor, or nil.
	advisor *advisor

	mu     sync.Mutex
	record *os.File
	events []event
	// cpu holds the thousandths of a core that a task of each job asks for.
	cpu       map[string]int
	processes []*exec.Cmd
	// closing says that the processes are being ended.
	closing bool
}

// event is a start or an end of a run on a minion. Kind is "start" or "end", and how says how
// the run ended.
type event struct {
	minion, kind, task string
	run                int64
	how                string
	at                 time.Time
}

// entry is a process of lagoond.
type entry struct {
	name, caller, check string
}

// logf writes a line to the record.
func (s *stage) logf(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	line := fmt.Sprintf("%8.3f  %s\n", time.Since(s.began).Seconds(), fmt.Sprintf(format, args...))
	_, _ = s.record.WriteString(line)
}

// cannotRun ends the case with exit code 2.
func (s *stage) cannotRun(format string, args ...any) {
	s.logf("the case could not run: "+format, args...)
	s.close()
	os.Exit(2)
}

const (
	// firstPort and lastPort are below the ports that the system gives to outgoing
	// connections.
	firstPort, lastPort = 10_000, 20_000
	// portsPerStage is above the number of ports that a case needs.
	portsPerStage = 200
)

// reservePorts gives the stage ports that no other stage uses.
func (s *stage) reservePorts() {
	const slots = (lastPort - firstPort) / portsPerStage
	for i := range slots {
		first := firstPort + (os.Getpid()+i)%slots*portsPerStage
		// The listener is kept, so that other stages see that the ports are taken.
		if l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", first)); err == nil {
			s.reserved, s.ports.First = l, first
			return
		}
	}
	s.cannotRun("no free ports")
}

// freeAddr returns a free loopback address.
func (s *stage) freeAddr() string { return s.ports.Next() }

// fill fills the placeholders of a settings template.
func (s *stage) fill(template string, values map[string]string) string {
	data, err := os.ReadFile(template)
	if err != nil {
		s.cannotRun("%v", err)
	}
	text := string(data)
	for k, v := range values {
		text = strings.ReplaceAll(text, "{{"+k+"}}", v)
	}
	var out []string
	for line := range strings.Lines(text) {
		if first, ok := strings.CutPrefix(line, "{{#advisor}}"); ok {
			if s.advisor == nil {
				continue
			}
			line = strings.ReplaceAll(first, "{{.}}", s.advisor.addr())
		}
		line = strings.TrimPrefix(line, "{{/advisor}}")
		// There are no values for the other sections.
		if _, rest, ok := strings.Cut(line, "{{/"); ok {
			_, line, _ = strings.Cut(rest, "}}")
		}
		if strings.HasPrefix(line, "{{#") {
			continue
		}
		out = append(out, line)
	}
	return strings.Join(out, "")
}

// start starts a program with filled settings, as the deploy file says.
func (s *stage) start(program, name, template string, values map[string]string) {
	file := filepath.Join(s.dir, name+".yaml")
	if err := os.WriteFile(file, []byte(s.fill(template, values)), 0o600); err != nil {
		s.cannotRun("%v", err)
	}
	s.run(program, name, file)
}

// run starts a program with a settings file.
func (s *stage) run(program, name, file string) {
	out, err := os.OpenFile(filepath.Join(s.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		s.cannotRun("%v", err)
	}
	c := exec.Command("target/"+program, "--settings", file)
	c.Stdout, c.Stderr = out, out
	// The process ends with this one, also if this one is killed.
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		s.cannotRun("%s: %v", program, err)
	}
	s.mu.Lock()
	s.processes = append(s.processes, c)
	s.mu.Unlock()
	go func() {
		_ = c.Wait()
		_ = out.Close()
		s.mu.Lock()
		closing := s.closing
		s.mu.Unlock()
		if !closing {
			s.cannotRun("%s has ended by itself", name)
		}
	}()
}

// addEntry starts an entry.
func (s *stage) addEntry() *entry {
	e := &entry{name: fmt.Sprintf("entry-%d", len(s.entries)+1), caller: s.freeAddr(), check: s.freeAddr()}
	s.start("lagoond", e.name, "deploy/entry.yaml", map[string]string{
		"nodeName": e.name, "region": "r", "zone": "z", "listen.frontend": e.caller, "listen.readiness": e.check,
		"ip": "127.0.0.1", "internalPorts.0": port(s.freeAddr()), "internalPorts.1": port(s.freeAddr()),
		"platform.address": s.storeAddr(), "limits.cpuShare": "0.4", "limits.linkMbps": "1000.0",
	})
	s.entries = append(s.entries, e)
	return e
}

// storeAddr returns the address at which the machines call the store.
func (s *stage) storeAddr() string {
	if s.link != nil {
		return s.link.Addr().String()
	}
	return s.store.Addr()
}

func port(addr string) string {
	_, p, _ := net.SplitHostPort(addr)
	return p
}

// addMinion starts a minion and its agent.
func (s *stage) addMinion() {
	m := newMinion(s, fmt.Sprintf("minion-%02d", len(s.minions)+1))
	m.announce = s.freeAddr()
	s.start("lagoonlet", "agent-"+m.name, "deploy/agent.yaml", map[string]string{
		"nodeName": "agent-" + m.name, "region": "r", "zone": "z", "app": m.addr(), "listen.control": m.announce,
		"ip": "127.0.0.1", "internalPorts.0": port(s.freeAddr()), "internalPorts.1": port(s.freeAddr()),
		"platform.address": s.storeAddr(),
	})
	s.minions = append(s.minions, m)
	go m.loopHeartbeats()
}

// note records what a minion has done.
func (s *stage) note(e event) {
	s.logf("%s: %s %s run %d %s", e.minion, e.kind, e.task, e.run, e.how)
	s.mu.Lock()
	defer s.mu.Unlock()
	e.at = time.Now()
	s.events = append(s.events, e)
}

// cpuOf returns the thousandths of a core that a task asks for, which the platform knows
// from its job.
func (s *stage) cpuOf(task string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	id, _, _ := strings.Cut(task, ".")
	return s.cpu[id]
}

// count counts the events of a job's runs of a kind, with the outcome unless that is "".
func (s *stage) count(kind, outcome, path string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, e := range s.events {
		if e.kind == kind && (outcome == "" || e.how == outcome) && strings.HasPrefix(e.task, jobID(path)+".") {
			n++
		}
	}
	return n
}

// jobID returns the ID of the job at a path.
func jobID(path string) string { return path[strings.LastIndex(path, "/")+1:] }

// idleSince returns since when nothing of a job has been running, or the present time if
// something is.
func (s *stage) idleSince(path string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	since, running := s.began, 0
	for _, e := range s.events {
		if !strings.HasPrefix(e.task, jobID(path)+".") {
			continue
		}
		switch e.kind {
		case "start":
			running++
		case "end":
			running--
			since = e.at
		}
	}
	if running > 0 {
		return time.Now()
	}
	return since
}

// close ends all processes that were started.
func (s *stage) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closing = true
	for _, c := range s.processes {
		_ = c.Process.Signal(syscall.SIGCONT)
		_ = c.Process.Kill()
	}
}

var client = &http.Client{Timeout: clientDeadline, Transport: &http.Transport{DisableKeepAlives: true}}

// call sends a client's request to an entry and records it. The status is 0 if there is no
// answer.
func (s *stage) call(e *entry, method, path, body string) (int, string) {
	sent := time.Since(s.began).Seconds()
	req, err := http.NewRequest(method, "http://"+e.caller+path, bytes.NewBufferString(body))
	if err != nil {
		s.cannotRun("%v", err)
	}
	req.Host = host
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Lagoonrack-Deadline-Ms", fmt.Sprint(clientDeadline.Milliseconds()))
	status, answer := 0, ""
	if resp, err := client.Do(req); err == nil {
		data, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if err == nil {
			status, answer = resp.StatusCode, strings.TrimSpace(string(data))
		}
	}
	s.logf("client to %s: %s %s, sent at %.3f, answered %d %s", e.name, method, path, sent, status, answer)
	return status, answer
}

// submit hands a job of one step in until it is accepted. Step holds the fields of the step
// beside its count and size.
func (s *stage) submit(path, spec string, count, cpu int, step string) {
	s.mu.Lock()
	s.cpu[jobID(path)] = cpu
	s.mu.Unlock()
	body := fmt.Sprintf(`{"spec":%q,"steps":[{"count":%d,"cpu":%d,"memMb":100,"estimatedMs":850%s}]}`, spec, count, cpu, step)
	s.logf("client: job %s is %s", path, body)
	for i := range 10 {
		if status, _ := s.call(s.entries[i%len(s.entries)], http.MethodPost, path, body); status == http.StatusOK {
			return
		}
		time.Sleep(time.Second)
	}
	s.cannotRun("job %s was not accepted", path)
}

// state returns the state of a job, or the status of an answer without one.
func (s *stage) state(e *entry, path string) string {
	status, body := s.call(e, http.MethodGet, path, "")
	var v struct {
		State string `json:"state"`
	}
	if status != http.StatusOK || json.Unmarshal([]byte(body), &v) != nil {
		return fmt.Sprint(status)
	}
	return v.State
}

// await polls until done returns true, and reports whether it did within the limit.
func await(limit time.Duration, done func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if done() {
			return true
		}
	}
	return false
}

// awaitReady waits until all entries say that they are ready.
func (s *stage) awaitReady() {
	for _, e := range s.entries {
		if !await(startTimeout, func() bool {
			resp, err := client.Get("http://" + e.check + "/readiness")
			if err != nil {
				return false
			}
			_ = resp.Body.Close()
			return resp.StatusCode == http.StatusOK
		}) {
			s.cannotRun("%s is not ready", e.name)
		}
	}
}

// route is a route of the configuration.
type route struct {
	name     string
	attempts int
	// advised is the advisor of the queue, or nil.
	advised *advisor
}

// advisorField returns the configuration of the queue's advisor.
func (r route) advisorField() string {
	if r.advised == nil {
		return ""
	}
	return fmt.Sprintf(`,"advisor":{"decisionMs":%d,"periodMs":%d,"validityMs":%d}`,
		r.advised.decision.Milliseconds(), r.advised.period.Milliseconds(), r.advised.validity.Milliseconds())
}

// configure writes a version of the configuration, as the operator does. The store's answer
// is the acknowledgement.
func (s *stage) configure(version int, routes ...route) {
	var list, names []string
	for _, r := range routes {
		names = append(names, fmt.Sprintf("%s (maxAttempts %d)", r.name, r.attempts))
		list = append(list, fmt.Sprintf(`{"name":%q,"host":%q,"prefix":"/%s/","service":%q,"priority":0,"maxAttempts":%d,"stretch":1.5,"targetLatencyMs":250,"timeoutMs":3000%s}`,
			r.name, host, r.name, service, r.attempts, r.advisorField()))
	}
	s.store.Put("op", "config", fmt.Appendf(nil, `{"version":%d,"routes":[%s],"services":[{"name":%q,"rejectsOverload":true}],"limits":{"maxBodyBytes":65536}}`,
		version, strings.Join(list, ","), service))
	s.logf("operator: version %d acknowledged, routes: %s", version, strings.Join(names, ", "))
}

func main() {
	// The processes end with the thread that started them.
	runtime.LockOSThread()
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: stage2 CASE DIR RECORD")
		os.Exit(2)
	}
	play := cases[os.Args[1]]
	record, err := os.Create(os.Args[3])
	if play == nil || err != nil {
		fmt.Fprintln(os.Stderr, "stage2: no such case, or no record:", err)
		os.Exit(2)
	}
	s := &stage{dir: os.Args[2], store: fake.NewStore(), cpu: map[string]int{}, began: time.Now(), trouble: os.Getenv("TROUBLE") != "0", record: record}
	s.reservePorts()
	s.logf("trouble: %v", s.trouble)
	broken := play(s)
	s.close()
	if broken != "" {
		s.logf("RULE BROKEN: %s", broken)
		fmt.Println("rule broken:", broken)
		os.Exit(1)
	}
	s.logf("the rule held")
	fmt.Println("the rule held")
}
