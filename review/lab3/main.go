// Command lab3 plays cases of the third review: a small deployment on loopback addresses with the project's daemons as
// separate processes, and stand-ins for the platform, the servers and the clients.
package main

import (
	"flag"
	"fmt"
	"os"
)

var scenarios = map[string]func(*lab, bool) int{}

func main() {
	program := flag.String("program", "target/cftd", "the daemon")
	recordPath := flag.String("record", "record.txt", "where the record goes")
	trouble := flag.Bool("trouble", os.Getenv("TROUBLE") != "0", "bring about the disruption")
	flag.Parse()
	play, known := scenarios[flag.Arg(0)]
	if !known {
		fmt.Fprintln(os.Stderr, "unknown scenario", flag.Arg(0))
		os.Exit(2)
	}
	l, err := newLab(*program)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	code := play(l, *trouble)
	l.close()
	if err := l.record.write(*recordPath, l.began); err != nil {
		fmt.Fprintln(os.Stderr, err)
		code = 2
	}
	os.Exit(code)
}
