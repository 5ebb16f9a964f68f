package tally

import (
	"fmt"
	"maps"
	"regexp"
	"slices"

	"comfreytack/cftlab/loader"
)

// varyingAddress matches the parts that differ between errors of the same kind: URLs and local addresses.
var varyingAddress = regexp.MustCompile(`"http://[^"]*"|127\.0\.0\.1:\d+(->127\.0\.0\.1:\d+)?`)

// Errors returns one line with the count of each kind of error of the callers' HTTP clients, for example "12 Get: EOF".
func Errors(records []loader.Record) []string {
	counts := map[string]int{}
	for _, record := range records {
		if record.Error != "" {
			counts[varyingAddress.ReplaceAllString(record.Error, "ADDRESS")]++
		}
	}
	lines := []string{}
	for _, text := range slices.Sorted(maps.Keys(counts)) {
		lines = append(lines, fmt.Sprintf("%d %s", counts[text], text))
	}
	return lines
}
