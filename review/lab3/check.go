package main

import (
	"fmt"
	"time"
)

// broken is a rule that was broken, and how.
type broken struct {
	rule, what string
}

// check compares what was sent, answered and run.
func check(events []event) []broken {
	var found []broken
	report := func(rule, format string, args ...any) {
		found = append(found, broken{rule, fmt.Sprintf(format, args...)})
	}
	sent := map[string]event{}
	runs := map[string][]event{}
	for _, e := range events {
		switch e.What {
		case "sent":
			sent[e.ID] = e
		case "run":
			runs[e.ID] = append(runs[e.ID], e)
		}
	}
	for id, all := range runs {
		want, known := sent[id]
		if !known {
			report("UNASKED", "%s runs the unknown request %q", all[0].Server, id)
			continue
		}
		for _, run := range all {
			same := run.Method == want.Method && run.Target == want.Target && run.Host == want.Host && run.Caller == want.Caller
			if !same || !run.Early && run.Body != want.Body {
				report("UNASKED", "%s runs %s as %s %s %s of %s, %d bytes; sent was %s %s, %d bytes by %s", run.Server, id, run.Method, run.Host, run.Target, run.Caller, run.Size, want.Method, want.Target, want.Size, want.Caller)
			}
		}
		if want.Kind == "unsafe" && len(all) > 1 {
			report("TWICE", "%s ran %d times", id, len(all))
		}
	}
	for _, e := range events {
		want := sent[e.ID]
		switch {
		case e.What == "rest" && e.Body != want.Body:
			report("UNASKED", "%s got other bytes as the body of %s: %d bytes, sent were %d", e.Server, e.ID, e.Size, want.Size)
		case e.What != "answered":
		case e.Note != "" && e.Note != e.ID:
			report("MIXED", "%s got the answer to %s", e.ID, e.Note)
		case e.Whole && e.Status == 200 && e.Kind != "":
			report("MIXED", "%s got a success with %s (%d bytes, stamp %q)", e.ID, e.Kind, e.Size, e.Stamp)
		case e.Whole && e.Status == 200 && len(runs[e.ID]) == 0:
			report("MIXED", "%s got a success that no server gave", e.ID)
		case e.Whole && (e.Status == 503 || e.Status == 429 || e.Status == 408 || e.Status == 421) && want.Kind == "unsafe" && len(runs[e.ID]) > 0:
			report("REFUSED", "%s was answered %d and has run", e.ID, e.Status)
		}
	}
	return found
}

// late returns the requests that reached a server more than half a second after their client had left.
func late(events []event) []string {
	left := map[string]time.Time{}
	for _, e := range events {
		if e.What == "left" {
			left[e.ID] = e.At
		}
	}
	var all []string
	seen := map[string]bool{}
	for _, e := range events {
		at, gone := left[e.ID]
		if e.What == "arrive" && gone && e.At.Sub(at) > 500*time.Millisecond && !seen[e.ID] {
			seen[e.ID] = true
			all = append(all, fmt.Sprintf("%s reached %s %.2f s after its client had left", e.ID, e.Server, e.At.Sub(at).Seconds()))
		}
	}
	return all
}
