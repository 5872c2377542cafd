// Package digest computes a digest of a request's content, so that an answer can be
// matched to the request that it belongs to.
package digest

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Of returns the digest of a request's method, path and body as a hexadecimal
// number.
func Of(method, path string, body []byte) string {
	d := xxhash.New()
	_, _ = d.WriteString(method)
	_, _ = d.WriteString(" ")
	_, _ = d.WriteString(path)
	_, _ = d.WriteString("\n")
	_, _ = d.Write(body)
	return strconv.FormatUint(d.Sum64(), 16)
}
