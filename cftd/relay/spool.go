package relay

import (
	"io"
	"slices"
	"sync"

	"github.com/pkg/errors"
)

// Spool reads streamed bodies into memory before they are sent, so that their fingerprints are known. All bodies share
// its bytes.
type Spool struct {
	mu   sync.Mutex
	free int
}

// NewSpool returns a Spool of the given number of bytes.
func NewSpool(size int) *Spool { return &Spool{free: size} }

// Read reads the rest of the body, or as much of it as there is room for; what remains is streamed. The caller gives
// the bytes taken back with Release when the request has ended, also after an error.
func (s *Spool) Read(body *Body) (taken int, err error) {
	for body.Rest != nil {
		part := s.take(copyBufferBytes)
		if part == 0 {
			return taken, nil
		}
		taken += part
		if err := readPart(body, part); err != nil {
			return taken, err
		}
	}
	return taken, nil
}

// readPart reads at most size bytes of the body's Rest. At the end of the body it clears Rest.
func readPart(body *Body, size int) error {
	body.Small = slices.Grow(body.Small, size)
	until := len(body.Small) + size
	for len(body.Small) < until {
		n, err := body.Rest.Read(body.Small[len(body.Small):until])
		body.Small = body.Small[:len(body.Small)+n]
		if err == io.EOF {
			body.Rest, body.Length = nil, int64(len(body.Small))
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "read request body")
		}
	}
	return nil
}

// Release gives back bytes that Read has taken.
func (s *Spool) Release(taken int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.free += taken
}

func (s *Spool) take(size int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	taken := min(size, s.free)
	s.free -= taken
	return taken
}
