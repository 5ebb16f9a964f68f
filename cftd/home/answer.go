package home

import (
	"bytes"
	"io"
	"net/http"

	"github.com/pkg/errors"
)

// headerOverhead is about what a header line costs in memory beside its bytes.
const headerOverhead = 32

// Answer is a whole answer of an upstream that is held for later sends of its key.
type Answer struct {
	// Status is the HTTP status.
	Status int
	// Header and Trailer are not changed once the answer is held.
	Header  http.Header
	Trailer http.Header
	// Body is the whole body.
	Body []byte
	// Length is the declared length, which a HEAD or 304 answer has without a body; -1 if there was none.
	Length int64
}

// size returns about how many bytes of memory the answer takes.
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

// readAnswer reads an answer whole. If its body has more than limit bytes it returns the answer as a stream.
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

type prefixedBody struct {
	io.Reader
	io.Closer
}

// closeHook calls end when the body is closed.
type closeHook struct {
	io.ReadCloser
	onClose func()
}

func (t *closeHook) Close() error {
	defer t.onClose()
	return t.ReadCloser.Close()
}
