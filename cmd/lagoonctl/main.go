// Lagoonctl is the operators' command line.
package main

import (
	"os"

	"lagoonrack/internal/ctlcmd"
)

func main() { os.Exit(ctlcmd.Main(os.Args)) }
