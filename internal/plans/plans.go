// Package plans reads job files whose jobs consist of steps.
package plans

import (
	"fmt"
	"strings"

	"lagoonrack/internal/tree"
	"lagoonrack/internal/unit"
	"lagoonrack/internal/vect"
	"lagoonrack/internal/work"
)

// File is the content of a file that defines a job with steps.
type File struct {
	Name  string `yaml:"name" doc:"Name of the job; a second submit with the same name is the same job."`
	Queue string `yaml:"queue" doc:"Queue of the job, which names its service."`
	Spec  string `yaml:"spec" doc:"What each task is told, up to 4,000 bytes."`
	Times int    `yaml:"times" doc:"How often the steps run; 0 for once and at once."`
	// First and Every are used only if Times is above 0.
	First int64         `yaml:"first" doc:"Due time of the first run, in milliseconds since 1970."`
	Every unit.Duration `yaml:"every" doc:"Span between the due times of two runs."`
	Steps []Step        `yaml:"steps" doc:"Steps of the job, in order."`
}

// Step is a set of tasks with the same requirements.
type Step struct {
	Name       string        `yaml:"name" doc:"Name of the step, which others wait for."`
	Count      int           `yaml:"count" doc:"Number of tasks."`
	Cores      float64       `yaml:"cores" doc:"Processor cores of one task."`
	Memory     unit.Bytes    `yaml:"memory" doc:"Memory of one task."`
	Accel      int64         `yaml:"accel" doc:"Accelerators of one task."`
	Runtime    unit.Duration `yaml:"runtime" doc:"Rough run time of one task."`
	After      []string      `yaml:"after" doc:"Names of earlier steps that must have ended."`
	Checkpoint bool          `yaml:"checkpoint" doc:"Whether a task can go on from where it was stopped."`
	Gang       bool          `yaml:"gang" doc:"Whether the tasks only work together."`
	Tight      bool          `yaml:"tight" doc:"Whether the tasks of a gang are slower on several racks."`
	Needs      string        `yaml:"needs" doc:"Label that the worker must have."`
	Near       string        `yaml:"near" doc:"Rack that the data is on."`
	Apart      int           `yaml:"apart" doc:"Most tasks of the step on one worker; 0 for no limit."`
	Copies     bool          `yaml:"copies" doc:"Whether a task may run twice at a time."`
	Lasts      bool          `yaml:"lasts" doc:"Whether the tasks run until the job is cancelled."`
	Fills      bool          `yaml:"fills" doc:"Whether the tasks use processor time that others leave."`
	Image      string        `yaml:"image" doc:"What the tasks run; tasks of one image behave alike."`
	Target     unit.Duration `yaml:"target" doc:"Tail latency that a lasting task promises its users."`
	Missing    int           `yaml:"missing" doc:"Lasting tasks that may be away by orders at a time."`
}

// HasSteps reports whether a file defines a job with steps, which is so if a line
// begins with "steps:".
func HasSteps(data []byte) bool {
	for line := range strings.Lines(string(data)) {
		if strings.HasPrefix(line, "steps:") {
			return true
		}
	}
	return false
}

const (
	// specLimit is the longest specification, in bytes, that workers accept.
	specLimit = 4000
	// nameChars are the characters of a job name. Dots and slashes are excluded
	// because they separate the parts of longer names.
	nameChars = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_"
)

// Parse returns the job that a file defines, or an error that names the location
// of each fault.
func Parse(file string, data []byte) (work.Job, error) {
	t, err := tree.Parse(file, data)
	if err != nil {
		return work.Job{}, err
	}
	var f File
	if err := t.Decode(&f); err != nil {
		return work.Job{}, err
	}
	c := tree.Check{Tree: t}
	c.Want(f.Name != "" && strings.Trim(f.Name, nameChars) == "", "name", "a name of letters, digits, - and _ is needed")
	c.Want(f.Queue != "", "queue", "a queue is needed")
	c.Want(len(f.Spec) <= specLimit, "spec", "%d bytes are more than %d", len(f.Spec), specLimit)
	c.Want(f.Times == 0 || f.Every > 0, "every", "a duration above 0 is needed with times")
	c.Want(len(f.Steps) > 0, "steps", "at least one step is needed")
	j := work.Job{ID: f.Name, Queue: f.Queue, Spec: f.Spec, Times: f.Times, First: f.First, Every: f.Every.Std().Milliseconds()}
	index := map[string]int{}
	for i, s := range f.Steps {
		path := "steps[" + s.Name + "]"
		c.Want(s.Name != "", fmt.Sprintf("steps[%d].name", i), "a name is needed")
		c.Want(s.Count >= 1, path+".count", "%d is less than 1", s.Count)
		c.Want(s.Cores >= 0 && s.Memory >= 0 && s.Accel >= 0, path+".cores", "no resource may be below 0")
		c.Want(!s.Lasts || !s.Gang, path+".lasts", "the tasks of a gang cannot be long-running")
		st := s.step()
		for _, a := range s.After {
			n, ok := index[a]
			c.Want(ok, path+".after", "%q is not an earlier step", a)
			st.After = append(st.After, n)
		}
		index[s.Name] = i
		j.Steps = append(j.Steps, st)
	}
	if err := c.Err(); err != nil {
		return work.Job{}, fmt.Errorf("job: %w", err)
	}
	return j, nil
}

// step returns the step in the form in which jobs are submitted, without the steps
// that it waits for.
func (s Step) step() work.Step {
	return work.Step{
		Count: s.Count,
		Size: vect.Size{
			Cores:  int64(s.Cores * 1000),
			Memory: (int64(s.Memory) + 1<<20 - 1) >> 20,
			Accel:  s.Accel,
		},
		Estimate: s.Runtime.Std().Milliseconds(),
		Saves:    s.Checkpoint, Gang: s.Gang, Tight: s.Tight, Needs: s.Needs, Near: s.Near, Apart: s.Apart,
		Copies: s.Copies, Lasts: s.Lasts, Fills: s.Fills, Image: s.Image,
		Target: s.Target.Std().Milliseconds(), Missing: s.Missing,
	}
}
