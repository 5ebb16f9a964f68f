package intake

import (
	"bufio"
	"bytes"
	"net/http"
	"strings"
	"sync"

	"github.com/pkg/errors"

	"comfreytack/core/wire"
)

var (
	errHeadTooShort = errors.New("the head ends before its empty line")
	errHeadTooLong  = errors.New("the head goes on after its empty line")
)

const (
	// maxEmptyBytes bounds the empty lines that may come before a request.
	maxEmptyBytes = 16
	// These weigh a head: what the parsed request and its copies on the way to the upstream take, in bytes.
	copiesOfHead = 4
	bytesPerLine = 320
	// headReaderBytes is the size of the buffer through which a head and chunks are parsed.
	headReaderBytes = 2 << 10
)

var headReaders = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, headReaderBytes) }}

// headScan looks for the end of a head. It does not parse: it counts lines, and finds what a parser of HTTP could
// understand in two ways (request smuggling).
type headScan struct {
	// scanned is the number of bytes that were looked at, and line the index at which the current line begins.
	scanned, line int
	// lines counts the lines, with the request line and the last, empty one.
	lines int
	// hosts and lengths count the fields Host and Content-Length.
	hosts, lengths int
	// chunked is true when there is a Transfer-Encoding.
	chunked bool
	// folded is true when a line continues the one before it.
	folded bool
}

// find scans the bytes that it has not seen yet, and returns the length of the head once it is complete.
func (s *headScan) find(data []byte) (int, bool) {
	for {
		end := bytes.IndexByte(data[s.scanned:], '\n')
		if end < 0 {
			s.scanned = len(data)
			return 0, false
		}
		s.scanned += end + 1
		line := bytes.TrimSuffix(data[s.line:s.scanned-1], []byte("\r"))
		s.line = s.scanned
		s.lines++
		if len(line) == 0 {
			return s.scanned, true
		}
		if s.lines > 1 {
			s.field(line)
		}
	}
}

func (s *headScan) field(line []byte) {
	if line[0] == ' ' || line[0] == '\t' {
		s.folded = true
		return
	}
	name, _, _ := bytes.Cut(line, []byte(":"))
	switch {
	case bytes.EqualFold(name, []byte("Host")):
		s.hosts++
	case bytes.EqualFold(name, []byte("Content-Length")):
		s.lengths++
	case bytes.EqualFold(name, []byte("Transfer-Encoding")):
		s.chunked = true
	}
}

// ambiguous reports whether two parsers may understand the head differently.
func (s *headScan) ambiguous() bool {
	return s.folded || s.lengths > 0 && s.chunked
}

// weight estimates the memory that the parsed head takes, with its copies.
func (s *headScan) weight(size int) int64 {
	return int64(copiesOfHead*size) + int64(bytesPerLine*s.lines)
}

// emptyBytes counts the line ends at the beginning of data.
func emptyBytes(data []byte) int {
	return len(data) - len(bytes.TrimLeft(data, "\r\n"))
}

// source is what a parser reads from: first the head alone, then the body.
type source struct {
	head []byte
	// inbox is nil until the head was parsed.
	inbox *inbox
}

// Read implements io.Reader.
func (s *source) Read(data []byte) (int, error) {
	if len(s.head) > 0 {
		n := copy(data, s.head)
		s.head = s.head[n:]
		return n, nil
	}
	if s.inbox == nil {
		return 0, errHeadTooShort
	}
	return s.inbox.Read(data)
}

// parse has the HTTP library parse a complete head. The request's body then reads from the inbox through the reader that
// is returned.
func parse(head []byte, scan headScan, inbox *inbox) (*http.Request, *bufio.Reader, *refusal) {
	if scan.ambiguous() {
		return nil, nil, refuseAmbiguous
	}
	from := &source{head: head}
	reader := headReaders.Get().(*bufio.Reader)
	reader.Reset(from)
	request, err := http.ReadRequest(reader)
	if err == nil && (reader.Buffered() > 0 || len(from.head) > 0) {
		// The library found another end of the head.
		err = errHeadTooLong
	}
	if err != nil {
		headReaders.Put(reader)
		if strings.HasPrefix(err.Error(), "unsupported transfer encoding") {
			return nil, nil, refuseEncoding
		}
		return nil, nil, refuseMalformed
	}
	from.inbox = inbox
	if refused := check(request, scan); refused != nil {
		headReaders.Put(reader)
		return nil, nil, refused
	}
	return request, reader, nil
}

// check refuses what the library's parser accepts and its server does not.
func check(request *http.Request, scan headScan) *refusal {
	switch {
	case request.ProtoMajor != 1:
		return refuseVersion
	case scan.hosts > 1, scan.hosts == 0 && request.ProtoAtLeast(1, 1) && request.Method != http.MethodConnect:
		return refuseMalformed
	case !wire.ConsistsOf(request.Host, hostMarks):
		return refuseMalformed
	}
	for name, values := range request.Header {
		if !wire.IsFieldName(name) {
			return refuseMalformed
		}
		for _, value := range values {
			if !wire.IsFieldValue(value) {
				return refuseMalformed
			}
		}
	}
	if expect := request.Header.Get("Expect"); expect != "" && !expectsContinue(request) {
		return refuseExpect
	}
	return nil
}

func expectsContinue(request *http.Request) bool {
	return strings.EqualFold(strings.TrimSpace(request.Header.Get("Expect")), "100-continue")
}

// hostMarks are the characters other than letters and digits in a host.
const hostMarks = "!$%&'()*+,-.:;=[]_~"
