// Command cftctl checks contracts and settings, explains limits and shows daemons.
package main

import (
	"os"

	"comfreytack/cftctl/verbs"
)

func main() {
	os.Exit(verbs.Main(os.Args[1:], os.Stdout, os.Stderr))
}
