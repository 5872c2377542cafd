//go:build review

package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"lagoonrack/platform/fake"
)

// The deployment is that of the site burgwacht-tix: 3 frontend machines and 11 side machines
// with a minion each.
const (
	frontends = 3
	sides     = 11

	frontendMemory, sideMemory = 284, 152

	heartbeatInterval = 1500 * time.Millisecond
	// runLength is how long an ordinary task runs.
	runLength = 850 * time.Millisecond
)

// capacity is that of a minion.
const capacity = `{"cpu":64000,"memMb":256000,"gpu":0}`

var zones = []string{"rm-koblenz", "rm-bingen", "rm-boppard"}

const config = `{"version":3,"routes":[
{"name":"slot-hold","host":"burg.example","prefix":"/slot/","service":"torhaus","maxAttempts":3,"stretch":1.5,"targetLatencyMs":250,"timeoutMs":3000,"priority":0},
{"name":"group-manifest","host":"burg.example","prefix":"/group/","service":"torhaus","maxAttempts":4,"stretch":2,"targetLatencyMs":1000,"timeoutMs":3000,"priority":2},
{"name":"pass-reprint","host":"burg.example","prefix":"/pass/","service":"torhaus","maxAttempts":3,"stretch":2.2,"targetLatencyMs":2500,"timeoutMs":3000,"priority":0}
],"services":[{"name":"torhaus","rejectsOverload":true}],"limits":{"maxBodyBytes":262144}}`

// fleet is the deployment.
type fleet struct {
	*recorder
	dir string
	// network is the first three numbers of the addresses of its machines.
	network   string
	store     *fake.Store
	entries   []*process
	agents    []*process
	minions   []*minion
	processes []*process
}

// minion is a stand-in of a minion, which sends heartbeats.
type minion struct {
	*fake.Minion
	control, zone, rack string
	quit                chan struct{}
	// cutUntil is when a cut of the minion from all machines ends, in Unix nanoseconds.
	cutUntil atomic.Int64

	mu sync.Mutex
	// begun has the time of each start, by task, and running the tasks that run.
	begun   map[string][]time.Time
	running map[string]bool
}

func (f *fleet) entryAddr(i int) string { return fmt.Sprintf("%s.%d:8161", f.network, 11+i) }

func newFleet(r *recorder) (*fleet, error) {
	f := &fleet{recorder: r, store: fake.NewStore()}
	var err error
	if f.dir, err = os.MkdirTemp("", "stand3-"); err != nil {
		return f, err
	}
	if err := f.findNetwork(); err != nil {
		return f, err
	}
	f.store.Put("op", "config", []byte(config))
	for i := range sides {
		f.addMinion(i)
	}
	for i := range frontends {
		p, err := f.add("frontend", fmt.Sprintf("frontend-%s-1", zones[i]), fmt.Sprint(f.network, ".", 11+i), zones[i], frontendMemory, "")
		if err != nil {
			return f, err
		}
		f.entries = append(f.entries, p)
	}
	for i, m := range f.minions {
		p, err := f.add("side", fmt.Sprintf("side-%s-%d", m.zone, 1+i/3), fmt.Sprint(f.network, ".", 31+i), m.zone, sideMemory, m.Addr())
		if err != nil {
			return f, err
		}
		f.agents = append(f.agents, p)
	}
	for _, p := range f.processes {
		go p.loop()
	}
	for _, m := range f.minions {
		go m.loopHeartbeats()
	}
	return f, nil
}

// findNetwork finds loopback addresses whose ports are free.
func (f *fleet) findNetwork() error {
	for n := range 200 {
		at := os.Getpid() + n*7
		f.network = fmt.Sprintf("127.%d.%d", 100+at%100, at/100%250)
		l, err := net.Listen("tcp", f.entryAddr(0))
		if err == nil {
			_ = l.Close()
			return nil
		}
	}
	return errors.New("no free loopback addresses")
}

// placeholder matches a simple placeholder of a template.
var placeholder = regexp.MustCompile(`\{\{[a-zA-Z0-9.]+\}\}`)

// fill fills in a template of the deploy file: the sections of values that this deployment
// doesn't have are left out.
func fill(template string, values map[string]string) string {
	for _, absent := range []string{"advisor", "bounds.evacuationMs"} {
		open, end := "{{#"+absent+"}}", "{{/"+absent+"}}"
		if i := strings.Index(template, open); i >= 0 {
			j := strings.Index(template, end)
			template = template[:i] + template[j+len(end):]
		}
	}
	return placeholder.ReplaceAllStringFunc(template, func(s string) string { return values[strings.Trim(s, "{}")] })
}

