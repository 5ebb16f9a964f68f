package relay_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"comfreytack/cftd/relay"
	"comfreytack/core/model"
)

// TestAnswersThatAreNoHTTP guards against bytes that net/http takes for an answer and other parsers take for another one, or
// for none: a status below 100, names of fields with blanks or control bytes, lines that continue others.
func TestAnswersThatAreNoHTTP(t *testing.T) {
	const (
		head  = "HTTP/1.1 200 OK\r\n"
		whole = "Content-Length: 2\r\n\r\nok"
	)
	tests := []struct {
		name   string
		answer string
		// want is the body; empty when what comes is no answer.
		want string
	}{
		{name: "plain", answer: head + whole, want: "ok"},
		{name: "without a reason", answer: "HTTP/1.1 200\r\n" + whole, want: "ok"},
		{name: "the last status", answer: "HTTP/1.1 599 x\r\n" + whole, want: "ok"},
		{name: "any value", answer: head + "A: \t a b\x80\xff \r\nb!#$%&'*+-.^_`|~9:\r\n" + whole, want: "ok"},
		{name: "bare line feeds", answer: "HTTP/1.1 200 OK\nContent-Length: 2\n\nok", want: "ok"},
		{name: "HTTP/1.0, ends with the connection", answer: "HTTP/1.0 200 OK\r\n\r\nok", want: "ok"},
		{name: "interim answers", answer: "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" + head + whole, want: "ok"},
		{name: "a trailer", answer: head + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nField: x\r\n\r\n", want: "ok"},

		{name: "status 000", answer: "HTTP/1.1 000 OK\r\n" + whole},
		{name: "status 099", answer: "HTTP/1.1 099 OK\r\n" + whole},
		{name: "status 600", answer: "HTTP/1.1 600 OK\r\n" + whole},
		{name: "status +20", answer: "HTTP/1.1 +20 OK\r\n" + whole},
		{name: "status of four digits", answer: "HTTP/1.1 2000 OK\r\n" + whole},
		{name: "two blanks before the status", answer: "HTTP/1.1  200 OK\r\n" + whole},
		{name: "a control byte in the reason", answer: "HTTP/1.1 200 O\x01K\r\n" + whole},
		{name: "HTTP/1.2", answer: "HTTP/1.2 200 OK\r\n" + whole},
		{name: "HTTP/2.0", answer: "HTTP/2.0 200 OK\r\n" + whole},
		{name: "switched protocols", answer: "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\nok"},
		{name: "an empty line first", answer: "\r\n" + head + whole},
		{name: "a blank before the colon", answer: head + "Content-Length : 2\r\n\r\nok"},
		{name: "a blank in a name", answer: head + "A B: c\r\n" + whole},
		{name: "a blank before a name", answer: head + "A: b\r\n Content-Length: 2\r\n\r\nok"},
		{name: "a tab before a name", answer: head + "A: b\r\n\tContent-Length: 2\r\n\r\nok"},
		{name: "a blank before the first name", answer: head + " A: b\r\n" + whole},
		{name: "a tab in a name", answer: head + "A\tB: c\r\n" + whole},
		{name: "a control byte in a name", answer: head + "A\x01B: c\r\n" + whole},
		{name: "a carriage return in a name", answer: head + "A\rB: c\r\n" + whole},
		{name: "a zero byte in a value", answer: head + "A: \x00\r\n" + whole},
		{name: "no name", answer: head + ": c\r\n" + whole},
		{name: "no colon", answer: head + "A\r\n" + whole},
		{name: "chunks in HTTP/1.0", answer: "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"},
		{name: "a blank in an interim answer", answer: "HTTP/1.1 100 Continue\r\nA B: c\r\n\r\n" + head + whole},
		{name: "a blank in the name of a trailer", answer: head + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nA B: x\r\n\r\n"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			address := acceptRaw(t, func(conn *net.TCPConn) {
				_, _ = conn.Read(make([]byte, 1<<10))
				// A byte at a time: what is checked does not depend on how it arrives.
				for i := range len(test.answer) {
					_, _ = io.WriteString(conn, test.answer[i:i+1])
				}
			})
			transport := relay.NewTransport(1, time.Second)
			defer transport.CloseIdleConnections()
			body, failure := roundTripUndelimited(t.Context(), transport, address, http.MethodGet, "1")
			if test.want != "" {
				qt.Assert(t, failure == nil, qt.IsTrue, qt.Commentf("%v", failure))
				qt.Assert(t, body, qt.Equals, test.want)
				return
			}
			qt.Assert(t, failure != nil, qt.IsTrue, qt.Commentf("%q was taken for an answer", body))
			qt.Assert(t, failure.Verdict, qt.Equals, model.MayHaveRun)
		})
	}
}

// TestHeadWithoutEnd guards against a faulty upstream that fills the memory of the daemon with the head of an answer.
func TestHeadWithoutEnd(t *testing.T) {
	// mostBytes bounds what one answer may make the daemon allocate, released memory included: several times the longest head.
	const mostBytes = 4 << 20
	fields := &strings.Builder{}
	for i := range 100_000 {
		fmt.Fprintf(fields, "%x:\r\n", i)
	}
	tests := []struct {
		name, begin, piece string
	}{
		{name: "many fields", begin: "HTTP/1.1 200 OK\r\n", piece: fields.String()},
		{name: "one field", begin: "HTTP/1.1 200 OK\r\nField: ", piece: strings.Repeat("x", 1<<20)},
		{name: "a reason", begin: "HTTP/1.1 200 ", piece: strings.Repeat("x", 1<<20)},
		{name: "interim answers", piece: strings.Repeat("HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n", 10_000)},
		{name: "no HTTP at all", piece: strings.Repeat("x", 1<<20)},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			piece := []byte(test.piece)
			address := acceptRaw(t, func(conn *net.TCPConn) {
				_, _ = conn.Read(make([]byte, 1<<10))
				_, err := io.WriteString(conn, test.begin)
				for err == nil {
					_, err = conn.Write(piece)
				}
			})
			transport := relay.NewTransport(1, time.Second)
			defer transport.CloseIdleConnections()
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			_, failure := roundTripUndelimited(t.Context(), transport, address, http.MethodGet, "1")
			runtime.ReadMemStats(&after)
			qt.Assert(t, failure != nil, qt.IsTrue)
			qt.Assert(t, failure.Reason, qt.Equals, model.WrongAnswer)
			allocated := after.TotalAlloc - before.TotalAlloc
			qt.Assert(t, allocated < mostBytes, qt.IsTrue, qt.Commentf("%d bytes", allocated))
		})
	}
}
