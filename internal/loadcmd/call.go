package loadcmd

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/app/client"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/urfave/cli/v3"

	"lagoonrack/internal/fault"
)

// callCommand returns the command that sends one request.
func callCommand() *cli.Command {
	return &cli.Command{
		Name:      "call",
		Usage:     "send one request and print its answer",
		ArgsUsage: "URL",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "method", Value: "GET", Usage: "method of the request"},
			&cli.StringSliceFlag{Name: "header", Usage: "header `FIELD` as in 'Name: value'; may be repeated"},
			&cli.StringFlag{Name: "body", Usage: "text of the body"},
			&cli.IntFlag{Name: "size", Usage: "length in bytes of a body of zeros"},
		},
		Action: call,
	}
}

// callTimeout limits the wait for the answer.
const callTimeout = 30 * time.Second

// call sends the request and prints the status, headers and body of the answer.
func call(ctx context.Context, c *cli.Command) error {
	if c.Args().Len() != 1 {
		return errors.New("call: exactly one URL is needed")
	}
	h, err := client.NewClient(client.WithDialer(standard.NewDialer()))
	if err != nil {
		return err
	}
	defer h.CloseIdleConnections()
	req, resp := protocol.AcquireRequest(), protocol.AcquireResponse()
	defer protocol.ReleaseRequest(req)
	defer protocol.ReleaseResponse(resp)
	req.SetMethod(c.String("method"))
	req.SetRequestURI(c.Args().First())
	for _, f := range c.StringSlice("header") {
		name, value, ok := strings.Cut(f, ":")
		if !ok {
			return fmt.Errorf("call: --header: %q is not 'Name: value'", f)
		}
		req.Header.Set(name, strings.TrimSpace(value))
	}
	req.SetBody([]byte(c.String("body") + strings.Repeat("0", c.Int("size"))))
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := h.Do(ctx, req, resp); err != nil {
		return fault.At("call", c.Args().First()).Wrap(err)
	}
	out := c.Root().Writer
	fmt.Fprintf(out, "status %d\n", resp.StatusCode())
	resp.Header.VisitAll(func(k, v []byte) { fmt.Fprintf(out, "%s: %s\n", k, v) })
	fmt.Fprintf(out, "\n%s", resp.Body())
	return nil
}
