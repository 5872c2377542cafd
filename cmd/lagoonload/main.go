// Lagoonload generates load and runs experiments.
package main

import (
	"os"

	"lagoonrack/internal/loadcmd"
)

func main() { os.Exit(loadcmd.Main(os.Args)) }
