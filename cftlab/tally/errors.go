package tally

import (
	"fmt"
	"maps"
	"regexp"
	"slices"

	"comfreytack/cftlab/loader"
)

// address matches what differs between errors of the same kind.
var address = regexp.MustCompile(`"http://[^"]*"|127\.0\.0\.1:\d+(->127\.0\.0\.1:\d+)?`)

// Errors returns one line for each kind of error of the callers' client, for example "12 Get: EOF".
func Errors(records []loader.Record) []string {
	counts := map[string]int{}
	for _, record := range records {
		if record.Error != "" {
			counts[address.ReplaceAllString(record.Error, "ADDRESS")]++
		}
	}
	lines := []string{}
	for _, text := range slices.Sorted(maps.Keys(counts)) {
		lines = append(lines, fmt.Sprintf("%d %s", counts[text], text))
	}
	return lines
}
