// Package tally compares the answers that callers got with the runs that upstreams logged. It holds queries only.
package tally

import (
	"cmp"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"comfreytack/cftlab/loader"
	"comfreytack/cftlab/stub"
	"comfreytack/core/model"
)

// Row summarizes the sends of one customer and class.
type Row struct {
	Customer model.Customer `json:"customer"`
	Class    model.Class    `json:"class"`
	// Sent is the sum of Served, Failed, Wrong, NotRun and MayHaveRun.
	Sent int `json:"sent"`
	// Served counts complete answers of successful runs; InTime those within the deadline.
	Served int `json:"served"`
	InTime int `json:"in_time"`
	// Failed counts runs that ended in an HTTP error.
	Failed int `json:"failed"`
	// Wrong counts answers that do not match their request or contradict their verdict.
	Wrong      int `json:"wrong"`
	NotRun     int `json:"not_run"`
	MayHaveRun int `json:"may_have_run"`
	// P50, P99 and P999 are latencies of served requests from the intended send time, in milliseconds.
	P50  float64 `json:"p50_ms"`
	P99  float64 `json:"p99_ms"`
	P999 float64 `json:"p999_ms"`
	// SendP50 and SendP99 are latencies of served requests from the actual send time, in milliseconds.
	SendP50 float64 `json:"send_p50_ms"`
	SendP99 float64 `json:"send_p99_ms"`
	// LateP99 is the delay of the actual send time, in milliseconds: the error of the measurement.
	LateP99 float64 `json:"late_p99_ms"`
	// Reasons counts the reasons of sends that were not served.
	Reasons map[string]int `json:"reasons"`
}

type rowKey struct {
	customer model.Customer
	class    model.Class
}

// Rows returns one row for each customer and class, ordered by customer and then class.
func Rows(records []loader.Record) []Row {
	grouped := map[rowKey][]loader.Record{}
	for _, record := range records {
		key := rowKey{customer: record.Customer, class: record.Class}
		grouped[key] = append(grouped[key], record)
	}
	rows := []Row{}
	for key, members := range grouped {
		row := Sum(members)
		row.Customer, row.Class = key.customer, key.class
		rows = append(rows, row)
	}
	slices.SortFunc(rows, func(a, b Row) int {
		return cmp.Or(cmp.Compare(a.Customer, b.Customer), cmp.Compare(a.Class, b.Class))
	})
	return rows
}

// Sum returns one row over all records, without a customer.
func Sum(records []loader.Record) Row {
	row := Row{Reasons: map[string]int{}}
	latency, fromSend, late := newHistogram(), newHistogram(), newHistogram()
	for _, record := range records {
		row.Sent++
		observe(late, record.Late)
		row.count(record)
		if record.Served() {
			observe(latency, record.Latency)
			observe(fromSend, record.Latency-record.Late)
		} else {
			row.Reasons[record.Reason]++
		}
	}
	row.P50, row.P99, row.P999 = quantile(latency, 50), quantile(latency, 99), quantile(latency, 99.9)
	row.SendP50, row.SendP99 = quantile(fromSend, 50), quantile(fromSend, 99)
	row.LateP99 = quantile(late, 99)
	return row
}

func (r *Row) count(record loader.Record) {
	switch {
	case record.Wrong:
		r.Wrong++
	case record.Served():
		r.Served++
		if record.Latency <= record.Deadline {
			r.InTime++
		}
	case record.Verdict == model.NotRun:
		r.NotRun++
	case record.Verdict == model.MayHaveRun:
		r.MayHaveRun++
	default:
		r.Failed++
	}
}

const (
	maxLatency         = 10 * time.Minute
	significantFigures = 3
)

// newHistogram returns a histogram of microseconds.
func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatency.Microseconds(), significantFigures)
}

func observe(histogram *hdrhistogram.Histogram, span time.Duration) {
	us := min(max(1, span.Microseconds()), maxLatency.Microseconds())
	_ = histogram.RecordValue(us) // the value is within the range of the histogram
}

func quantile(histogram *hdrhistogram.Histogram, percent float64) float64 {
	return float64(histogram.ValueAtQuantile(percent)) / 1000
}

// Totals has the counts over all sends of a load.
type Totals struct {
	Sent   int `json:"sent"`
	Served int `json:"served"`
	// NotRun and MayHaveRun count verdicts of sends that were not served.
	NotRun     int `json:"not_run"`
	MayHaveRun int `json:"may_have_run"`
	// WrongAnswer counts answers that do not match their request or contradict their verdict, and those of served sends
	// whose work never ran.
	WrongAnswer int `json:"wrong_answer"`
	// RanTwice counts non-idempotent work that ran more than once, over all its sends and keys.
	RanTwice int `json:"ran_twice"`
	// FalseNotRun counts sends that ran although their verdict was not_run.
	FalseNotRun int `json:"false_not_run"`
	// Stray counts runs with an id that no caller sent.
	Stray int `json:"stray"`
	// LaterNotRun counts sends with a daemon's verdict not_run whose work ran in an earlier send.
	LaterNotRun int `json:"later_not_run"`
}

// Violated reports whether a guarantee to callers was violated.
func (t Totals) Violated() bool {
	return t.WrongAnswer+t.RanTwice+t.FalseNotRun+t.Stray > 0
}

// Count compares the records of callers with the runs of upstreams.
func Count(records []loader.Record, runs []stub.Run) Totals {
	byID := map[string]loader.Record{}
	for _, record := range records {
		byID[record.ID] = record
	}
	runsByID := map[string]int{}
	runsByWork := map[string]int{}
	firstRun := map[string]time.Duration{}
	totals := Totals{}
	for _, run := range runs {
		record, known := byID[run.ID]
		if !known {
			totals.Stray++
			continue
		}
		runsByID[run.ID]++
		runsByWork[record.Work]++
		if at, ran := firstRun[record.Work]; !ran || record.Intended < at {
			firstRun[record.Work] = record.Intended
		}
		if !record.Idempotent && runsByWork[record.Work] == 2 {
			totals.RanTwice++
		}
	}
	for _, record := range records {
		totals.add(record, runsByID[record.ID], runsByWork[record.Work])
		if at, ran := firstRun[record.Work]; ran && daemonSaidNotRun(record) && at < record.Intended {
			totals.LaterNotRun++
		}
	}
	return totals
}

// daemonSaidNotRun reports whether a daemon gave the verdict not_run, rather than the caller that failed to connect.
func daemonSaidNotRun(record loader.Record) bool {
	return record.Verdict == model.NotRun && record.Reason != loader.NoConnection
}

// add counts one send, given the number of runs of its id and of its work.
func (t *Totals) add(record loader.Record, runsOfID, runsOfWork int) {
	t.Sent++
	switch {
	case record.Served():
		t.Served++
	case record.Verdict == model.NotRun:
		t.NotRun++
	case record.Verdict == model.MayHaveRun:
		t.MayHaveRun++
	}
	if record.Wrong || (record.Served() && runsOfWork == 0) {
		t.WrongAnswer++
	}
	if record.Verdict == model.NotRun && runsOfID > 0 {
		t.FalseNotRun++
	}
}
