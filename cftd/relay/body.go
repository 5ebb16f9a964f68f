package relay

import (
	"bytes"
	"io"
	"net/http"
	"sync/atomic"

	"github.com/pkg/errors"

	"comfreytack/core/model"
)

// BufferBytes bounds the bodies that are buffered. A buffered request body can be sent again to another upstream.
const BufferBytes = 64 << 10

// Body is a request body. A small one is buffered whole; what follows the beginning of a larger one is streamed and can
// be sent only once.
type Body struct {
	// Small is the whole body, or its beginning if Rest is set.
	Small []byte
	// Rest streams what follows Small; nil when Small is the whole body.
	Rest io.Reader
	// Length is the declared length in bytes, or -1 for a chunked body.
	Length int64

	// restClaimed is true once an attempt has read from Rest; no other attempt may read from it then.
	restClaimed atomic.Bool
}

// ReadBody buffers a request's body of at most BufferBytes, or one byte more of a larger one; it leaves the rest to be
// streamed.
func ReadBody(r *http.Request) (*Body, error) {
	body := &Body{Length: r.ContentLength}
	if r.Body == nil || r.Body == http.NoBody {
		body.Length = 0
		return body, nil
	}
	small, err := io.ReadAll(io.LimitReader(r.Body, BufferBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "read request body")
	}
	body.Small = small
	if len(small) > BufferBytes && body.Length != int64(len(small)) {
		body.Rest = r.Body
		return body, nil
	}
	body.Length = int64(len(small))
	return body, nil
}

// StreamBody returns the request's body without reading ahead, unless it is declared to be small. net/http sends the
// 100 Continue that a sender of a large body may wait for only when the body is first read.
func StreamBody(r *http.Request) (*Body, error) {
	if r.ContentLength >= 0 && r.ContentLength <= BufferBytes {
		return ReadBody(r)
	}
	return &Body{Rest: r.Body, Length: r.ContentLength}, nil
}

// CanResend reports whether the body can be sent once more.
func (b *Body) CanResend() bool {
	return b.Rest == nil || !b.restClaimed.Load()
}

// Large reports whether the body is too large to be sent before its receiver asks for it.
func (b *Body) Large() bool { return b.Rest != nil || len(b.Small) > BufferBytes }

// Open returns the body for one attempt. The reader is never http.NoBody and the request has no GetBody, so that
// http.Transport cannot retry the request by itself.
func (b *Body) Open() io.ReadCloser {
	if b.Rest == nil {
		return io.NopCloser(bytes.NewReader(b.Small))
	}
	return io.NopCloser(io.MultiReader(bytes.NewReader(b.Small), &restReader{body: b}))
}

// restReader reads from a body's Rest for one attempt.
type restReader struct {
	body    *Body
	claimed bool
}

// Read fails if another attempt has already read from Rest.
func (r *restReader) Read(data []byte) (int, error) {
	if !r.claimed && !r.body.restClaimed.CompareAndSwap(false, true) {
		return 0, errors.New("request body already read by another attempt")
	}
	r.claimed = true
	return r.body.Rest.Read(data)
}

// BufferAnswer reads the whole body of an answer that declares at most BufferBytes, so that the request can be retried
// when the answer breaks off. It leaves other answers to be streamed.
func BufferAnswer(answer *http.Response) *model.Failure {
	if answer.ContentLength < 0 || answer.ContentLength > BufferBytes {
		return nil
	}
	buffered, err := io.ReadAll(answer.Body)
	closeErr := answer.Body.Close()
	if err == nil {
		err = closeErr
	}
	if err != nil {
		return &model.Failure{Verdict: model.MayHaveRun, Reason: model.Truncated, Cause: err}
	}
	answer.Body = io.NopCloser(bytes.NewReader(buffered))
	return nil
}
