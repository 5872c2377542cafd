// Package ctl is the client for the operator API of an entry.
package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"net/url"
	"time"

	"github.com/cloudwego/hertz/pkg/app/client"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/cloudwego/hertz/pkg/protocol"

	"lagoonrack/internal/fault"
	"lagoonrack/internal/httpd"
)

// Client sends requests to one entry. Addr must be set.
type Client struct {
	// Addr is the IP address and port at which an entry serves operators.
	Addr string
}

// StatusError is an entry's response with an HTTP status of 300 or above.
type StatusError struct {
	Status  int
	Problem httpd.Error
	// Body is the whole response body.
	Body []byte
}

func (e *StatusError) Error() string { return e.Problem.Text }

// requestTimeout bounds one request to an entry.
const requestTimeout = 20 * time.Second

// Get reads the value at a path into out. The path's elements are given without the
// API version.
func (c Client) Get(ctx context.Context, out any, path ...string) error {
	return c.do(ctx, "GET", nil, out, path)
}

// Post sends in to a path, and reads the response into out.
func (c Client) Post(ctx context.Context, in, out any, path ...string) error {
	return c.do(ctx, "POST", in, out, path)
}

// Delete removes the value at a path, and reads the response into out.
func (c Client) Delete(ctx context.Context, out any, path ...string) error {
	return c.do(ctx, "DELETE", nil, out, path)
}

// do sends a request with in as its JSON body, if in is not nil, and reads the
// response into out.
func (c Client) do(ctx context.Context, method string, in, out any, path []string) error {
	location := fault.At("ask entry", c.Addr)
	h, err := client.NewClient(client.WithDialer(standard.NewDialer()), client.WithDialTimeout(2*time.Second))
	if err != nil {
		return location.Wrap(err)
	}
	defer h.CloseIdleConnections()
	req, resp := protocol.AcquireRequest(), protocol.AcquireResponse()
	defer protocol.ReleaseRequest(req)
	defer protocol.ReleaseResponse(resp)
	req.SetMethod(method)
	req.SetRequestURI("http://" + c.Addr + urlPath(path))
	if in != nil {
		data, err := json.Marshal(in)
		if err != nil {
			return err
		}
		req.SetBody(data)
	}
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	if err := h.Do(ctx, req, resp); err != nil {
		return location.Wrap(err)
	}
	return decodeResponse(resp, out)
}

// urlPath returns the escaped path of a request, with the API version in front.
func urlPath(path []string) string {
	s := "/v1"
	for _, p := range path {
		s += "/" + url.PathEscape(p)
	}
	return s
}

// decodeResponse decodes the response body into out, or returns a StatusError.
func decodeResponse(resp *protocol.Response, out any) error {
	body := resp.Body()
	if resp.StatusCode() >= 300 {
		e := &StatusError{Status: resp.StatusCode(), Body: append([]byte(nil), body...)}
		if json.Unmarshal(body, &e.Problem) != nil || e.Problem.Text == "" {
			e.Problem.Text = fmt.Sprintf("the entry answered with status %d", e.Status)
		}
		return e
	}
	return json.Unmarshal(body, out)
}
