package sched

import (
	"bytes"
	"fmt"
	"slices"
	"strconv"

	"lagoonrack/internal/plat"
	"lagoonrack/internal/work"
)

// PartTable is the table of the rows that hold the parts of jobs that are too large for the
// row that accepts them. They are written and deleted together with that row.
const PartTable = "parts"

// maxJobBytes bounds the stored form of a job: it has to fit one transaction.
const maxJobBytes = bytesPerCommit

// PartKey returns the key of a part of a job; the first is number 1.
func PartKey(id string, part int) string {
	return plat.Key(PartTable, id[:min(1, len(id))], id+"/"+strconv.Itoa(part))
}

// EncodeJob returns the writes that store a job: its row and, if the job is larger than the
// limits allow for a row, those of its parts. The returned job says how many parts there are.
func EncodeJob(j work.Job, l Limits) (work.Job, []plat.Write, error) {
	j.Parts = 0
	data, err := work.Encode(j)
	if err != nil {
		return j, nil, err
	}
	if len(data) > maxJobBytes {
		return j, nil, fmt.Errorf("job %q: its stored form has %d bytes; at most %d are allowed", j.ID, len(data), maxJobBytes)
	}
	size := l.WithDefaults().rowBytes()
	if len(data) <= size {
		return j, []plat.Write{{Key: JobKey(j.ID), Value: data}}, nil
	}
	writes := make([]plat.Write, 1)
	for part := range slices.Chunk(data, size) {
		j.Parts++
		writes = append(writes, plat.Write{Key: PartKey(j.ID, j.Parts), Value: part})
	}
	head, err := work.Encode(work.Job{ID: j.ID, Queue: j.Queue, Service: j.Service, At: j.At, Parts: j.Parts})
	writes[0] = plat.Write{Key: JobKey(j.ID), Value: head}
	return j, writes, err
}

// DecodeJob decodes a row of the job table that is not a cancellation. If the job has parts,
// read returns the value of each, or nil if there is none; its errors are returned as they
// are.
func DecodeJob(r plat.Row, read func(key string) ([]byte, error)) (work.Job, error) {
	j, err := decodeJob(r.Key, r.Value)
	if err != nil || j.Refused {
		return j, err
	}
	if j.Parts > 0 {
		if j, err = joinJob(r.Key, j.Parts, read); err != nil {
			return j, err
		}
	}
	return j, j.Check()
}

// joinJob decodes a job from its parts.
func joinJob(key string, parts int, read func(key string) ([]byte, error)) (work.Job, error) {
	if parts > maxTxnEntries {
		return work.Job{}, fmt.Errorf("a job of %d parts", parts)
	}
	_, _, id := plat.SplitKey(key)
	var data [][]byte
	for part := range parts {
		value, err := read(PartKey(id, part+1))
		if err != nil {
			return work.Job{}, err
		}
		if value == nil {
			return work.Job{}, fmt.Errorf("part %d of the job does not exist", part+1)
		}
		data = append(data, value)
	}
	j, err := decodeJob(key, bytes.Join(data, nil))
	j.Parts = parts
	return j, err
}

// decodeJob decodes the job of the row with the given key.
func decodeJob(key string, data []byte) (work.Job, error) {
	var j work.Job
	if err := work.Decode(data, &j); err != nil {
		return j, err
	}
	if key != JobKey(j.ID) {
		return j, fmt.Errorf("the row is of job %q", j.ID)
	}
	return j, nil
}