// settingsPath is where the commands of the deploy file expect the settings file.
const settingsPath = "/etc/lagoonrack/local.toml"

// add prepares a process of the role of a class of machines, as the deploy file says.
func (f *fleet) add(class, name, ip, zone string, memory int, app string) (*process, error) {
	run, template, err := role(class)
	if err != nil {
		return nil, err
	}
	values := map[string]string{
		"nodeName": name, "region": "rhein-mitte", "zone": zone, "ip": ip, "app": app,
		"internalPorts.0": "7720", "internalPorts.1": "7735", "platform.address": f.store.Addr(),
		"listen.frontend": ip + ":8161", "listen.control": ip + ":8166", "listen.readiness": ip + ":8167",
		"limits.memoryMb": fmt.Sprint(memory), "limits.fileDescriptors": "4100", "limits.linkMbps": "1000.0", "limits.cpuShare": "0.4",
	}
	if class == "side" {
		values["limits.cpuShare"], values["limits.fileDescriptors"] = "0.24", "4096"
	}
	text, err := os.ReadFile(template)
	if err != nil {
		return nil, err
	}
	file := filepath.Join(f.dir, name+".yaml")
	if err := os.WriteFile(file, []byte(fill(string(text), values)), 0o600); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(f.dir, name+".log"))
	if err != nil {
		return nil, err
	}
	args := strings.Fields(strings.ReplaceAll(fill(run, values), settingsPath, file))
	p := &process{name: name, args: args, log: log, rec: f.recorder, memory: memory, gone: make(chan struct{})}
	f.processes = append(f.processes, p)
	return p, nil
}

// role returns the command and the template of the role on a class of machines.
func role(class string) (run, template string, err error) {
	data, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		return "", "", err
	}
	for part := range strings.SplitSeq(string(data), "[roles.") {
		values := map[string]string{}
		for line := range strings.Lines(part) {
			if k, v, ok := strings.Cut(line, " = "); ok {
				values[k] = strings.Trim(strings.TrimSpace(v), `"`)
			}
		}
		if values["on"] == class {
			return values["run"], values["template"], nil
		}
	}
	return "", "", fmt.Errorf("deploy/system.toml has no role on %s", class)
}

func (f *fleet) addMinion(i int) {
	m := &minion{
		Minion:  fake.NewMinion(fmt.Sprintf("i-%08x", 0xa0+i), runLength),
		control: fmt.Sprintf("%s.%d:8166", f.network, 31+i), zone: zones[i%3], rack: fmt.Sprintf("r%d-%d", 1+i%3, i/9),
		quit: make(chan struct{}), begun: map[string][]time.Time{}, running: map[string]bool{},
	}
	m.OnEvent = func(e fake.Event) { f.onEvent(m, e) }
	m.OnCall = m.callFault
	f.minions = append(f.minions, m)
}

// onEvent records a start or an end of a task.
func (f *fleet) onEvent(m *minion, e fake.Event) {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch e.Kind {
	case "start":
		m.begun[e.Task] = append(m.begun[e.Task], time.Now())
		m.running[e.Task] = true
		f.notef("%s starts %s, run %d", m.ID, e.Task, e.Run)
	case "end":
		delete(m.running, e.Task)
		f.notef("%s ends %s, run %d: %s", m.ID, e.Task, e.Run, e.Outcome)
	}
}

// callFault holds the calls to a minion that is cut off until the cut is over, and loses them.
func (m *minion) callFault() fake.CallFault {
	until := time.Until(time.Unix(0, m.cutUntil.Load()))
	if until <= 0 {
		return fake.CallFault{}
	}
	time.Sleep(until)
	return fake.CallFault{Lost: true}
}

var heartbeatClient = &http.Client{Timeout: time.Second}

// loopHeartbeats sends the minion's heartbeats to the agent on its machine.
func (m *minion) loopHeartbeats() {
	for n := 1; ; n++ {
		time.Sleep(time.Until(time.Unix(0, m.cutUntil.Load())))
		body := fmt.Sprintf(`{"service":"torhaus","address":%q,"zone":%q,"version":"v1","slots":8,"state":"ready","coldRemainingMs":0,"remainingMs":2000,`+
			`"capacity":%s,"labels":["a",%q],"machine":"m-%s","born":%d,"sequence":%d}`,
			m.Addr(), m.zone, capacity, m.rack, m.ID, m.Born, n)
		wait := heartbeatInterval
		resp, err := heartbeatClient.Post("http://"+m.control+"/instances/"+m.ID+"/heartbeat", "application/json", strings.NewReader(body))
		if err != nil {
			wait = 200 * time.Millisecond
		} else {
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
		}
		select {
		case <-m.quit:
			return
		case <-time.After(wait):
		}
	}
}

