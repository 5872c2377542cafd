//go:build review

package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// process is a process of the system. The platform starts it again a short time after it
// ends.
type process struct {
	name string
	args []string
	dir  string
	log  *os.File
	rec  *recorder
	// memory is the limit of its memory in MB, over which the platform kills it.
	memory int

	mu      sync.Mutex
	cmd     *exec.Cmd
	stopped bool
	// gone is closed when the process was ended for good.
	gone chan struct{}
	// starts counts the starts, and ownEnds the ends that the test did not cause.
	starts, ownEnds int
	// peak is the highest memory that was measured, in MB.
	peak int
}

const (
	// restartAfter is the time between the end of a process and its restart.
	restartAfter = time.Second
	// lookEvery is how often the memory of a process is measured.
	lookEvery = 50 * time.Millisecond
)

func (p *process) loop() {
	defer close(p.gone)
	for {
		p.mu.Lock()
		if p.stopped {
			p.mu.Unlock()
			return
		}
		c := exec.Command(p.args[0], p.args[1:]...)
		c.Dir = p.dir
		// The machines have one core. The processes must not outlive the test.
		c.Env = append(os.Environ(), "GOMAXPROCS=1")
		c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		c.Stdout, c.Stderr = p.log, p.log
		err := c.Start()
		p.cmd = c
		p.starts++
		p.mu.Unlock()
		if err != nil {
			p.rec.notef("%s: %v", p.name, err)
			return
		}
		ended := make(chan struct{})
		go p.watchMemory(c.Process.Pid, ended)
		_ = c.Wait()
		close(ended)
		p.mu.Lock()
		if !p.stopped {
			p.ownEnds++
			p.rec.notef("%s ended by itself (%s), time %d", p.name, c.ProcessState, p.ownEnds)
		}
		p.mu.Unlock()
		time.Sleep(restartAfter)
	}
}

// watchMemory kills the process if its memory exceeds the limit, as the platform does.
func (p *process) watchMemory(pid int, ended chan struct{}) {
	for {
		select {
		case <-ended:
			return
		case <-time.After(lookEvery):
		}
		mb := anonymousMemory(pid)
		p.mu.Lock()
		p.peak = max(p.peak, mb)
		p.mu.Unlock()
		if mb > p.memory {
			p.rec.notef("%s has %d MB of %d and is killed", p.name, mb, p.memory)
			p.signal(syscall.SIGKILL)
			return
		}
	}
}

// anonymousMemory returns the resident memory of a process without that of its files, in MB.
func anonymousMemory(pid int) int {
	data, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(pid), "status"))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if rest, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(rest)[0])
			return kb / 1024
		}
	}
	return 0
}

func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil && p.cmd.Process != nil && p.cmd.ProcessState == nil {
		_ = p.cmd.Process.Signal(s)
	}
}

// end ends the process for good.
func (p *process) end() {
	p.mu.Lock()
	p.stopped = true
	p.mu.Unlock()
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGKILL)
}

// counts returns how often the process ended by itself, and its highest memory.
func (p *process) counts() (ownEnds, peak int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ownEnds, p.peak
}
