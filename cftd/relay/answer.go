package relay

import (
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"net/textproto"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"comfreytack/core/model"
	"comfreytack/core/wire"
)

const (
	copyBufferBytes = 32 << 10
	// replyGrace is added to a deadline so that the caller can still be answered that it has passed.
	replyGrace = time.Second
)

var copyBuffers = sync.Pool{New: func() any { return new([copyBufferBytes]byte) }}

// WriteAnswer copies an answer to the caller. It returns a failure with reason Truncated when the answer broke off, or
// with reason CallerGone when writing to the caller failed. The caller's connection must then be aborted, because a
// part of the answer may have been sent.
func WriteAnswer(w http.ResponseWriter, answer *http.Response) *model.Failure {
	defer answer.Body.Close()
	header := w.Header()
	CopyHeader(header, answer.Header)
	declared := slices.Collect(maps.Keys(answer.Trailer))
	for _, name := range declared {
		header.Add("Trailer", name)
	}
	w.WriteHeader(answer.StatusCode)
	if failure := copyBody(w, answer); failure != nil {
		return failure
	}
	writeTrailer(header, answer.Trailer, declared)
	return nil
}

// writeTrailer adds the trailers that were received, declared or not.
func writeTrailer(header, trailer http.Header, declared []string) {
	wire.RemoveOwnHeaders(trailer)
	for name, values := range trailer {
		if !slices.Contains(declared, name) {
			name = http.TrailerPrefix + name
		}
		for _, value := range values {
			header.Add(name, value)
		}
	}
}

// WriteFailure sends a failure as a small JSON body with its verdict and reason in the headers.
func WriteFailure(w http.ResponseWriter, failure *model.Failure) {
	header := w.Header()
	wire.SetFailure(header, failure)
	header.Set("Content-Type", "application/json")
	w.WriteHeader(wire.Status(failure.Reason))
	text := failureBody{Verdict: failure.Verdict, Reason: failure.Reason}
	if failure.Cause != nil && (failure.Reason == model.BadRequest || failure.Reason == model.KeyUnknown) {
		text.Detail = failure.Cause.Error()
	}
	_ = json.NewEncoder(w).Encode(text)
}

// failureBody is the JSON body of a failure.
type failureBody struct {
	Verdict model.Verdict `json:"verdict"`
	Reason  model.Reason  `json:"reason"`
	// Detail says what was wrong with the request; empty when the fault is not in the request.
	Detail string `json:"detail,omitempty"`
}

// copyBody copies the body and, when its length is unknown, flushes after each read so that a stream is not delayed.
func copyBody(w http.ResponseWriter, answer *http.Response) *model.Failure {
	controller := http.NewResponseController(w)
	buffer := copyBuffers.Get().(*[copyBufferBytes]byte)
	defer copyBuffers.Put(buffer)
	for {
		n, err := answer.Body.Read(buffer[:])
		if writeErr := writePart(w, controller, buffer[:n], answer.ContentLength < 0); writeErr != nil {
			return &model.Failure{Verdict: model.MayHaveRun, Reason: model.CallerGone, Cause: writeErr}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return &model.Failure{Verdict: model.MayHaveRun, Reason: model.Truncated, Cause: err}
		}
	}
}

func writePart(w http.ResponseWriter, controller *http.ResponseController, part []byte, flush bool) error {
	if len(part) == 0 {
		return nil
	}
	if _, err := w.Write(part); err != nil {
		return err
	}
	if flush {
		return controller.Flush()
	}
	return nil
}

// SetDeadlines sets the connection's read and write deadlines, which bound how long the caller may take to send its
// request and to read the answer.
func SetDeadlines(w http.ResponseWriter, deadline time.Time) {
	controller := http.NewResponseController(w)
	// These calls fail only on writers without a connection, such as those of tests.
	_ = controller.SetReadDeadline(deadline.Add(replyGrace))
	_ = controller.SetWriteDeadline(deadline.Add(replyGrace))
}

// EnableDuplex lets an answer begin while the body of its request is still being received. Without it net/http first
// reads a small remainder of the body, so that its reply is not lost to a connection reset.
func EnableDuplex(w http.ResponseWriter, body *Body) {
	if body.Rest != nil {
		_ = http.NewResponseController(w).EnableFullDuplex()
	}
}

// splitList splits a comma-separated list of header names.
func splitList(list string) []string {
	var names []string
	for name := range strings.SplitSeq(list, ",") {
		names = append(names, textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name)))
	}
	return names
}

// TrackedBody is a body that records the error that ended its reading, which is io.EOF at its end.
type TrackedBody struct {
	io.ReadCloser
	err atomic.Pointer[error]
}

// TrackBody wraps body in a TrackedBody.
func TrackBody(body io.ReadCloser) *TrackedBody {
	return &TrackedBody{ReadCloser: body}
}

// Read implements io.Reader.
func (w *TrackedBody) Read(data []byte) (int, error) {
	n, err := w.ReadCloser.Read(data)
	if err != nil {
		w.err.Store(&err)
	}
	return n, err
}

// Whole reports whether the body was read to its end.
func (w *TrackedBody) Whole() bool { return w.ReadErr() == io.EOF }

// ReadErr returns the error that ended the reading, or nil if it was not ended.
func (w *TrackedBody) ReadErr() error {
	if err := w.err.Load(); err != nil {
		return *err
	}
	return nil
}

// OnClose returns the body with a function that is called once, when the body is first closed.
func OnClose(body io.ReadCloser, onClose func()) io.ReadCloser {
	return &closeHook{ReadCloser: body, onClose: sync.OnceFunc(onClose)}
}

type closeHook struct {
	io.ReadCloser
	onClose func()
}

func (c *closeHook) Close() error {
	defer c.onClose()
	return c.ReadCloser.Close()
}
