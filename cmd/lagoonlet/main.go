// Lagoonlet is the agent process that runs beside a minion, a worker or both.
package main

import (
	"os"

	"lagoonrack/internal/prog"
)

func main() { os.Exit(prog.Agent().Main(os.Args)) }
