package loadcmd

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/urfave/cli/v3"

	"lagoonrack/internal/plat"
	"lagoonrack/internal/rpcs"
	"lagoonrack/internal/vect"
	"lagoonrack/internal/wire"
)

// agentsCommand returns the command that simulates idle agents.
func agentsCommand() *cli.Command {
	return &cli.Command{
		Name:  "agents",
		Usage: "report like many idle agents, to measure what a report costs an entry",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "peer", Usage: "peer `ADDRESS` of an entry that owns the cell"},
			&cli.StringFlag{Name: "cell", Usage: "cell of the workers; left out, minions are announced instead"},
			&cli.StringFlag{Name: "service", Value: "torhaus", Usage: "service of the minions"},
			&cli.IntFlag{Name: "count", Value: 100, Usage: "number of agents"},
			&cli.DurationFlag{Name: "for", Value: 10 * time.Second, Usage: "length of the run"},
		},
		Action: agents,
	}
}

// fakeAgent sends a report to an entry once a second, on a connection of its own.
// With a cell it reports as a worker of the cell, otherwise it announces a minion.
type fakeAgent struct {
	client  rpcs.Client
	number  int
	cell    string
	service string
}

// agents runs the simulated agents for the given time.
func agents(ctx context.Context, c *cli.Command) error {
	if c.String("peer") == "" {
		return errors.New("agents: --peer is needed")
	}
	ctx, cancel := context.WithTimeout(ctx, c.Duration("for"))
	defer cancel()
	var all sync.WaitGroup
	for i := range c.Int("count") {
		a := &fakeAgent{client: rpcs.Client{Addr: c.String("peer")}, number: i, cell: c.String("cell"), service: c.String("service")}
		all.Go(func() { a.run(ctx) })
	}
	all.Wait()
	return nil
}

// run sends reports until ctx ends and prints errors.
func (a *fakeAgent) run(ctx context.Context) {
	defer a.client.Close()
	t := time.NewTicker(time.Second)
	defer t.Stop()
	for seq := uint64(1); ; seq++ {
		if err := a.report(ctx, seq); err != nil && ctx.Err() == nil {
			fmt.Printf("agent %d: %v\n", a.number, err)
		}
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// report sends one heartbeat or one offer.
func (a *fakeAgent) report(ctx context.Context, seq uint64) error {
	if a.cell == "" {
		o := wire.Offer{
			Service: a.service, Agent: fmt.Sprintf("127.0.0.1:%d", 1+a.number), Incarnation: "1",
			Name: fmt.Sprintf("fake-%d", a.number), Zone: "z", Size: 8, Slots: wire.Slots{Seq: seq},
		}
		return a.client.Call(ctx, "Entry.Offer", o, new(wire.Welcome))
	}
	b := wire.Heartbeat{
		Cell: a.cell, Worker: fmt.Sprintf("fake-%d", a.number), Agent: fmt.Sprintf("fake-%d", a.number), Zone: "z", Rack: "r",
		Report: plat.Report{Incarnation: "1", Clock: time.Duration(seq) * time.Second, Term: 1, Size: vect.Size{Cores: 1}},
	}
	return a.client.Call(ctx, "Entry.Beat", b, new(wire.Orders))
}
