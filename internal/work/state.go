package work

import "github.com/fxamacker/cbor/v2"

// State is what is kept of a job's progress. It is rewritten as a whole.
type State struct {
	// Failed says that a task failed too often.
	Failed bool `cbor:"1,keyasint,omitempty"`
	// Ended is when the job ended, in milliseconds of the store's clock, or 0.
	Ended int64 `cbor:"2,keyasint,omitempty"`
	// Past is the number of occurrences, from 0 on, that are complete and of
	// which nothing runs any more.
	Past int `cbor:"3,keyasint,omitempty"`
	// Complete says that all tasks of all occurrences have ended well.
	Complete bool `cbor:"5,keyasint,omitempty"`
	// Tasks lists the tasks of later occurrences that were ever started.
	Tasks []TaskState `cbor:"4,keyasint,omitempty"`
}

// TaskState is what is kept of one task.
type TaskState struct {
	_     struct{} `cbor:",toarray"`
	K     int
	Step  int
	Index int
	// Run is the highest run number that was used.
	Run   int64
	Done  bool
	Fails int
	Saved string
	// Places lists the runs that may be under way.
	Places []RunState
}

// RunState is a run that may be under way.
type RunState struct {
	_    struct{} `cbor:",toarray"`
	Run  int64
	Life Life
	// Agent is the address of the worker's agent.
	Agent string
}

// Encode returns the stored form.
func Encode(v any) ([]byte, error) { return cbor.Marshal(v) }

// Decode reads the stored form.
func Decode(data []byte, v any) error { return cbor.Unmarshal(data, v) }
