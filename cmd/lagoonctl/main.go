// Lagoonctl is the command line for operators: it manages services, jobs, workers
// and settings.
package main

import (
	"os"

	"lagoonrack/internal/ctlcmd"
)

func main() { os.Exit(ctlcmd.Main(os.Args)) }
