// Command cftd is the daemon that runs beside an upstream. It is the entry for callers and the gate of that upstream.
package main

import (
	"os"

	"comfreytack/cftd/start"
)

func main() {
	os.Exit(start.Main(start.Native, os.Args[1:], os.Stdout, os.Stderr))
}