// endAll ends all processes and removes the files.
func (f *fleet) endAll() {
	for _, p := range f.processes {
		p.end()
	}
	for _, p := range f.processes {
		select {
		case <-p.gone:
		case <-time.After(3 * time.Second):
		}
		_ = p.log.Close()
	}
	if f.dir != "" && os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	} else {
		f.notef("logs kept")
		fmt.Println("logs:", f.dir)
	}
}

// started returns the times at which the tasks whose names begin with a prefix started, on
// all minions.
func (f *fleet) started(prefix string) []time.Time {
	var out []time.Time
	for _, m := range f.minions {
		m.mu.Lock()
		for task, times := range m.begun {
			if strings.HasPrefix(task, prefix) {
				out = append(out, times...)
			}
		}
		m.mu.Unlock()
	}
	return out
}

// running returns the tasks that run and whose names begin with a prefix, with the number of
// their minion.
func (f *fleet) running(prefix string) map[string]int {
	out := map[string]int{}
	for i, m := range f.minions {
		m.mu.Lock()
		for task := range m.running {
			if strings.HasPrefix(task, prefix) {
				out[task] = i
			}
		}
		m.mu.Unlock()
	}
	return out
}

// client sends the clients' requests, each on a connection of its own.
var client = &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// call sends a client's request to an entry. Status 0 means that there was no answer.
func (f *fleet) call(entry int, method, path, body string) (int, string) {
	req, err := http.NewRequest(method, "http://"+f.entryAddr(entry)+path, bytes.NewBufferString(body))
	if err != nil {
		return 0, err.Error()
	}
	req.Host = "burg.example"
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Lagoonrack-Deadline-Ms", "3000")
	shown := body
	if len(shown) > 200 {
		shown = fmt.Sprintf("%.16s... (%d bytes)", shown, len(body))
	}
	resp, err := client.Do(req)
	if err != nil {
		f.notef("frontend %d: %s %s %s -> no answer", entry+1, method, path, shown)
		return 0, err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	f.notef("frontend %d: %s %s %s -> %d %s", entry+1, method, path, shown, resp.StatusCode, strings.TrimSpace(string(data)))
	return resp.StatusCode, string(data)
}

// submit hands a job in as a client does, which tries again at the next entry after a refusal
// or no answer, and reports whether it was accepted.
func (f *fleet) submit(entry int, path, body string, tries int) bool {
	for i := range tries {
		if i > 0 {
			time.Sleep(500 * time.Millisecond)
		}
		if status, _ := f.call((entry+i)%frontends, http.MethodPost, path, body); status == http.StatusOK {
			return true
		}
	}
	return false
}

// state returns the state of a job, or the status if the entry reports no state.
func (f *fleet) state(entry int, path string) string {
	status, body := f.call(entry, http.MethodGet, path, "")
	var v struct{ State string }
	if status != http.StatusOK || json.Unmarshal([]byte(body), &v) != nil {
		return fmt.Sprint(status)
	}
	return v.State
}

// poll calls check several times a second until it returns true, for at most d.
func poll(d time.Duration, check func() bool) bool {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if check() {
			return true
		}
	}
	return check()
}

// warmUp waits until the system runs and completes an ordinary job, and then until no
// process has started for contactMs.
func (f *fleet) warmUp() error {
	const job = `{"spec":"warm","steps":[{"count":11,"cpu":960,"memMb":1900,"estimatedMs":850}]}`
	time.Sleep(4 * time.Second)
	if !f.submit(0, "/slot/00000000000000aa", job, 20) {
		return errors.New("the first job was not accepted")
	}
	if !poll(20*time.Second, func() bool { return f.state(1, "/slot/00000000000000aa") == "completed" }) {
		return errors.New("the first job was not completed")
	}
	time.Sleep(contact)
	f.notef("the system serves")
	return nil
}

// The bounds of the site, by their names in the settings file.
const (
	contact    = 3 * time.Second  // contactMs
	cancelTime = 3 * time.Second  // cancel_ms
	finishTime = 14 * time.Second // finish_s
)
