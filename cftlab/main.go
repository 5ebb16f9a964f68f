// Command cftlab tests comfreytack: it has fake upstreams and a fake platform, sends load, injects faults and measures.
// README.md describes its verbs.
package main

import (
	"os"

	"comfreytack/cftlab/verbs"
)

func main() {
	os.Exit(verbs.Main(os.Args[1:], os.Stdout, os.Stderr))
}
