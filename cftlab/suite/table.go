package suite

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"

	"github.com/pkg/errors"

	"comfreytack/cftlab/tally"
	"comfreytack/core/model"
)

// Spread is the median and the range of a value over several repeats.
type Spread struct {
	Median float64 `json:"median"`
	Min    float64 `json:"least"`
	Max    float64 `json:"most"`
}

// NewSpread summarizes values; it returns zeros if there are none.
func NewSpread(values []float64) Spread {
	if len(values) == 0 {
		return Spread{}
	}
	sorted := slices.Sorted(slices.Values(values))
	return Spread{Median: sorted[len(sorted)/2], Min: sorted[0], Max: sorted[len(sorted)-1]}
}

// SpreadOver summarizes the results of value for all rows.
func SpreadOver(rows []tally.Row, value func(tally.Row) float64) Spread {
	values := []float64{}
	for _, row := range rows {
		values = append(values, value(row))
	}
	return NewSpread(values)
}

// String returns for example "12.30 [11.90..14.02]".
func (s Spread) String() string {
	return fmt.Sprintf("%.2f [%.2f..%.2f]", s.Median, s.Min, s.Max)
}

// Line is a line of the table: one customer and class of one variant over all repeats.
type Line struct {
	Variant  string         `json:"variant"`
	Customer model.Customer `json:"customer"`
	Class    model.Class    `json:"class"`
	// Sent, InTime and NotRun are requests per second; InTime counts those served within their deadline.
	Sent   Spread `json:"sent_per_second"`
	InTime Spread `json:"in_time_per_second"`
	NotRun Spread `json:"not_run_per_second"`
	// Share is InTime in percent of Sent.
	Share Spread `json:"in_time_percent"`
	// P50, P99 and LateP99 are in milliseconds, as in tally.Row.
	P50     Spread `json:"p50_ms"`
	P99     Spread `json:"p99_ms"`
	LateP99 Spread `json:"late_p99_ms"`
}

type lineKey struct {
	variant  string
	customer model.Customer
	class    model.Class
}

// Lines summarizes results by variant, customer and class, in the order in which these first occur.
func Lines(experiment Experiment, results []Result) []Line {
	order := []lineKey{}
	grouped := map[lineKey][]tally.Row{}
	for _, result := range results {
		for _, row := range result.Rows {
			key := lineKey{variant: result.Variant, customer: row.Customer, class: row.Class}
			if _, known := grouped[key]; !known {
				order = append(order, key)
			}
			grouped[key] = append(grouped[key], row)
		}
	}
	lines := []Line{}
	for _, key := range order {
		lines = append(lines, newLine(key, grouped[key], experiment.Window().Seconds()))
	}
	return lines
}

func newLine(key lineKey, rows []tally.Row, span float64) Line {
	spread := func(value func(tally.Row) float64) Spread {
		return SpreadOver(rows, value)
	}
	return Line{
		Variant:  key.variant,
		Customer: key.customer,
		Class:    key.class,
		Sent:     spread(func(r tally.Row) float64 { return float64(r.Sent) / span }),
		InTime:   spread(func(r tally.Row) float64 { return float64(r.InTime) / span }),
		NotRun:   spread(func(r tally.Row) float64 { return float64(r.NotRun) / span }),
		Share:    spread(func(r tally.Row) float64 { return 100 * float64(r.InTime) / float64(r.Sent) }),
		P50:      spread(func(r tally.Row) float64 { return r.P50 }),
		P99:      spread(func(r tally.Row) float64 { return r.P99 }),
		LateP99:  spread(func(r tally.Row) float64 { return r.LateP99 }),
	}
}

// Print writes the lines as a table. Values are medians over the repeats, most of them with their range.
func Print(out io.Writer, experiment Experiment, lines []Line, repeats int) error {
	fmt.Fprintf(out, "%s: %s\nmedian [least..most] of %d repeats\n", experiment.Name, experiment.About, repeats)
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "variant\tcustomer\tclass\tsent/s\tin_time/s\tin_time_%\tnot_run/s\tp50_ms\tp99_ms\tlate_p99_ms")
	for _, line := range lines {
		fmt.Fprintf(table, "%s\t%s\t%s\t%.0f\t%s\t%s\t%.0f\t%s\t%s\t%.1f\n",
			line.Variant, line.Customer, line.Class, line.Sent.Median, line.InTime, line.Share,
			line.NotRun.Median, line.P50, line.P99, line.LateP99.Median)
	}
	return errors.WithStack(table.Flush())
}
