package relay

import (
	"encoding/binary"
	"io"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"comfreytack/core/model"
)

// prefixTag separates the fingerprints of beginnings from those of whole bodies.
const prefixTag = "prefix"

// Fingerprint hashes the customer, method, path and body of a request. It is zero while a part of the body has not been
// read, and never zero otherwise. That of a body with a Prefix is the one that Tail computes.
func (b *Body) Fingerprint(customer model.Customer, method, path string) model.Fingerprint {
	if b.Rest != nil {
		return 0
	}
	if len(b.Small) <= BufferBytes {
		return hashParts(b.Small, string(customer), method, path)
	}
	tail := NewTail(b.Prefix(customer, method, path), int64(len(b.Small)))
	tail.add(b.Small)
	return tail.Fingerprint()
}

// Prefix hashes the customer, method and path of a request and the first BufferBytes of its body. It is zero when the
// body has no more than that.
func (b *Body) Prefix(customer model.Customer, method, path string) model.Fingerprint {
	if len(b.Small) <= BufferBytes {
		return 0
	}
	return hashParts(b.Small[:BufferBytes], prefixTag, string(customer), method, path)
}

func hashParts(body []byte, parts ...string) model.Fingerprint {
	hash := xxhash.New()
	for _, part := range parts {
		_, _ = hash.WriteString(part)
		_, _ = hash.Write([]byte{0})
	}
	_, _ = hash.Write(body)
	return fingerprint(hash)
}

func fingerprint(hash *xxhash.Digest) model.Fingerprint {
	return model.Fingerprint(max(1, hash.Sum64()))
}

// Tail computes the fingerprint of a body while it is streamed, from its prefix and what follows the first BufferBytes.
// Only Fingerprint is safe for concurrent use.
type Tail struct {
	hash *xxhash.Digest
	// skip is how many bytes belong to the prefix and are still to come.
	skip int
	// left is how many bytes are still to come; negative when that is unknown.
	left  int64
	whole atomic.Uint64
}

// NewTail returns a Tail for a body with the given prefix and length; the length is negative when it is unknown.
func NewTail(prefix model.Fingerprint, length int64) *Tail {
	hash := xxhash.New()
	_, _ = hash.Write(binary.BigEndian.AppendUint64(nil, uint64(prefix)))
	return &Tail{hash: hash, skip: BufferBytes, left: length}
}

// Fingerprint returns the fingerprint of the body, or zero when its end has not been read.
func (t *Tail) Fingerprint() model.Fingerprint { return model.Fingerprint(t.whole.Load()) }

// add hashes the next bytes of the body.
func (t *Tail) add(data []byte) {
	skipped := min(t.skip, len(data))
	t.skip -= skipped
	_, _ = t.hash.Write(data[skipped:])
	if t.left < 0 || len(data) == 0 {
		return
	}
	t.left -= int64(len(data))
	if t.left == 0 {
		t.end()
	}
}

func (t *Tail) end() { t.whole.Store(uint64(fingerprint(t.hash))) }

// tailReader is a body that a Tail hashes.
type tailReader struct {
	io.ReadCloser
	tail *Tail
}

// Read implements io.Reader.
func (r *tailReader) Read(data []byte) (int, error) {
	n, err := r.ReadCloser.Read(data)
	r.tail.add(data[:n])
	if err == io.EOF {
		r.tail.end()
	}
	return n, err
}
