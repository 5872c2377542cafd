package work

import (
	"slices"

	"github.com/fxamacker/cbor/v2"
)

// State is the content of a row with the progress of a job. Each write replaces the row as a
// whole. A row with a part of the tasks has only Tasks.
type State struct {
	// Failed says that a task reached the queue's limit of failed runs.
	Failed bool `cbor:"1,keyasint,omitempty"`
	// Ended is when the job ended, in milliseconds of the store's clock, or 0.
	Ended int64 `cbor:"2,keyasint,omitempty"`
	// Past is the number of occurrences, counted from occurrence 0, that are
	// complete and have no task running.
	Past int `cbor:"3,keyasint,omitempty"`
	// Complete says that all tasks of all occurrences have succeeded.
	Complete bool `cbor:"5,keyasint,omitempty"`
	// Tasks lists the tasks of the occurrences after Past that were ever started.
	Tasks []TaskState `cbor:"4,keyasint,omitempty"`
	// Started says that some task was ever started. Earlier versions set it if a task had
	// been placed, and only if Tasks is kept in other rows.
	Started bool `cbor:"6,keyasint,omitempty"`
}

// ShowsStart reports whether a task was ever started, as far as this row says.
func (s State) ShowsStart() bool {
	return s.Started || s.Past > 0 || slices.ContainsFunc(s.Tasks, TaskState.ShowsStart)
}

// TaskState is the stored record of one task's progress.
type TaskState struct {
	_ struct{} `cbor:",toarray"`
	// K is the occurrence of the job, Step the index of the step, and Index the
	// task's index in the step.
	K     int
	Step  int
	Index int
	// Run is the highest run number that was used.
	Run int64
	// Done says that the task has succeeded.
	Done bool
	// Fails is the number of runs that failed.
	Fails int
	// Saved names the newest checkpoint, or is empty.
	Saved string
	// Places lists the runs that may be active.
	Places []RunState
}

// ShowsStart reports whether the record can only be that of a task that was started. A run
// number alone is used before the order is sent.
func (t TaskState) ShowsStart() bool { return t.Done || t.Fails > 0 || t.Saved != "" }

// RunState is the stored record of a run that may be active on a worker.
type RunState struct {
	_    struct{} `cbor:",toarray"`
	Run  int64
	Life Life
	// Agent is the address of the worker's agent.
	Agent string
}

// Encode returns the CBOR form in which v is stored.
func Encode(v any) ([]byte, error) { return cbor.Marshal(v) }

// Decode reads what Encode wrote into v, a pointer.
func Decode(data []byte, v any) error { return cbor.Unmarshal(data, v) }
