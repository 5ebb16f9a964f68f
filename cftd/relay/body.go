package relay

import (
	"bytes"
	"io"
	"net/http"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"comfreytack/core/model"
)

// BufferBytes bounds the request bodies that are kept, so that a refused call can be tried elsewhere.
const BufferBytes = 64 << 10

// Body is a request body. A small one is kept whole; a larger one streams and can be sent once.
type Body struct {
	// Small is the whole body, unless Rest is set.
	Small []byte
	// Rest streams what follows Small; nil when Small is everything.
	Rest io.Reader
	// Length is the declared length in bytes, or -1 for a chunked body.
	Length int64

	// restClaimed is true once an attempt has read from Rest; no other one ever does.
	restClaimed atomic.Bool
}

// ReadBody reads up to BufferBytes of the request's body.
func ReadBody(r *http.Request) (*Body, error) {
	body := &Body{Length: r.ContentLength}
	if r.Body == nil || r.Body == http.NoBody {
		body.Length = 0
		return body, nil
	}
	if r.ContentLength > BufferBytes {
		body.Rest = r.Body
		return body, nil
	}
	small, err := io.ReadAll(io.LimitReader(r.Body, BufferBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "read request body")
	}
	body.Small = small
	if len(small) > BufferBytes {
		body.Rest = r.Body
		return body, nil
	}
	body.Length = int64(len(small))
	return body, nil
}

// StreamBody returns the request's body without reading ahead, unless it is declared to be small.
// A sender that waits to be asked for a large body is then asked only when the body is read.
func StreamBody(r *http.Request) (*Body, error) {
	if r.ContentLength >= 0 && r.ContentLength <= BufferBytes {
		return ReadBody(r)
	}
	return &Body{Rest: r.Body, Length: r.ContentLength}, nil
}

// Again says whether the body can be sent once more.
func (b *Body) Again() bool {
	return b.Rest == nil || !b.restClaimed.Load()
}

// Open returns the body for one attempt. The reader is never http.NoBody and offers no GetBody, so
// that the transport cannot replay the request by itself.
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

// Read fails if another attempt has begun to read.
func (r *restReader) Read(data []byte) (int, error) {
	if !r.claimed && !r.body.restClaimed.CompareAndSwap(false, true) {
		return 0, errors.New("the request body was sent before")
	}
	r.claimed = true
	return r.body.Rest.Read(data)
}

// Fingerprint hashes what identifies the request; zero when the body is too large to hash.
func (b *Body) Fingerprint(customer model.Customer, method, path string) model.Fingerprint {
	if b.Rest != nil {
		return 0
	}
	hash := xxhash.New()
	for _, part := range []string{string(customer), method, path} {
		_, _ = hash.WriteString(part)
		_, _ = hash.Write([]byte{0})
	}
	_, _ = hash.Write(b.Small)
	return model.Fingerprint(max(1, hash.Sum64()))
}

// BufferAnswer reads an answer of a known small length whole, so that one that breaks off can be retried.
// Other answers stream.
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
