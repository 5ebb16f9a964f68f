// Command lab2 plays the cases of this review against the real daemon, with stand-ins for clients, servers and the store.
//
//	lab2 CASE DAEMON RECORD
//
// It exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run. TROUBLE=0 leaves the disruption out.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"sort"
	"syscall"
)

const (
	exitHeld      = 0
	exitBroken    = 1
	exitCannotRun = 2
)

// play runs a case. It reports whether the rule was broken.
type play func(s *site, trouble bool) (broken bool, err error)

var plays = map[string]play{}

func main() {
	if len(os.Args) != 4 || plays[os.Args[1]] == nil {
		var names []string
		for name := range plays {
			names = append(names, name)
		}
		sort.Strings(names)
		fmt.Fprintln(os.Stderr, "usage: lab2 CASE DAEMON RECORD; cases:", names)
		os.Exit(exitCannotRun)
	}
	os.Exit(run(plays[os.Args[1]], os.Args[2], os.Args[3]))
}

// closeOnSignal ends the daemons if the case is interrupted.
func closeOnSignal(s *site) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	<-signals
	s.close()
	os.Exit(exitCannotRun)
}

func run(play play, daemon, recordFile string) int {
	rec, err := newRecord(recordFile)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	s, err := newSite(rec, daemon)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	defer s.close()
	go closeOnSignal(s)
	trouble := os.Getenv("TROUBLE") != "0"
	rec.log("trouble: %v", trouble)
	broken, err := play(s, trouble)
	if err != nil {
		rec.log("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	if broken {
		rec.log("result: the rule is broken")
		fmt.Println("broken")
		return exitBroken
	}
	rec.log("result: the rule held")
	fmt.Println("held")
	return exitHeld
}
