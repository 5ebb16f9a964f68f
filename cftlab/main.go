// Command cftlab has stand-ins, load and measurements for comfreytack. README.md describes its verbs.
package main

import (
	"os"

	"comfreytack/cftlab/verbs"
)

func main() {
	os.Exit(verbs.Main(os.Args[1:], os.Stdout, os.Stderr))
}
