package home

import (
	"bytes"
	"io"
	"net/http"

	"github.com/pkg/errors"
)

// headerOverhead is an estimate of the memory that a header name or value takes besides its bytes.
const headerOverhead = 32

// Answer is a complete answer of an upstream, kept so that later sends of its key get it too.
type Answer struct {
	// Status is the HTTP status.
	Status int
	// Header and Trailer are not changed once the answer is kept.
	Header  http.Header
	Trailer http.Header
	// Body is the whole body.
	Body []byte
	// Length is the declared Content-Length, which an answer to HEAD or with status 304 has without a body; -1 if none
	// was declared.
	Length int64
}

// size returns an estimate of the memory that the answer takes, in bytes.
func (a *Answer) size() int {
	size := len(a.Body)
	for _, header := range []http.Header{a.Header, a.Trailer} {
		for name, values := range header {
			size += len(name) + headerOverhead
			for _, value := range values {
				size += len(value) + headerOverhead
			}
		}
	}
	return size
}

func (a *Answer) response() *http.Response {
	return &http.Response{
		StatusCode:    a.Status,
		Header:        a.Header.Clone(),
		Trailer:       a.Trailer.Clone(),
		Body:          io.NopCloser(bytes.NewReader(a.Body)),
		ContentLength: a.Length,
	}
}

// readAnswer reads an answer into memory. If its body has more than limit bytes, readAnswer returns the response
// instead, whose body starts from the first byte.
func readAnswer(response *http.Response, limit int) (*Answer, *http.Response, error) {
	body, err := io.ReadAll(io.LimitReader(response.Body, int64(limit)+1))
	if err != nil {
		_ = response.Body.Close()
		return nil, nil, errors.Wrap(err, "read answer")
	}
	if len(body) > limit {
		response.Body = &prefixedBody{Reader: io.MultiReader(bytes.NewReader(body), response.Body), Closer: response.Body}
		return nil, response, nil
	}
	if err := response.Body.Close(); err != nil {
		return nil, nil, errors.Wrap(err, "close answer")
	}
	return &Answer{
		Status:  response.StatusCode,
		Header:  response.Header,
		Trailer: response.Trailer,
		Body:    body,
		Length:  response.ContentLength,
	}, nil, nil
}

// prefixedBody reads from one source and closes another.
type prefixedBody struct {
	io.Reader
	io.Closer
}

// closeHook calls onClose when the body is closed.
type closeHook struct {
	io.ReadCloser
	onClose func()
}

func (t *closeHook) Close() error {
	defer t.onClose()
	return t.ReadCloser.Close()
}
