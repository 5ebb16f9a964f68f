package crowd

//go:generate go tool stringer -type=Kind -linecomment -output=enums_string.go

import (
	"bytes"
	"fmt"
	"strings"
)

// Kind is what a caller sends.
type Kind int

// The kinds of hostile callers.
const (
	// ShortLines is a whole request of legal size with very many short header lines.
	ShortLines Kind = iota // short_lines
	// OddLines is a whole request of legal size whose header names and values are legal and unusual.
	OddLines // odd_lines
	// UnfinishedLines is ShortLines without the end of the head.
	UnfinishedLines // unfinished_lines
	// LargeHead is a head over the limit, with an end.
	LargeHead // large_head
	// EndlessHead is a head of ordinary lines without end.
	EndlessHead // endless_head
	// EndlessLine is a header line without end.
	EndlessLine // endless_line
	// EndlessEmptyLines is empty lines without end before a request.
	EndlessEmptyLines // endless_empty_lines
	// Silent is a connection on which nothing is sent.
	Silent // silent
	// EndlessNumber is a number without end, where a peer's message begins with its length.
	EndlessNumber // endless_number
	// HalfMessage is a peer's message of a large length of which half arrives.
	HalfMessage // half_message
)

const (
	// legalHeadBytes is just below the 64 KiB that a daemon accepts by default.
	legalHeadBytes = 60_000
	// blockBytes is how much the kinds without end send at once.
	blockBytes  = 32 << 10
	requestLine = "GET /svc/reservas/beds?ms=1 HTTP/1.1\r\nHost: daemon\r\nComfreytack-Customer: strangers\r\n"
)

// limit returns how many bytes of the repeated part a caller sends at most.
func (k Kind) limit(maxBytes int) int {
	switch k {
	case ShortLines, OddLines, UnfinishedLines, HalfMessage, Silent:
		return 0
	case LargeHead:
		return 4 * legalHeadBytes
	default:
		return maxBytes
	}
}

// parts returns what a caller sends first, what it repeats, and what it sends last.
func (k Kind) parts(caller int) (opening, repeated, end []byte) {
	switch k {
	case ShortLines:
		return []byte(requestLine), nil, []byte(manyLines(caller, shortLine) + "\r\n")
	case OddLines:
		return []byte(requestLine), nil, []byte(manyLines(caller, oddLine) + "\r\n")
	case UnfinishedLines:
		return []byte(requestLine), nil, []byte(manyLines(caller, shortLine))
	case LargeHead, EndlessHead:
		line := "X-Filler: " + strings.Repeat("f", 990) + "\r\n"
		return []byte(requestLine), []byte(strings.Repeat(line, blockBytes/len(line))), []byte("\r\n")
	case EndlessLine:
		return []byte(requestLine + "X-Filler: "), bytes.Repeat([]byte("f"), blockBytes), nil
	case EndlessEmptyLines:
		return nil, bytes.Repeat([]byte("\r\n"), blockBytes/2), nil
	case EndlessNumber:
		return nil, bytes.Repeat([]byte{0xff}, blockBytes), nil
	case Silent:
		return nil, nil, nil
	default:
		return append([]byte{0x80, 0x80, 0x40}, bytes.Repeat([]byte(" "), 512<<10)...), nil, nil
	}
}

// manyLines returns legalHeadBytes of header lines.
func manyLines(caller int, line func(number int) string) string {
	var lines strings.Builder
	for number := caller; lines.Len() < legalHeadBytes; number++ {
		lines.WriteString(line(number))
	}
	return lines.String()
}

// shortLine returns a header line of 5 or 6 bytes; names repeat after 26 * 36 lines.
func shortLine(number int) string {
	const letters = "abcdefghijklmnopqrstuvwxyz0123456789"
	return string([]byte{letters[number%26], letters[number/26%len(letters)]}) + ":\r\n"
}

// oddLine returns a line with a name that no other line has and a value of odd bytes.
func oddLine(number int) string {
	return fmt.Sprintf("!%x~'`:\t\xff \t\r\n", number)
}
