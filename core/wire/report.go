package wire

import (
	"net/http"
	"strconv"
	"strings"

	"comfreytack/core/model"
)

const (
	reportSeparator = ","
	reportFields    = 10
	coldFields      = 3
	// reportBase is the base of the numbers; a large one makes them short.
	reportBase = 36
)

// SetReport encodes a gate's report as its fields in order, without names, since every answer carries it.
//
//	{reservas-2 7 in flight 3 queued 0 of 9 ...} -> "reservas-2,7,3,0,9,0,e8,2s,0,1f"
func SetReport(header http.Header, report model.GateReport) {
	leaving := uint64(0)
	if report.Leaving {
		leaving = 1
	}
	fields := []string{string(report.Upstream)}
	for _, number := range []uint64{
		uint64(report.Incarnation), uint64(report.InFlight), uint64(report.Queued), uint64(report.Slots),
		uint64(report.WaitUs), uint64(report.ServiceUs), uint64(report.PacePercent), leaving, uint64(report.Revision),
	} {
		fields = append(fields, strconv.FormatUint(number, reportBase))
	}
	header.Set(HeaderReport, strings.Join(fields, reportSeparator))
	setCold(header, report)
}

// setCold encodes what the report says of a cold upstream, in a header of its own, since few answers carry it.
//
//	{cold for 2000 ms, room 0, the next request fits in 120 ms} -> "1jk,0,3c"
func setCold(header http.Header, report model.GateReport) {
	header.Del(HeaderCold)
	if report.ColdMs == 0 {
		return
	}
	fields := make([]string, 0, coldFields)
	for _, number := range []int{report.ColdMs, report.ColdRoom, report.ColdWaitMs} {
		fields = append(fields, strconv.FormatUint(uint64(number), reportBase))
	}
	header.Set(HeaderCold, strings.Join(fields, reportSeparator))
}

// readCold adds to a report what setCold encoded. A header that cannot be read says nothing: the gate refuses what does
// not fit.
func readCold(header http.Header, report *model.GateReport) {
	fields := strings.Split(header.Get(HeaderCold), reportSeparator)
	if len(fields) != coldFields {
		return
	}
	var numbers [coldFields]int
	for i, text := range fields {
		number, err := strconv.ParseUint(text, reportBase, 31)
		if err != nil {
			return
		}
		numbers[i] = int(number)
	}
	if numbers[0] > 0 {
		report.ColdMs, report.ColdRoom, report.ColdWaitMs = numbers[0], numbers[1], numbers[2]
	}
}

// ReadReport decodes a gate's report, or returns false when there is no valid one.
func ReadReport(header http.Header) (model.GateReport, bool) {
	// The upstream's name comes first and may contain separators; the numbers after it cannot.
	fields := strings.Split(header.Get(HeaderReport), reportSeparator)
	if len(fields) < reportFields {
		return model.GateReport{}, false
	}
	firstNumber := len(fields) - reportFields + 1
	var numbers [reportFields - 1]uint64
	for i, text := range fields[firstNumber:] {
		number, err := strconv.ParseUint(text, reportBase, 63)
		if err != nil {
			return model.GateReport{}, false
		}
		numbers[i] = number
	}
	report := model.GateReport{
		Upstream:    model.UpstreamName(strings.Join(fields[:firstNumber], reportSeparator)),
		Incarnation: model.Incarnation(numbers[0]),
		InFlight:    int(numbers[1]),
		Queued:      int(numbers[2]),
		Slots:       int(numbers[3]),
		WaitUs:      int64(numbers[4]),
		ServiceUs:   int64(numbers[5]),
		PacePercent: int(numbers[6]),
		Leaving:     numbers[7] == 1,
		Revision:    model.Revision(numbers[8]),
	}
	readCold(header, &report)
	return report, true
}
