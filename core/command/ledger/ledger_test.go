package ledger_test

import (
	"bytes"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/samber/mo"

	"comfreytack/core/command/ledger"
	"comfreytack/core/model"
)

var update = flag.Bool("update", false, "rewrite the golden files")

const incarnation = 0xa1

var settings = ledger.Settings{Keys: 4, AnswerBytes: 10, AnswerLifetime: time.Minute}

// step is one event at the home: keys are issued, a send begins, or a run finishes.
type step struct {
	issue       int
	customer    model.Customer
	at          time.Duration
	sequence    uint64
	incarnation model.Incarnation
	send        int
	print       model.Fingerprint
	finish      *ledger.Outcome[string]
}

func answer(text string) *ledger.Outcome[string] {
	return &ledger.Outcome[string]{Verdict: model.Ran, Answer: &text}
}

var (
	refused = &ledger.Outcome[string]{Verdict: model.NotRun, Reason: model.QueueFull}
	broken  = &ledger.Outcome[string]{Verdict: model.MayHaveRun, Reason: model.UpstreamDied}
)

// TestSessions replays whole sessions and compares the decision at each step with testdata/NAME.golden.
func TestSessions(t *testing.T) {
	tests := []struct {
		name  string
		steps []step
	}{
		{name: "replay", steps: []step{
			{issue: 1}, {sequence: 1, send: 1}, {sequence: 1, send: 2}, {sequence: 1, finish: answer("cot 4")},
			{sequence: 1, send: 3}, {sequence: 1, send: 3, print: 8}, {sequence: 1, send: 4, at: time.Minute},
		}},
		{name: "doubt", steps: []step{
			{issue: 1}, {sequence: 1, send: 1}, {sequence: 1, finish: broken}, {sequence: 1, send: 2},
			{sequence: 1, finish: answer("late")}, {sequence: 1, send: 3},
		}},
		{name: "refused_then_run", steps: []step{
			{issue: 1}, {sequence: 1, send: 1}, {sequence: 1, send: 2}, {sequence: 1, finish: refused},
			{sequence: 1, send: 1}, {sequence: 1, send: 2}, {sequence: 1, send: 3, print: 8}, {sequence: 1, send: 3},
			{sequence: 1, finish: answer("cot 4")}, {sequence: 1, send: 1},
		}},
		{name: "unnumbered", steps: []step{
			{issue: 1}, {sequence: 1}, {sequence: 1, finish: refused}, {sequence: 1}, {sequence: 1, send: 1},
		}},
		{name: "unknown_keys", steps: []step{
			{issue: 1}, {issue: 1, customer: "b"}, {sequence: 3, send: 1}, {sequence: 2, send: 1}, {sequence: 1, send: 1, incarnation: 7},
			{sequence: 1, send: 1, customer: "c"}, {sequence: 0, send: 1},
		}},
		{name: "bounds", steps: []step{
			{issue: 1}, {sequence: 1, send: 1}, {issue: 1, customer: "b"}, {issue: 9}, {sequence: 1, send: 2},
			{sequence: 1, finish: answer("late")}, {sequence: 2, send: 1, customer: "b"},
			{sequence: 3, send: 1}, {sequence: 3, finish: answer("123456")}, {sequence: 3, send: 2},
			{sequence: 4, send: 1}, {sequence: 4, finish: answer("123456")}, {sequence: 3, send: 3}, {sequence: 4, send: 2},
			{sequence: 5, send: 1}, {sequence: 5, finish: answer("more than ten bytes")}, {sequence: 5, send: 2}, {sequence: 4, send: 3},
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			l := ledger.New("reservas-2", incarnation, settings, func(text *string) int { return len(*text) })
			var log bytes.Buffer
			for _, s := range test.steps {
				log.WriteString(s.apply(l))
			}
			checkGolden(t, test.name, log.Bytes())
		})
	}
}

func (s step) apply(l *ledger.Ledger[string]) string {
	if s.customer == "" {
		s.customer = "a"
	}
	if s.issue > 0 {
		return fmt.Sprintf("%s issues %d: %d remembered\n", s.customer, len(l.Issue(s.customer, s.issue)), l.Remembered(s.customer))
	}
	call, now := s.call(), time.Unix(1000, 0).Add(s.at)
	if s.finish != nil {
		l.Finish(now, call, *s.finish)
		return fmt.Sprintf("%s key %d finishes %s\n", s.customer, s.sequence, text(*s.finish))
	}
	decision := l.Begin(now, call)
	return fmt.Sprintf("%s key %d send %d: %s %s\n", s.customer, s.sequence, s.send, decision.Action, text(decision.Outcome))
}

func (s step) call() model.Call {
	if s.incarnation == 0 {
		s.incarnation = incarnation
	}
	if s.print == 0 {
		s.print = 7
	}
	key := model.Key{Home: "reservas-2", Incarnation: s.incarnation, Sequence: s.sequence}
	return model.Call{Customer: s.customer, Key: mo.Some(key), Send: s.send, Fingerprint: s.print}
}

func text(o ledger.Outcome[string]) string {
	if o.Answer != nil {
		return fmt.Sprintf("%s %q", o.Verdict, *o.Answer)
	}
	return o.Verdict.String() + " " + o.Reason.String()
}

func checkGolden(t *testing.T, name string, got []byte) {
	t.Helper()
	path := filepath.Join("testdata", name+".golden")
	if *update {
		qt.Assert(t, os.WriteFile(path, got, 0o644), qt.IsNil)
	}
	want, err := os.ReadFile(path)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, string(got), qt.Equals, string(want))
}
