package tally_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"comfreytack/cftlab/loader"
	"comfreytack/cftlab/stub"
	"comfreytack/cftlab/tally"
	"comfreytack/core/model"
)

// TestCount compares records of callers with the ids that upstreams logged as run.
func TestCount(t *testing.T) {
	send := func(id, key string, verdict model.Verdict) loader.Record {
		status := 503
		if verdict == model.Ran {
			status = 200
		}
		work := id
		if key != "" {
			work = key
		}
		return loader.Record{ID: id, Key: key, Work: work, Verdict: verdict, Status: status}
	}
	later := func(record loader.Record) loader.Record {
		record.Intended = time.Second
		return record
	}
	idempotentSend := func(id string, verdict model.Verdict) loader.Record {
		record := send(id, "", verdict)
		record.Idempotent = true
		return record
	}
	wrong := send("a", "", model.Ran)
	wrong.Wrong = true
	tests := []struct {
		name     string
		records  []loader.Record
		runs     []string
		want     tally.Totals
		violated bool
	}{
		{
			name:    "one run each",
			records: []loader.Record{send("a", "", model.Ran), idempotentSend("b", model.Ran)},
			runs:    []string{"a", "b"},
			want:    tally.Totals{Sent: 2, Served: 2},
		},
		{
			name:     "non-idempotent work that ran three times counts once",
			records:  []loader.Record{send("a", "", model.Ran)},
			runs:     []string{"a", "a", "a"},
			want:     tally.Totals{Sent: 1, Served: 1, RanTwice: 1},
			violated: true,
		},
		{
			name:    "idempotent work may run twice",
			records: []loader.Record{idempotentSend("a", model.Ran)},
			runs:    []string{"a", "a"},
			want:    tally.Totals{Sent: 1, Served: 1},
		},
		{
			name:     "two sends with the same key ran",
			records:  []loader.Record{send("a", "k", model.MayHaveRun), send("b", "k", model.Ran)},
			runs:     []string{"a", "b"},
			want:     tally.Totals{Sent: 2, Served: 1, MayHaveRun: 1, RanTwice: 1},
			violated: true,
		},
		{
			name:    "the second send of a key gets the answer of the first",
			records: []loader.Record{send("a", "k", model.MayHaveRun), send("b", "k", model.Ran)},
			runs:    []string{"a"},
			want:    tally.Totals{Sent: 2, Served: 1, MayHaveRun: 1},
		},
		{
			name:     "a send that ran got not_run",
			records:  []loader.Record{idempotentSend("a", model.NotRun)},
			runs:     []string{"a"},
			want:     tally.Totals{Sent: 1, NotRun: 1, FalseNotRun: 1},
			violated: true,
		},
		{
			name:    "not_run before another send ran",
			records: []loader.Record{send("a", "k", model.NotRun), later(send("b", "k", model.Ran))},
			runs:    []string{"b"},
			want:    tally.Totals{Sent: 2, Served: 1, NotRun: 1},
		},
		{
			name:    "not_run after another send ran",
			records: []loader.Record{send("a", "k", model.MayHaveRun), later(send("b", "k", model.NotRun))},
			runs:    []string{"a"},
			want:    tally.Totals{Sent: 2, NotRun: 1, MayHaveRun: 1, LaterNotRun: 1},
		},
		{
			name:    "a complete answer after a failed attempt of idempotent work",
			records: []loader.Record{{ID: "a", Work: "a", Idempotent: true, Verdict: model.MayHaveRun, Status: 200}},
			runs:    []string{"a", "a"},
			want:    tally.Totals{Sent: 1, Served: 1},
		},
		{
			name:     "an answer of another request",
			records:  []loader.Record{wrong},
			runs:     []string{"a"},
			want:     tally.Totals{Sent: 1, WrongAnswer: 1},
			violated: true,
		},
		{
			name:     "an answer without a run",
			records:  []loader.Record{send("a", "", model.Ran)},
			want:     tally.Totals{Sent: 1, Served: 1, WrongAnswer: 1},
			violated: true,
		},
		{
			name:     "a run with an id that no caller sent",
			runs:     []string{"x"},
			want:     tally.Totals{Stray: 1},
			violated: true,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			runs := []stub.Run{}
			for _, id := range test.runs {
				runs = append(runs, stub.Run{ID: id})
			}
			totals := tally.Count(test.records, runs)
			qt.Assert(t, totals, qt.Equals, test.want)
			qt.Assert(t, totals.Violated(), qt.Equals, test.violated)
		})
	}
}

func TestSum(t *testing.T) {
	served := loader.Record{
		Verdict: model.Ran, Status: 200, Latency: 20 * time.Millisecond, Deadline: 10 * time.Millisecond,
	}
	failed := loader.Record{Verdict: model.Ran, Status: 500, Reason: "none"}
	refused := loader.Record{Verdict: model.NotRun, Status: 429, Reason: "queue_full"}
	row := tally.Sum([]loader.Record{served, failed, refused})
	qt.Assert(t, []int{row.Sent, row.Served, row.InTime, row.Failed, row.NotRun}, qt.DeepEquals, []int{3, 1, 0, 1, 1})
	qt.Assert(t, row.Reasons, qt.DeepEquals, map[string]int{"none": 1, "queue_full": 1})
	qt.Assert(t, int(row.P50), qt.Equals, 20)
}
