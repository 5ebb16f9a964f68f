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

func TestCount(t *testing.T) {
	hold := func(id, key string, verdict model.Verdict) loader.Record {
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
	lookup := func(id string, verdict model.Verdict) loader.Record {
		record := hold(id, "", verdict)
		record.Idempotent = true
		return record
	}
	wrong := hold("a", "", model.Ran)
	wrong.Wrong = true
	tests := []struct {
		name    string
		records []loader.Record
		runs    []string
		want    tally.Totals
		broken  bool
	}{
		{
			name:    "one run each",
			records: []loader.Record{hold("a", "", model.Ran), lookup("b", model.Ran)},
			runs:    []string{"a", "b"},
			want:    tally.Totals{Sent: 2, Served: 2},
		},
		{
			name:    "a hold that ran three times counts once",
			records: []loader.Record{hold("a", "", model.Ran)},
			runs:    []string{"a", "a", "a"},
			want:    tally.Totals{Sent: 1, Served: 1, RanTwice: 1},
			broken:  true,
		},
		{
			name:    "a lookup may run twice",
			records: []loader.Record{lookup("a", model.Ran)},
			runs:    []string{"a", "a"},
			want:    tally.Totals{Sent: 1, Served: 1},
		},
		{
			name:    "two sends of one key ran",
			records: []loader.Record{hold("a", "k", model.MayHaveRun), hold("b", "k", model.Ran)},
			runs:    []string{"a", "b"},
			want:    tally.Totals{Sent: 2, Served: 1, MayHaveRun: 1, RanTwice: 1},
			broken:  true,
		},
		{
			name:    "the second send of a key gets the first one's answer",
			records: []loader.Record{hold("a", "k", model.MayHaveRun), hold("b", "k", model.Ran)},
			runs:    []string{"a"},
			want:    tally.Totals{Sent: 2, Served: 1, MayHaveRun: 1},
		},
		{
			name:    "not_run of a send that ran",
			records: []loader.Record{lookup("a", model.NotRun)},
			runs:    []string{"a"},
			want:    tally.Totals{Sent: 1, NotRun: 1, FalseNotRun: 1},
			broken:  true,
		},
		{
			name:    "not_run before another send ran",
			records: []loader.Record{hold("a", "k", model.NotRun), later(hold("b", "k", model.Ran))},
			runs:    []string{"b"},
			want:    tally.Totals{Sent: 2, Served: 1, NotRun: 1},
		},
		{
			name:    "not_run after another send ran",
			records: []loader.Record{hold("a", "k", model.MayHaveRun), later(hold("b", "k", model.NotRun))},
			runs:    []string{"a"},
			want:    tally.Totals{Sent: 2, NotRun: 1, MayHaveRun: 1, LaterNotRun: 1},
		},
		{
			name:    "a whole answer after a broken attempt of a lookup",
			records: []loader.Record{{ID: "a", Work: "a", Idempotent: true, Verdict: model.MayHaveRun, Status: 200}},
			runs:    []string{"a", "a"},
			want:    tally.Totals{Sent: 1, Served: 1},
		},
		{
			name:    "an answer of another request",
			records: []loader.Record{wrong},
			runs:    []string{"a"},
			want:    tally.Totals{Sent: 1, WrongAnswer: 1},
			broken:  true,
		},
		{
			name:    "an answer without a run",
			records: []loader.Record{hold("a", "", model.Ran)},
			want:    tally.Totals{Sent: 1, Served: 1, WrongAnswer: 1},
			broken:  true,
		},
		{
			name:   "a run that nobody sent",
			runs:   []string{"x"},
			want:   tally.Totals{Stray: 1},
			broken: true,
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
			qt.Assert(t, totals.Violated(), qt.Equals, test.broken)
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
