// Package digest names the content of a request, so that a caller can tell
// whether an answer is that of its own request.
package digest

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Of returns the digest of a request.
func Of(method, path string, body []byte) string {
	d := xxhash.New()
	_, _ = d.WriteString(method)
	_, _ = d.WriteString(" ")
	_, _ = d.WriteString(path)
	_, _ = d.WriteString("\n")
	_, _ = d.Write(body)
	return strconv.FormatUint(d.Sum64(), 16)
}
