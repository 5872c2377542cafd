package loadcmd

import (
	"context"
	"errors"

	"github.com/urfave/cli/v3"

	"lagoonrack/internal/ctl"
	"lagoonrack/internal/stand"
)

// faultCommand returns the command that sets the faults of a stand-in platform.
func faultCommand() *cli.Command {
	return &cli.Command{
		Name:      "fault",
		Usage:     "switch the faults of a part of a stand-in platform; without flags, all off",
		ArgsUsage: "table|store|worker|minion NAME",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "operator", Usage: "operator `ADDRESS` of the stand-in"},
			&cli.StringFlag{Name: "slow", Usage: "delay each operation by `SPAN`"},
			&cli.StringFlag{Name: "lag", Usage: "delay a worker's reports of use by `SPAN`"},
			&cli.BoolFlag{Name: "down", Usage: "give no answer and do nothing"},
			&cli.BoolFlag{Name: "lose", Usage: "lose the answer of each write after it took effect"},
			&cli.BoolFlag{Name: "fail", Usage: "fail every task that is started"},
			&cli.BoolFlag{Name: "refuse", Usage: "refuse every request"},
			&cli.FloatFlag{Name: "factor", Usage: "how many times slower"},
		},
		Action: switchFault,
	}
}

// switchFault sets all faults of one part of the platform as the flags say.
func switchFault(ctx context.Context, c *cli.Command) error {
	if c.Args().Len() != 2 || c.String("operator") == "" {
		return errors.New("fault: --operator, a part and a name are needed")
	}
	w := stand.FaultRequest{
		Slow:   c.String("slow"),
		Lag:    c.String("lag"),
		Down:   c.Bool("down"),
		Lose:   c.Bool("lose"),
		Fail:   c.Bool("fail"),
		Refuse: c.Bool("refuse"),
		Factor: c.Float("factor"),
	}
	var out stand.FaultRequest
	return ctl.Client{Addr: c.String("operator")}.Post(ctx, w, &out, "fault", c.Args().Get(0), c.Args().Get(1))
}
