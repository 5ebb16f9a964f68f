package verbs

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/go-json-experiment/json"
	"github.com/pkg/errors"

	"comfreytack/core/field"
)

// maxLineBytes is the maximum length of a log line.
const maxLineBytes = 1 << 20

var traceVerb = verb{
	name:    "trace",
	summary: "Trace one request through the logs of several daemons",
	usage: `ID [FILE...]

ID is the id of a request. FILE is a log; without one, standard input is read.
Lines are ordered by the tries that the entry logged, not by their times.
Example: cat *.log | cftctl trace f4c2843404408a06`,
	new: func() action { return &traceAction{} },
}

type traceAction struct{}

// logLine has the fields of a log line that a trace uses.
type logLine struct {
	Message   string   `json:"msg"`
	Daemon    string   `json:"daemon"`
	Request   string   `json:"request_id"`
	Route     string   `json:"route"`
	Service   string   `json:"service"`
	Instance  string   `json:"instance"`
	Rank      int      `json:"rank"`
	Verdict   string   `json:"verdict"`
	Reason    string   `json:"reason"`
	Cause     string   `json:"cause"`
	Status    int      `json:"status"`
	TookMs    int64    `json:"took_ms"`
	WaitedMs  int64    `json:"waited_ms"`
	LeftMs    int64    `json:"left_ms"`
	InFlight  int      `json:"in_flight"`
	Queued    int      `json:"queued"`
	Slots     int      `json:"slots"`
	Pace      int      `json:"pace_percent"`
	PaceAgeMs int64    `json:"pace_age_ms"`
	Revision  uint64   `json:"revision"`
	Document  uint64   `json:"document"`
	Tries     []string `json:"tries"`
}

func (a *traceAction) run(arguments []string, out io.Writer) error {
	if len(arguments) == 0 {
		return usageError("give the id of a request")
	}
	lines, err := readLogs(arguments[0], arguments[1:])
	if err != nil {
		return err
	}
	if !printTrace(out, arguments[0], lines) {
		return errFaults
	}
	return nil
}

func readLogs(id string, files []string) ([]logLine, error) {
	if len(files) == 0 {
		return readLog(id, os.Stdin)
	}
	var all []logLine
	for _, name := range files {
		file, err := os.Open(name)
		if err != nil {
			return nil, errors.Wrap(err, "open log")
		}
		lines, err := readLog(id, file)
		_ = file.Close()
		if err != nil {
			return nil, errors.Wrap(err, name)
		}
		all = append(all, lines...)
	}
	return all, nil
}

// readLog returns the lines about one request. Text before a line's JSON, such as the prefix of a log collector, and
// lines of other programs are skipped.
func readLog(id string, log io.Reader) ([]logLine, error) {
	var lines []logLine
	scanner := bufio.NewScanner(log)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		text := scanner.Text()
		start := strings.IndexByte(text, '{')
		if start < 0 || !strings.Contains(text, id) {
			continue
		}
		var line logLine
		if err := json.Unmarshal([]byte(text[start:]), &line); err == nil && line.Request == id {
			lines = append(lines, line)
		}
	}
	return lines, errors.Wrap(scanner.Err(), "read log")
}

// printTrace prints the trace and reports whether it is complete: the entry's line and a gate's line for each try.
func printTrace(out io.Writer, id string, lines []logLine) bool {
	var gates []logLine
	complete, entries := true, 0
	for _, line := range lines {
		if line.Message == field.GateAdmitted || line.Message == field.GateRefused {
			gates = append(gates, line)
		}
	}
	for _, line := range lines {
		if line.Message == field.CallAnswered || line.Message == field.CallFailed {
			entries++
			printEntry(out, line)
			gates, complete = printTries(out, line.Tries, gates, complete)
		}
	}
	if entries == 0 {
		fmt.Fprintf(out, "missing: the entry's line for request %s; the entry may have crashed, or its log is not among the input\n", id)
	}
	for _, gate := range gates {
		fmt.Fprintf(out, "gate line without a matching try: %s\n", formatGate(gate))
	}
	return complete && entries > 0
}

func printEntry(out io.Writer, line logLine) {
	outcome := fmt.Sprintf("answered %d", line.Status)
	if line.Message == field.CallFailed {
		outcome = "failed: " + line.Reason
	}
	fmt.Fprintf(out, "%s at %s: %s (%s) after %d ms\n", line.Request, line.Daemon, outcome, line.Verdict, line.TookMs)
	fmt.Fprintf(out, "  route %s, service %s, rank %d, revision %d, document %d\n", line.Route, line.Service, line.Rank, line.Revision, line.Document)
	if line.Cause != "" {
		fmt.Fprintf(out, "  cause: %s\n", line.Cause)
	}
}

// printTries prints each try with its gate's line. It returns the gate lines that matched no try, and false if a try had
// no gate line or complete was false.
func printTries(out io.Writer, tries []string, gates []logLine, complete bool) ([]logLine, bool) {
	for i, try := range tries {
		upstream, rest, _ := strings.Cut(try, " ")
		reason, took, _ := strings.Cut(rest, " ")
		fmt.Fprintf(out, "  try %d: %s, %s, %s ms\n", i+1, upstream, reason, took)
		index := matchGate(gates, upstream, reason)
		if index < 0 {
			fmt.Fprintf(out, "    missing: the line of the gate at %s\n", upstream)
			complete = false
			continue
		}
		fmt.Fprintf(out, "    %s\n", formatGate(gates[index]))
		gates = append(gates[:index:index], gates[index+1:]...)
	}
	return gates, complete
}

// matchGate returns the index of the line that a gate wrote for a try, or -1. The line of a refused try has the same
// reason as the try; an admitted try may have ended for any reason.
func matchGate(gates []logLine, upstream, reason string) int {
	for i, gate := range gates {
		if gate.Daemon == upstream && gate.Message == field.GateRefused && gate.Reason == reason {
			return i
		}
	}
	for i, gate := range gates {
		if gate.Daemon == upstream && gate.Message == field.GateAdmitted {
			return i
		}
	}
	return -1
}

func formatGate(gate logLine) string {
	return fmt.Sprintf("%s at %s (%s): %s, waited %d ms, %d of %d slots, %d queued, pace %d percent %d ms ago, %d ms left, revision %d",
		gate.Message, gate.Daemon, gate.Instance, gate.Reason, gate.WaitedMs, gate.InFlight, gate.Slots, gate.Queued, gate.Pace, gate.PaceAgeMs, gate.LeftMs, gate.Revision)
}
