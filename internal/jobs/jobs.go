// Package jobs parses and validates the job files that operators submit.
package jobs

import (
	"fmt"

	"lagoonrack/internal/tree"
	"lagoonrack/internal/unit"
	"lagoonrack/internal/vect"
	"lagoonrack/internal/wire"
)

// File is the content of a job file.
type File struct {
	Name       string        `yaml:"name" doc:"Name of the job; a second submit with the same name is the same job."`
	Team       string        `yaml:"team" doc:"Team whose quota the job counts against."`
	Kind       string        `yaml:"kind" doc:"Kind of the job; run times and sizes are learned for each kind."`
	Cell       string        `yaml:"cell" doc:"Cell to run in; left out, one is chosen by the name."`
	Tasks      int           `yaml:"tasks" doc:"Number of tasks."`
	Cores      float64       `yaml:"cores" doc:"Processor cores of one task."`
	Memory     unit.Bytes    `yaml:"memory" doc:"Memory of one task."`
	Accel      int64         `yaml:"accel" doc:"Accelerators of one task."`
	Runtime    unit.Duration `yaml:"runtime" doc:"Declared run time of one task."`
	Actual     unit.Duration `yaml:"actual" doc:"True run time on a stand-in worker; left out, the declared one."`
	Deadline   unit.Duration `yaml:"deadline" doc:"Time from acceptance in which all tasks are to end; 0s for none."`
	Idempotent bool          `yaml:"idempotent" doc:"Whether a task may run again after it was lost or failed."`
	Checkpoint bool          `yaml:"checkpoint" doc:"Whether a task can save its progress."`
	Urgent     bool          `yaml:"urgent" doc:"Whether tasks may evict others to start at once."`
	Limit      int           `yaml:"limit" doc:"Workers on which a task may fail; 0 for the setting."`
}

// Parse parses and validates a job file. The file name appears only in errors.
func Parse(file string, data []byte) (wire.Job, error) {
	t, err := tree.Parse(file, data)
	if err != nil {
		return wire.Job{}, err
	}
	var f File
	f.Tasks = 1
	if err := t.Decode(&f); err != nil {
		return wire.Job{}, err
	}
	check := tree.Check{Tree: t}
	check.Want(f.Name != "", "name", "a name is needed")
	check.Want(f.Team != "", "team", "a team is needed")
	check.Want(f.Kind != "", "kind", "a kind is needed")
	check.Want(f.Tasks >= 1, "tasks", "%d is less than 1", f.Tasks)
	check.Want(f.Cores > 0 || f.Memory > 0 || f.Accel > 0, "cores", "some resource must be above 0")
	check.Want(f.Cores >= 0 && f.Memory >= 0 && f.Accel >= 0, "cores", "no resource may be below 0")
	check.Want(f.Runtime > 0, "runtime", "a run time above 0 is needed")
	check.Want(f.Deadline >= 0, "deadline", "%s is below 0", f.Deadline)
	check.Want(f.Limit >= 0, "limit", "%d is below 0", f.Limit)
	if err := check.Err(); err != nil {
		return wire.Job{}, fmt.Errorf("job: %w", err)
	}
	return f.job(), nil
}

// job converts the file to the submitted job. Memory is rounded up to whole MiB.
func (f File) job() wire.Job {
	return wire.Job{
		Name:  f.Name,
		Team:  f.Team,
		Kind:  f.Kind,
		Cell:  f.Cell,
		Tasks: f.Tasks,
		Size: vect.Size{
			Cores:  int64(f.Cores * 1000),
			Memory: (int64(f.Memory) + 1<<20 - 1) >> 20,
			Accel:  f.Accel,
		},
		Runtime:    f.Runtime.Std(),
		Actual:     f.Actual.Std(),
		Deadline:   f.Deadline.Std(),
		Idempotent: f.Idempotent,
		Checkpoint: f.Checkpoint,
		Urgent:     f.Urgent,
		Limit:      f.Limit,
	}
}
