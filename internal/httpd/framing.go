package httpd

import (
	"bytes"
	"fmt"
	"strconv"
	"strings"

	"lagoonrack/internal/inflow"
)

// framing collects the bytes of one request and finds its end. The library parses the request
// again once it is whole. A chunked body is stored without its framing and given a length, so
// that small chunks cost no memory; trailers are dropped. The rules are those of the library,
// except that a request with both a length and a transfer coding, with different lengths, or
// with a header line that is continued on the next is malformed, and that empty lines before a
// request are skipped.
type framing struct {
	// headLimit and bodyLimit bound the head, with the empty lines before it, and the body,
	// in bytes.
	headLimit, bodyLimit int

	part part
	// buf is the request so far in the form in which the library gets it.
	buf []byte
	// overhead is the number of bytes of the head, of empty lines and of trailers so far.
	overhead int
	// lineStart is where the present line of the head begins in buf.
	lineStart int
	// headEnd is where the body begins in buf.
	headEnd int
	// left is the rest of the body, or of the present chunk.
	left int64
	// sizeLine is the present line of a chunk's size, or its end, or of a trailer.
	sizeLine []byte
	// length is the value of Content-Length, or empty.
	length                 string
	chunked, awaitsGoAhead bool
}

// part is the part of a request that framing expects next.
type part int

const (
	partEmptyLines part = iota
	partHeaders
	partFixedBody
	partChunkSize
	partChunkData
	partChunkEnd
	partTrailer
	partWhole
)

const (
	// lengthFormat is the header line for the length of a chunked body, with the end of the
	// head. Its width is fixed, because its place is reserved before the length is known.
	lengthFormat = "Content-Length: %010d\r\n\r\n"
	lengthWidth  = len("Content-Length: ") + 10 + len("\r\n\r\n")
	// maxSizeLine is the maximum length of the line with a chunk's size, which may end with
	// spaces.
	maxSizeLine = 32
	// minBuffer is the size of the first buffer of a request: that of a usual one.
	minBuffer = 1 << 10
)

// begun reports whether bytes of a request have arrived, which may be empty lines.
func (f *framing) begun() bool { return f.overhead > 0 }

// inBody reports whether the head has arrived, but not the whole body.
func (f *framing) inBody() bool { return f.part >= partFixedBody && f.part < partWhole }

// feed takes bytes until the request is whole. It returns how many it took, and why the
// request must be refused.
func (f *framing) feed(p []byte) (int, inflow.Reason) {
	taken := 0
	for taken < len(p) && f.part != partWhole {
		n, r := f.step(p[taken:])
		taken += n
		if r != inflow.None {
			return taken, r
		}
	}
	return taken, inflow.None
}

// step takes the bytes up to the next boundary.
func (f *framing) step(p []byte) (int, inflow.Reason) {
	switch f.part {
	case partFixedBody, partChunkData:
		return f.data(p), inflow.None
	case partChunkSize, partChunkEnd, partTrailer:
		return f.chunkLine(p)
	}
	return f.headLine(p)
}

// headLine takes a line of the head, or a part of one.
func (f *framing) headLine(p []byte) (int, inflow.Reason) {
	n, ended := lineLength(p)
	n = min(n, f.headLimit-f.overhead+1)
	f.overhead += n
	if f.overhead > f.headLimit {
		return n, inflow.HeadSize
	}
	f.grow(n, f.headLimit)
	f.buf = append(f.buf, p[:n]...)
	if !ended {
		return n, inflow.None
	}
	line := bytes.TrimSuffix(f.buf[f.lineStart:len(f.buf)-1], []byte("\r"))
	switch {
	case len(line) > 0 && f.part != partHeaders:
		f.part = partHeaders
	case len(line) > 0:
		if r := f.header(line); r != inflow.None {
			return n, r
		}
	case f.part == partEmptyLines:
		f.buf = f.buf[:0]
	default:
		return n, f.endHead()
	}
	f.lineStart = len(f.buf)
	return n, inflow.None
}

// lineLength returns the length of the line at the start of p with its end, or that of p, and
// whether the end is there.
func lineLength(p []byte) (int, bool) {
	if i := bytes.IndexByte(p, '\n'); i >= 0 {
		return i + 1, true
	}
	return len(p), false
}

