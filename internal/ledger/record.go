package ledger

import (
	"fmt"
	"strconv"
	"strings"

	"lagoonrack/internal/wire"
)

// Op is the operation that a record describes. Start to Cancel are events of
// task.chart.yaml.
type Op string

// Operations of records.
const (
	// Submit accepts a job.
	Submit Op = "submit"
	// Start places an attempt of a task on a worker.
	Start Op = "start"
	// End says that the attempt, and so the task, succeeded.
	End Op = "end"
	// Fail says that the attempt failed and the task is not tried again.
	Fail Op = "fail"
	// Requeue returns the task to the queue once its attempt has certainly
	// stopped.
	Requeue Op = "back"
	// Lose ends a task whose outcome is unknown and which must not be repeated.
	Lose Op = "lose"
	// Halt ends a waiting task because its job was abandoned.
	Halt Op = "stop"
	// Cancel cancels a job.
	Cancel Op = "cancel"
	// Drain marks a worker as draining.
	Drain Op = "drain"
	// Restore ends the draining of a worker.
	Restore Op = "restore"
)

// Record is one durable change of the state of a cell.
type Record struct {
	Op Op `cbor:"1,keyasint"`
	// At is the wall-clock time in milliseconds since 1970. It is used for
	// deadlines, retention and display, never for leases.
	At int64 `cbor:"2,keyasint"`
	// Name is the job's name.
	Name string `cbor:"3,keyasint"`
	// Task is the index of the task in its job.
	Task int `cbor:"4,keyasint,omitempty"`
	// Attempt is the number of the attempt, from 1.
	Attempt int `cbor:"5,keyasint,omitempty"`
	// Worker and Incarnation say where the attempt was placed. Drain and Restore
	// set only Worker.
	Worker      string `cbor:"6,keyasint,omitempty"`
	Incarnation string `cbor:"7,keyasint,omitempty"`
	// Saved names the checkpoint that the next attempt continues from.
	Saved string `cbor:"8,keyasint,omitempty"`
	// Reason is a one-word code for why the operation was recorded; it may be
	// empty.
	Reason string `cbor:"9,keyasint,omitempty"`
	// Job is the accepted job; it is set only for Submit.
	Job *wire.Job `cbor:"10,keyasint,omitempty"`
	// Failed is set for a Requeue after a failed attempt, as opposed to one that
	// was evicted or lost with its worker.
	Failed bool `cbor:"11,keyasint,omitempty"`
}

// Page is a group of records that is committed in one transaction.
type Page struct {
	// Seq grows by one with each page of a cell.
	Seq uint64 `cbor:"1,keyasint"`
	// Term is the term of the owner that wrote the page.
	Term uint64 `cbor:"2,keyasint"`
	// Txn is unique for each page. When the answer to a commit was lost, it tells
	// whether the stored page with this number is the one that was sent.
	Txn     string   `cbor:"3,keyasint"`
	Records []Record `cbor:"4,keyasint"`
}

// TaskID returns the name of a task, JOB/INDEX.
func TaskID(job string, index int) string { return job + "/" + strconv.Itoa(index) }

// ParseTask splits the name of a task into the job's name and the task's index.
func ParseTask(id string) (job string, index int, err error) {
	i := strings.LastIndexByte(id, '/')
	if i < 0 {
		return "", 0, fmt.Errorf("%q is not JOB/INDEX", id)
	}
	n, err := strconv.Atoi(id[i+1:])
	if err != nil || n < 0 {
		return "", 0, fmt.Errorf("%q is not JOB/INDEX", id)
	}
	return id[:i], n, nil
}
