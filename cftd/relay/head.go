package relay

import (
	"bytes"

	"github.com/pkg/errors"

	"comfreytack/core/wire"
)

const (
	// maxAnswerHeadBytes and maxAnswerHeadLines bound the heads of the answers to one request, interim ones included.
	maxAnswerHeadBytes = 128 << 10
	maxAnswerHeadLines = 1000
	// protocolPrefix begins each answer, and statusLineBytes is the length of a status line without a reason.
	protocolPrefix  = "HTTP/1."
	statusLineBytes = len("HTTP/1.1 200")
)

// errMalformed is the cause of all errors about bytes that are no head of an answer.
var errMalformed = errors.New("received bytes that are no answer")

// answerHead checks the heads of the answers to one request while they are received. net/http accepts some that are no
// HTTP: a status below 100, blanks in the names of fields, lines that continue others, and Transfer-Encoding in HTTP/1.0.
// Two parsers may then see different bodies.
type answerHead struct {
	// line has the beginning of a line that has not been received to its end.
	line []byte
	// size and lines count what was received of all heads.
	size, lines int
	// begun is true from the status line to the empty line of a head.
	begun bool
	// old is true in a head of HTTP/1.0.
	old bool
	// final is true when the head is not that of an interim answer.
	final bool
	// over is true when the final head was received; what follows is its body.
	over bool
}

// add checks the next bytes.
func (h *answerHead) add(data []byte) error {
	for !h.over && len(data) > 0 {
		end := bytes.IndexByte(data, '\n') + 1
		if end == 0 {
			end = len(data)
		}
		h.line = append(h.line, data[:end]...)
		data = data[end:]
		h.size += end
		if h.size > maxAnswerHeadBytes {
			return errors.Wrapf(errMalformed, "head of more than %d bytes", maxAnswerHeadBytes)
		}
		if err := h.checkLine(); err != nil {
			return err
		}
	}
	return nil
}

// checkLine checks the line once it is complete, or as soon as it can't begin an answer any more.
func (h *answerHead) checkLine() error {
	line, complete := bytes.CutSuffix(h.line, []byte("\n"))
	if !complete {
		if n := min(len(line), len(protocolPrefix)); !h.begun && string(line[:n]) != protocolPrefix[:n] {
			return errors.Wrap(errMalformed, "no status line")
		}
		return nil
	}
	line = bytes.TrimSuffix(line, []byte("\r"))
	h.line = h.line[:0]
	if h.lines++; h.lines > maxAnswerHeadLines {
		return errors.Wrapf(errMalformed, "heads of more than %d lines", maxAnswerHeadLines)
	}
	switch {
	case !h.begun:
		h.begun = true
		return h.checkStatus(line)
	case len(line) == 0:
		h.begun, h.over = false, h.final
		return nil
	}
	return h.checkField(line)
}

// checkStatus checks a status line.
//
//	HTTP/1.1 200 OK
func (h *answerHead) checkStatus(line []byte) error {
	if len(line) < statusLineBytes || !bytes.HasPrefix(line, []byte(protocolPrefix)) || !wire.IsFieldValue(line) {
		return errors.Wrapf(errMalformed, "status line %.40q", line)
	}
	minor, status, reason := line[len(protocolPrefix)], line[statusLineBytes-3:statusLineBytes], line[statusLineBytes:]
	h.old, h.final = minor == '0', status[0] != '1'
	switch {
	case minor != '0' && minor != '1', line[statusLineBytes-4] != ' ', len(reason) > 0 && reason[0] != ' ':
		return errors.Wrapf(errMalformed, "status line %.40q", line)
	case status[0] < '1' || status[0] > '5' || !isDigit(status[1]) || !isDigit(status[2]):
		return errors.Wrapf(errMalformed, "status %q", status)
	}
	return nil
}

// checkField checks a line with a field. Lines that continue others, which HTTP has given up, have a blank in their name.
func (h *answerHead) checkField(line []byte) error {
	name, value, found := bytes.Cut(line, []byte(":"))
	switch {
	case !found, !wire.IsFieldName(name), !wire.IsFieldValue(value):
		return errors.Wrapf(errMalformed, "field %.40q", line)
	case h.old && bytes.EqualFold(name, []byte("Transfer-Encoding")):
		return errors.Wrap(errMalformed, "Transfer-Encoding in HTTP/1.0")
	}
	return nil
}

func isDigit(c byte) bool { return '0' <= c && c <= '9' }
