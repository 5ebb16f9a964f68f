// Command cftctl checks contracts and settings, explains limits, shows the status of daemons and traces requests.
package main

import (
	"os"

	"comfreytack/cftctl/verbs"
)

func main() {
	os.Exit(verbs.Main(os.Args[1:], os.Stdout, os.Stderr))
}
