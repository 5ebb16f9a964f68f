package tally

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
)

// Print writes the rows as a table.
func Print(out io.Writer, rows []Row) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "customer\tclass\tsent\tserved\tin_time\tp50_ms\tp99_ms\tlate_p99_ms\tfailed\tnot_run\tmay_have_run\treasons")
	for _, row := range rows {
		fmt.Fprintf(table, "%s\t%s\t%d\t%d\t%d\t%.2f\t%.2f\t%.2f\t%d\t%d\t%d\t%s\n",
			row.Customer, row.Class, row.Sent, row.Served, row.InTime, row.P50, row.P99, row.LateP99,
			row.Failed, row.NotRun, row.MayHaveRun, reasons(row))
	}
	return table.Flush()
}

// reasons returns for example "queue_full 3, too_late 1".
func reasons(row Row) string {
	parts := []string{}
	for _, reason := range slices.Sorted(maps.Keys(row.Reasons)) {
		parts = append(parts, fmt.Sprintf("%s %d", reason, row.Reasons[reason]))
	}
	return strings.Join(parts, ", ")
}
