package work

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"
)

// Packer encodes the states of jobs in compressed form, for owners whose link is too slow
// for the plain one: the same workers and agents occur in it again and again. The zero
// value is ready for use.
type Packer struct {
	writer *flate.Writer
	buffer bytes.Buffer
}

// packedMark is the first byte of a packed state. No plain one begins with it: the CBOR
// form of a State begins with the type of a map.
const packedMark = 0

// minPackedSize is the size in bytes below which compression saves nothing.
const minPackedSize = 200

// maxStateSize bounds the plain size of a packed state, in bytes.
const maxStateSize = 16 << 20

// Encode returns the stored form of a state.
func (p *Packer) Encode(s State) ([]byte, error) {
	plain, err := Encode(s)
	if err != nil || len(plain) < minPackedSize {
		return plain, err
	}
	p.buffer.Reset()
	p.buffer.WriteByte(packedMark)
	if p.writer == nil {
		if p.writer, err = flate.NewWriter(nil, flate.BestSpeed); err != nil {
			return nil, err
		}
	}
	p.writer.Reset(&p.buffer)
	if _, err := p.writer.Write(plain); err != nil {
		return nil, err
	}
	if err := p.writer.Close(); err != nil {
		return nil, err
	}
	return bytes.Clone(p.buffer.Bytes()), nil
}

// DecodeState reads the stored form of a state, packed or plain.
func DecodeState(data []byte) (State, error) {
	var s State
	if len(data) > 0 && data[0] == packedMark {
		plain, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(data[1:])), maxStateSize+1))
		if err != nil {
			return s, err
		}
		if len(plain) > maxStateSize {
			return s, fmt.Errorf("the state has more than %d bytes", maxStateSize)
		}
		data = plain
	}
	return s, Decode(data, &s)
}
