// Lagoond is the entry process: it serves callers and operators, routes requests,
// owns cells and schedules their tasks.
package main

import (
	"os"

	"lagoonrack/internal/prog"
)

func main() { os.Exit(prog.Entry().Main(os.Args)) }
