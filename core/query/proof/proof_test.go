package proof_test

import (
	"os"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"comfreytack/core/model"
	"comfreytack/core/query/proof"
)

const designPage = "../../../docs/design/safety.md"

func TestOf(t *testing.T) {
	tests := []struct {
		name string
		seen proof.Observation
		want model.Verdict
	}{
		{name: "refused_here", seen: proof.RefusedHere, want: model.NotRun},
		{name: "nothing_sent", seen: proof.NothingSent, want: model.NotRun},
		{name: "cancelled_queued", seen: proof.CancelledQueued, want: model.NotRun},
		{name: "expired_queued", seen: proof.ExpiredQueued, want: model.NotRun},
		{name: "paused_before_start", seen: proof.PausedBeforeStart, want: model.NotRun},
		{name: "sent_then_silent", seen: proof.SentThenSilent, want: model.MayHaveRun},
		{name: "cancelled_running", seen: proof.CancelledRunning, want: model.MayHaveRun},
		{name: "expired_running", seen: proof.ExpiredRunning, want: model.MayHaveRun},
		{name: "answer_truncated", seen: proof.AnswerTruncated, want: model.MayHaveRun},
		{name: "answer_malformed", seen: proof.AnswerMalformed, want: model.MayHaveRun},
		{name: "answer_whole", seen: proof.AnswerWhole, want: model.Ran},
		{name: "upstream_shed", seen: proof.UpstreamShed, want: model.NotRun},
		{name: "gate_said_not_run", seen: proof.GateSaidNotRun, want: model.NotRun},
		{name: "gate_said_may_have_run", seen: proof.GateSaidMayHaveRun, want: model.MayHaveRun},
		{name: "gate_said_ran", seen: proof.GateSaidRan, want: model.Ran},
		{name: "gate_said_nothing", seen: proof.GateSaidNothing, want: model.MayHaveRun},
	}
	page, err := os.ReadFile(designPage)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, tests, qt.HasLen, int(proof.GateSaidNothing)+1)
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			qt.Assert(t, test.seen.String(), qt.Equals, test.name)
			qt.Assert(t, proof.Of(test.seen), qt.Equals, test.want)
			row := "| `" + test.name + "` | `" + test.want.String() + "` |"
			qt.Assert(t, strings.Contains(string(page), row), qt.IsTrue, qt.Commentf("the design page lacks %s", row))
		})
	}
	qt.Assert(t, proof.Of(-1), qt.Equals, model.MayHaveRun)
}

// executions is the set of counts that a verdict allows; 2 stands for "two or more".
var executions = map[model.Verdict][]int{
	model.NotRun:     {0},
	model.MayHaveRun: {0, 1, 2},
	model.Ran:        {1},
}

func TestLaws(t *testing.T) {
	verdicts := []model.Verdict{model.NotRun, model.MayHaveRun, model.Ran}
	operations := []struct {
		name    string
		combine func(a, b model.Verdict) model.Verdict
	}{
		{name: "combine attempts", combine: proof.CombineAttempts},
		{name: "either", combine: proof.Either},
	}
	for _, op := range operations {
		t.Run(op.name, func(t *testing.T) {
			for _, a := range verdicts {
				for _, b := range verdicts {
					qt.Assert(t, verdicts, qt.Contains, op.combine(a, b))
					qt.Assert(t, op.combine(a, b), qt.Equals, op.combine(b, a))
					for _, c := range verdicts {
						qt.Assert(t, op.combine(op.combine(a, b), c), qt.Equals, op.combine(a, op.combine(b, c)))
						// Less knowledge of one part never gives more knowledge of the whole.
						if proof.Weaker(a, b) {
							qt.Assert(t, proof.Weaker(op.combine(a, c), op.combine(b, c)), qt.IsTrue)
						}
					}
				}
			}
		})
	}
	for _, a := range verdicts {
		qt.Assert(t, proof.CombineAttempts(model.NotRun, a), qt.Equals, a)
		qt.Assert(t, proof.CombineAttempts(model.MayHaveRun, a), qt.Equals, model.MayHaveRun)
		qt.Assert(t, proof.Either(a, a), qt.Equals, a)
		for _, b := range verdicts {
			for _, x := range executions[a] {
				for _, y := range executions[b] {
					qt.Assert(t, executions[proof.CombineAttempts(a, b)], qt.Contains, min(2, x+y))
				}
				qt.Assert(t, executions[proof.Either(a, b)], qt.Contains, x)
			}
		}
	}
}

func TestKeyed(t *testing.T) {
	tests := []struct {
		name     string
		verdict  model.Verdict
		reporter proof.Reporter
		send     int
		want     model.Verdict
	}{
		{name: "home knows all sends", verdict: model.NotRun, reporter: proof.Home, send: 3, want: model.NotRun},
		{name: "nobody sent before the first", verdict: model.NotRun, reporter: proof.Bystander, send: 1, want: model.NotRun},
		{name: "an earlier send may have run", verdict: model.NotRun, reporter: proof.Bystander, send: 2, want: model.MayHaveRun},
		{name: "an unnumbered send may be a later one", verdict: model.NotRun, reporter: proof.Bystander, want: model.MayHaveRun},
		{name: "doubt stays", verdict: model.MayHaveRun, reporter: proof.Home, send: 1, want: model.MayHaveRun},
		{name: "an answer stays", verdict: model.Ran, reporter: proof.Bystander, send: 2, want: model.Ran},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			qt.Assert(t, proof.Keyed(test.verdict, test.reporter, test.send), qt.Equals, test.want)
		})
	}
}
