// Package ctl is the operators' side of an entry's operator address.
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

// Client talks to one entry. Addr must be set.
type Client struct {
	// Addr is an entry's operator address of IP number and port.
	Addr string
}

// StatusError is an entry's refusal.
type StatusError struct {
	Status  int
	Problem httpd.Error
	// Body is the whole answer.
	Body []byte
}

func (e *StatusError) Error() string { return e.Problem.Text }

// timeout bounds one request to an entry.
const timeout = 20 * time.Second

// Get reads a value.
func (c Client) Get(ctx context.Context, out any, path ...string) error {
	return c.do(ctx, "GET", nil, out, path)
}

// Post sends a value.
func (c Client) Post(ctx context.Context, in, out any, path ...string) error {
	return c.do(ctx, "POST", in, out, path)
}

// Delete removes a value.
func (c Client) Delete(ctx context.Context, out any, path ...string) error {
	return c.do(ctx, "DELETE", nil, out, path)
}

func (c Client) do(ctx context.Context, method string, in, out any, path []string) error {
	place := fault.At("ask entry", c.Addr)
	h, err := client.NewClient(client.WithDialer(standard.NewDialer()), client.WithDialTimeout(2*time.Second))
	if err != nil {
		return place.Wrap(err)
	}
	defer h.CloseIdleConnections()
	req, resp := protocol.AcquireRequest(), protocol.AcquireResponse()
	defer protocol.ReleaseRequest(req)
	defer protocol.ReleaseResponse(resp)
	req.SetMethod(method)
	req.SetRequestURI("http://" + c.Addr + join(path))
	if in != nil {
		data, err := json.Marshal(in)
		if err != nil {
			return err
		}
		req.SetBody(data)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if err := h.Do(ctx, req, resp); err != nil {
		return place.Wrap(err)
	}
	return read(resp, out)
}

func join(path []string) string {
	s := "/v1"
	for _, p := range path {
		s += "/" + url.PathEscape(p)
	}
	return s
}

func read(resp *protocol.Response, out any) error {
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
