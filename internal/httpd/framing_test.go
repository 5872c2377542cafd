package httpd

import (
	"fmt"
	"io"
	"strings"
	"testing"

	"github.com/cloudwego/hertz/pkg/common/test/mock"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/http1/req"

	"lagoonrack/internal/inflow"
)

// collect feeds pieces of a size to a framing, and returns what the library gets, what is left,
// and why the request is refused.
func collect(sent string, size int) (request, rest string, r inflow.Reason) {
	f := framing{headLimit: 200, bodyLimit: 100}
	for len(sent) > 0 && f.part != partWhole && r == inflow.None {
		n := 0
		n, r = f.feed([]byte(sent[:min(size, len(sent))]))
		sent = sent[n:]
	}
	if f.part == partWhole {
		request = string(f.buf)
	}
	return request, sent, r
}

// Guards against a request that ends at another byte than the library's parser would say, or
// whose result depends on how it is divided into packets.
func TestFramesRequests(t *testing.T) {
	const head = "POST /x HTTP/1.1\r\nHost: h\r\n"
	for _, c := range []struct{ name, sent, request, rest string }{
		{"no body", "GET / HTTP/1.1\r\nHost: h\r\n\r\nGET", "GET / HTTP/1.1\r\nHost: h\r\n\r\n", "GET"},
		{"bare line feeds", "GET / HTTP/1.1\nHost: h\n\nGET", "GET / HTTP/1.1\nHost: h\n\n", "GET"},
		{"empty lines before", "\r\n\n\r\nGET / HTTP/1.1\r\n\r\n", "GET / HTTP/1.1\r\n\r\n", ""},
		{"length", head + "content-length: 3\r\n\r\nabcPOST", head + "content-length: 3\r\n\r\nabc", "POST"},
		{"length 0", head + "Content-Length: 0\r\n\r\nPOST", head + "Content-Length: 0\r\n\r\n", "POST"},
		{"length twice", head + "Content-Length: 1\r\nContent-Length: 1\r\n\r\na", head + "Content-Length: 1\r\nContent-Length: 1\r\n\r\na", ""},
		{"identity", head + "Transfer-Encoding: identity\r\nContent-Length: 1\r\n\r\nab", head + "Transfer-Encoding: identity\r\nContent-Length: 1\r\n\r\na", "b"},
		{"chunks", head + "transfer-encoding: chunked\r\nA: b\r\n\r\n1\r\na\r\n00B \r\n0123456789a\r\n0\r\n\r\nPOST",
			head + "A: b\r\nContent-Length: 0000000012\r\n\r\na0123456789a", "POST"},
		{"no chunks", head + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n", head + "Content-Length: 0000000000\r\n\r\n", ""},
		{"trailers", head + "Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\nA: b\r\nC: d\r\n\r\nP", head + "Content-Length: 0000000001\r\n\r\na", "P"},
		{"expectation", head + "Expect: 100-Continue\r\nContent-Length: 1\r\n\r\na", head + "Content-Length: 1\r\n\r\na", ""},
		{"largest body", head + "Content-Length: 100\r\n\r\n" + strings.Repeat("a", 100), head + "Content-Length: 100\r\n\r\n" + strings.Repeat("a", 100), ""},
	} {
		for _, size := range []int{1, 2, 7, 1000} {
			t.Run(fmt.Sprint(c.name, size), func(t *testing.T) {
				request, rest, r := collect(c.sent, size)
				if request != c.request || rest != c.rest || r != inflow.None {
					t.Errorf("got %q, rest %q, refused for %q", request, rest, r)
				}
			})
		}
	}
}

// Guards against requests over the limits, and against requests whose end the library would
// see elsewhere.
func TestRefusesRequests(t *testing.T) {
	const head = "POST /x HTTP/1.1\r\nHost: h\r\n"
	const chunks = head + "Transfer-Encoding: chunked\r\n\r\n"
	for _, c := range []struct {
		name, sent string
		want       inflow.Reason
	}{
		{"head", "GET / HTTP/1.1\r\nA: " + strings.Repeat("a", 200), inflow.HeadSize},
		{"many lines", "GET / HTTP/1.1\r\n" + strings.Repeat("a: b\r\n", 40), inflow.HeadSize},
		{"request line", strings.Repeat("a", 201), inflow.HeadSize},
		{"empty lines", strings.Repeat("\r\n", 101), inflow.HeadSize},
		{"length", head + "Content-Length: 101\r\n\r\n", inflow.BodySize},
		{"huge length", head + "Content-Length: 9223372036854775807\r\n\r\n", inflow.BodySize},
		{"length over 64 bits", head + "Content-Length: 99999999999999999999\r\n\r\n", inflow.Malformed},
		{"negative length", head + "Content-Length: -1\r\n\r\n", inflow.Malformed},
		{"two lengths", head + "Content-Length: 1\r\nContent-Length: 2\r\n\r\n", inflow.Malformed},
		{"length and chunks", head + "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n", inflow.Malformed},
		{"folded line", head + "A: b\r\n c\r\n\r\n", inflow.Malformed},
		{"folded length", head + "Content-Length: 1\r\n 0\r\n\r\n", inflow.Malformed},
		{"chunk", chunks + "65\r\n", inflow.BodySize},
		{"huge chunk", chunks + "7fffffffffffffff\r\n", inflow.BodySize},
		{"chunk over 64 bits", chunks + "fffffffffffffffff\r\n", inflow.Malformed},
		{"sum of chunks", chunks + "32\r\n" + strings.Repeat("a", 50) + "\r\n33\r\n", inflow.BodySize},
		{"no size", chunks + "\r\n", inflow.Malformed},
		{"size with a sign", chunks + "+1\r\na\r\n", inflow.Malformed},
		{"extension", chunks + "1;a=b\r\n", inflow.Malformed},
		{"endless size", chunks + strings.Repeat("0", 33), inflow.Malformed},
		{"chunk too long", chunks + "1\r\nab\r\n", inflow.Malformed},
		{"bare line feed", chunks + "1\na\r\n", inflow.Malformed},
		{"endless trailers", chunks + "0\r\n" + strings.Repeat("a: b\r\n", 40), inflow.Malformed},
	} {
		for _, size := range []int{1, 1000} {
			t.Run(fmt.Sprint(c.name, size), func(t *testing.T) {
				if _, _, r := collect(c.sent, size); r != c.want {
					t.Errorf("refused for %q, want %q", r, c.want)
				}
			})
		}
	}
}

// FuzzFraming guards against a panic, a buffer beyond the limits, a result that depends on
// how the bytes are divided, and a request whose end the library sees elsewhere.
func FuzzFraming(f *testing.F) {
	f.Add("POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\nPOST", 3)
	f.Add("\r\nGET / HTTP/1.1\r\nContent-Length: 3\r\nExpect: 100-continue\r\n\r\nabcd", 5)
	f.Add("0 0 HTTP/\n:0\n \n\n", 2)
	f.Fuzz(func(t *testing.T, sent string, size int) {
		request, rest, r := collect(sent, len(sent)+1)
		if len(request) > 200+lengthWidth+100 {
			t.Errorf("a request of %d bytes", len(request))
		}
		request2, rest2, r2 := collect(sent, max(1, size))
		if request != request2 || r != r2 || r == inflow.None && rest != rest2 {
			t.Errorf("%q, %q, %q in one piece, %q, %q, %q in pieces of %d", request, rest, r, request2, rest2, r2, size)
		}
		if request == "" {
			return
		}
		const next = "GET / HTTP/1.1\r\n\r\n"
		reader := mock.NewZeroCopyReader(request + next)
		var parsed protocol.Request
		if err := req.ReadHeaderAndLimitBody(&parsed, reader, 100, false); err != nil {
			return // The library closes the connection.
		}
		if left, err := io.ReadAll(reader); string(left) != next {
			t.Errorf("the library leaves %q, %v behind %q", left, err, request)
		}
	})
}
