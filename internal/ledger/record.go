package ledger

import (
	"fmt"
	"strconv"
	"strings"

	"lagoonrack/internal/wire"
)

// Op is what a record says happened.
type Op string

// The operations of records.
const (
	// Submit accepts a job.
	Submit Op = "submit"
	// Start commits an attempt of a task to a worker.
	Start Op = "start"
	// End says that the attempt ended well.
	End Op = "end"
	// Fail says that the attempt failed and is the task's last.
	Fail Op = "fail"
	// Back returns the task to the queue after its attempt certainly stopped.
	Back Op = "back"
	// Lose ends a task that can't be repeated and whose end is not known.
	Lose Op = "lose"
	// Halt ends a task that waits, because its job is given up.
	Halt Op = "stop"
	// Cancel withdraws a job.
	Cancel Op = "cancel"
	// Drain empties a worker, and Restore uses it again.
	Drain   Op = "drain"
	Restore Op = "restore"
)

// Record is one durable fact of a cell.
type Record struct {
	Op Op `cbor:"1,keyasint"`
	// At is the wall-clock time in milliseconds since 1970. It is used to
	// explain and for deadlines, never for leases.
	At int64 `cbor:"2,keyasint"`
	// Name is the job's name.
	Name string `cbor:"3,keyasint"`
	// Task is the index of the task in its job.
	Task    int `cbor:"4,keyasint,omitempty"`
	Attempt int `cbor:"5,keyasint,omitempty"`
	// Worker and Incarnation name the place of a Start.
	Worker      string `cbor:"6,keyasint,omitempty"`
	Incarnation string `cbor:"7,keyasint,omitempty"`
	// Saved names the checkpoint that the next attempt continues from.
	Saved string `cbor:"8,keyasint,omitempty"`
	// Reason is one word.
	Reason string `cbor:"9,keyasint,omitempty"`
	// Job is set for Submit.
	Job *wire.Job `cbor:"10,keyasint,omitempty"`
	// Failed says of a Back that the attempt failed by itself.
	Failed bool `cbor:"11,keyasint,omitempty"`
}

// Page is a group of records that is committed at once.
type Page struct {
	// Seq grows by one with each page of a cell.
	Seq  uint64 `cbor:"1,keyasint"`
	Term uint64 `cbor:"2,keyasint"`
	// Txn tells pages with the same number apart when an answer was lost.
	Txn     string   `cbor:"3,keyasint"`
	Records []Record `cbor:"4,keyasint"`
}

// TaskID returns the name of a task.
func TaskID(job string, index int) string { return job + "/" + strconv.Itoa(index) }

// ParseTask splits the name of a task.
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
