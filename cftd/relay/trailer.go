package relay

import (
	"io"
	"net/http"

	"github.com/pkg/errors"

	"comfreytack/core/wire"
)

// trailerChecker is a body in chunks whose end is an error when a field behind it is none.
type trailerChecker struct {
	io.ReadCloser
	answer *http.Response
}

// Read implements io.Reader.
func (c *trailerChecker) Read(data []byte) (int, error) {
	n, err := c.ReadCloser.Read(data)
	if err != io.EOF {
		return n, err
	}
	for name := range c.answer.Trailer {
		if !wire.IsFieldName(name) {
			return n, errors.Wrapf(errMalformed, "trailer %.40q", name)
		}
	}
	return n, io.EOF
}