// header notes what a header line says about the body. It removes lines that the library must
// not see.
func (f *framing) header(line []byte) inflow.Reason {
	if line[0] == ' ' || line[0] == '\t' {
		// A line that continues the one before. The library sees the end of some of
		// these heads elsewhere, and RFC 9112 allows to reject them.
		return inflow.Malformed
	}
	name, value, _ := strings.Cut(string(line[:min(len(line), 256)]), ":")
	value = strings.TrimSpace(value)
	switch {
	case strings.EqualFold(name, "Content-Length"):
		if f.length != "" && f.length != value {
			return inflow.Malformed
		}
		f.length = value
	case strings.EqualFold(name, "Transfer-Encoding"):
		if value != "identity" {
			f.chunked = true
			f.buf = f.buf[:f.lineStart]
		}
	case strings.EqualFold(name, "Expect") && strings.EqualFold(value, "100-continue"):
		f.awaitsGoAhead = true
		f.buf = f.buf[:f.lineStart]
	}
	return inflow.None
}

// endHead determines the framing of the body after the empty line that ends the head.
func (f *framing) endHead() inflow.Reason {
	switch {
	case f.chunked && f.length != "":
		return inflow.Malformed
	case f.chunked:
		f.buf = f.buf[:f.lineStart]
		f.grow(lengthWidth, f.headLimit+lengthWidth)
		f.headEnd = f.lineStart + lengthWidth
		f.buf = f.buf[:f.headEnd]
		f.part = partChunkSize
		return inflow.None
	case f.length == "":
		f.part = partWhole
		return inflow.None
	}
	f.headEnd = len(f.buf)
	length, err := strconv.ParseUint(f.length, 10, 63)
	if err != nil {
		return inflow.Malformed
	}
	if length > uint64(f.bodyLimit) {
		return inflow.BodySize
	}
	f.left, f.part = int64(length), partFixedBody
	if length == 0 {
		f.part = partWhole
	}
	return inflow.None
}

// data takes bytes of the body, or of the present chunk.
func (f *framing) data(p []byte) int {
	n := int(min(int64(len(p)), f.left))
	limit := f.headEnd + f.bodyLimit
	if f.part == partFixedBody {
		limit = len(f.buf) + int(f.left)
	}
	f.grow(n, limit)
	f.buf = append(f.buf, p[:n]...)
	f.left -= int64(n)
	switch {
	case f.left > 0:
	case f.part == partFixedBody:
		f.part = partWhole
	default:
		f.part = partChunkEnd
	}
	return n
}

// chunkLine takes a line between the chunks or behind them, or a part of one.
func (f *framing) chunkLine(p []byte) (int, inflow.Reason) {
	n, ended := lineLength(p)
	limit := maxSizeLine
	if f.part == partTrailer {
		limit = f.headLimit - f.overhead
	}
	if len(f.sizeLine)+n > limit {
		return n, inflow.Malformed
	}
	f.sizeLine = append(f.sizeLine, p[:n]...)
	if !ended {
		return n, inflow.None
	}
	line, ok := bytes.CutSuffix(f.sizeLine, []byte("\r\n"))
	if f.part == partTrailer {
		f.overhead += len(f.sizeLine)
		line = bytes.TrimRight(f.sizeLine, "\r\n")
		ok = true
	}
	f.sizeLine = f.sizeLine[:0]
	if !ok {
		return n, inflow.Malformed
	}
	return n, f.endChunkLine(line)
}

// endChunkLine handles a line between the chunks or behind them.
func (f *framing) endChunkLine(line []byte) inflow.Reason {
	switch {
	case f.part == partChunkEnd && len(line) == 0:
		f.part = partChunkSize
	case f.part == partChunkEnd:
		return inflow.Malformed
	case f.part == partTrailer && len(line) == 0:
		f.endChunks()
	case f.part == partTrailer:
	default:
		size, err := strconv.ParseUint(strings.TrimRight(string(line), " "), 16, 63)
		if err != nil {
			return inflow.Malformed
		}
		if size > uint64(f.bodyLimit-(len(f.buf)-f.headEnd)) {
			return inflow.BodySize
		}
		f.left, f.part = int64(size), partChunkData
		if size == 0 {
			f.part = partTrailer
		}
	}
	return inflow.None
}

// endChunks writes the length of a chunked body into its place in the head.
func (f *framing) endChunks() {
	copy(f.buf[f.headEnd-lengthWidth:f.headEnd], fmt.Appendf(nil, lengthFormat, len(f.buf)-f.headEnd))
	f.part = partWhole
}

// grow makes room for n more bytes. The size doubles, up to a limit that the request can reach.
func (f *framing) grow(n, limit int) {
	need := len(f.buf) + n
	if need <= cap(f.buf) {
		return
	}
	size := max(need, min(2*cap(f.buf), limit), min(minBuffer, limit))
	f.buf = append(make([]byte, 0, size), f.buf...)
}
