// Lagoonstand is the stand-in platform for tests and trials.
package main

import (
	"os"

	"lagoonrack/internal/prog"
)

func main() { os.Exit(prog.Platform().Main(os.Args)) }
