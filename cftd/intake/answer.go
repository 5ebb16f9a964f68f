package intake

import (
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

// notInHead has the fields that depend on the connection or on the body.
var notInHead = map[string]bool{"Connection": true, "Content-Length": true, "Transfer-Encoding": true}

// encodeHead puts the status line and the fields that do not depend on the body in front of the answer.
func (e *exchange) encodeHead() {
	protocol := "HTTP/1.1 "
	if !e.request.ProtoAtLeast(1, 1) {
		protocol = "HTTP/1.0 "
	}
	text := http.StatusText(e.status)
	if text == "" {
		text = "status code " + strconv.Itoa(e.status)
	}
	e.out = append(e.out, protocol...)
	e.out = strconv.AppendInt(e.out, int64(e.status), 10)
	e.out = append(append(append(e.out, ' '), text...), "\r\n"...)
	exclude := notInHead
	if trailers := prefixed(e.header); len(trailers) > 0 {
		exclude = map[string]bool{"Connection": true, "Content-Length": true, "Transfer-Encoding": true}
		for _, name := range trailers {
			exclude[name] = true
		}
	}
	// Writing to memory cannot fail.
	_ = e.header.WriteSubset((*appender)(&e.out), exclude)
}

// appender writes to a slice.
type appender []byte

// Write implements io.Writer.
func (a *appender) Write(data []byte) (int, error) {
	*a = append(*a, data...)
	return len(data), nil
}

// WriteString implements io.StringWriter.
func (a *appender) WriteString(text string) (int, error) {
	*a = append(*a, text...)
	return len(text), nil
}

// prefixed returns the names of the fields that are undeclared trailers.
func prefixed(header http.Header) []string {
	var names []string
	for name := range header {
		if strings.HasPrefix(name, http.TrailerPrefix) {
			names = append(names, name)
		}
	}
	return names
}

// frame decides how the answer's end is marked and ends its head. next is what follows what is pending of the body; done
// is true when nothing does.
func (e *exchange) frame(done bool, next []byte) {
	if e.framed {
		return
	}
	e.framed = true
	beginning := e.pending
	if len(beginning) == 0 {
		beginning = next
	}
	if e.length < 0 && done && !e.bodiless && len(e.header["Trailer"]) == 0 && len(prefixed(e.header)) == 0 {
		e.length = int64(len(e.pending))
	}
	switch {
	case e.length >= 0 && e.status != http.StatusNoContent:
		e.field("Content-Length", strconv.FormatInt(e.length, 10))
	case e.bodiless:
	case e.request.ProtoAtLeast(1, 1):
		e.chunked = true
		e.field("Transfer-Encoding", "chunked")
	default:
		e.last = true
	}
	if len(e.header["Date"]) == 0 {
		e.field("Date", time.Now().UTC().Format(http.TimeFormat))
	}
	if _, typed := e.header["Content-Type"]; !typed && len(beginning) > 0 && e.header.Get("Content-Encoding") == "" {
		e.field("Content-Type", http.DetectContentType(beginning))
	}
	if e.conn.isLast(e) {
		e.last = true
		e.field("Connection", "close")
	}
	e.out = append(e.out, "\r\n"...)
	pending := e.pending
	e.pending = nil
	e.put(pending)
}

func (e *exchange) field(name, value string) {
	e.out = append(append(append(append(e.out, name...), ": "...), value...), "\r\n"...)
}

// endChunks writes the last chunk and the trailers.
func (e *exchange) endChunks() {
	if !e.chunked || e.err != nil {
		return
	}
	end := []byte("0\r\n")
	trailer := http.Header{}
	for _, list := range e.header["Trailer"] {
		for name := range strings.SplitSeq(list, ",") {
			name = http.CanonicalHeaderKey(strings.TrimSpace(name))
			if values := e.header[name]; len(values) > 0 {
				trailer[name] = values
			}
		}
	}
	for _, name := range prefixed(e.header) {
		trailer[strings.TrimPrefix(name, http.TrailerPrefix)] = slices.Clone(e.header[name])
	}
	_ = trailer.Write((*appender)(&end))
	e.send(append(end, "\r\n"...))
}
