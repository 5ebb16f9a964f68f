package relay

import (
	"io"
	"net/http"
	"net/textproto"
	"strings"
	"sync"
	"sync/atomic"

	"comfreytack/core/model"
	"comfreytack/core/wire"
)

const copyBufferBytes = 32 << 10

// WriteAnswer passes an answer on. It returns a failure when the answer broke off; the caller's
// connection must then be aborted, because a part of the answer may be on its way.
func WriteAnswer(w http.ResponseWriter, answer *http.Response) *model.Failure {
	defer answer.Body.Close()
	header := w.Header()
	CopyHeader(header, answer.Header)
	for name := range answer.Trailer {
		header.Add("Trailer", name)
	}
	w.WriteHeader(answer.StatusCode)
	if err := copyBody(w, answer); err != nil {
		return &model.Failure{Verdict: model.MayHaveRun, Reason: model.Truncated, Cause: err}
	}
	for name, values := range answer.Trailer {
		for _, value := range values {
			header.Add(name, value)
		}
	}
	return nil
}

// WriteFailure sends a failure as a small JSON body with its verdict and reason in the headers.
func WriteFailure(w http.ResponseWriter, failure *model.Failure) {
	header := w.Header()
	wire.PutFailure(header, failure)
	header.Set("Content-Type", "application/json")
	w.WriteHeader(wire.Status(failure.Reason))
	_, _ = io.WriteString(w, `{"verdict":"`+failure.Verdict.String()+`","reason":"`+failure.Reason.String()+`"}`+"\n")
}

// copyBody flushes after each read when the length is unknown, so that a stream is not held back.
func copyBody(w http.ResponseWriter, answer *http.Response) error {
	if answer.ContentLength >= 0 {
		_, err := io.Copy(w, answer.Body)
		return err
	}
	controller := http.NewResponseController(w)
	buffer := make([]byte, copyBufferBytes)
	for {
		n, err := answer.Body.Read(buffer)
		if n > 0 {
			if _, err := w.Write(buffer[:n]); err != nil {
				return err
			}
			if err := controller.Flush(); err != nil {
				return err
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

func splitList(list string) []string {
	var names []string
	for name := range strings.SplitSeq(list, ",") {
		names = append(names, textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name)))
	}
	return names
}

// Watched is a body that remembers how its reading ended.
type Watched struct {
	io.ReadCloser
	err atomic.Pointer[error]
}

// Watch returns the body with a memory for its error.
func Watch(body io.ReadCloser) *Watched {
	return &Watched{ReadCloser: body}
}

// Read implements io.Reader.
func (w *Watched) Read(data []byte) (int, error) {
	n, err := w.ReadCloser.Read(data)
	if err != nil && err != io.EOF {
		w.err.Store(&err)
	}
	return n, err
}

// Broken returns the error that ended the body early, or nil.
func (w *Watched) Broken() error {
	if err := w.err.Load(); err != nil {
		return *err
	}
	return nil
}

// OnClose returns the body with a function that is called once, when it is closed.
func OnClose(body io.ReadCloser, closed func()) io.ReadCloser {
	return &closing{ReadCloser: body, closed: sync.OnceFunc(closed)}
}

type closing struct {
	io.ReadCloser
	closed func()
}

func (c *closing) Close() error {
	defer c.closed()
	return c.ReadCloser.Close()
}
