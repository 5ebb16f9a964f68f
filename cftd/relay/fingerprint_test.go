package relay

import (
	"bytes"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"

	qt "github.com/frankban/quicktest"

	"comfreytack/core/model"
)

const (
	trials   = 200
	maxBytes = 3 * BufferBytes
)

func identify(body *Body) (prefix, whole model.Fingerprint) {
	return body.Prefix("police", "POST", "/import?"), body.Fingerprint("police", "POST", "/import?")
}

// read returns a body as an entry reads it. Its length is -1 when it comes in chunks.
func read(t *testing.T, content []byte, chunked bool) *Body {
	r, err := http.NewRequest(http.MethodPost, "http://a/import", io.NopCloser(bytes.NewReader(content)))
	qt.Assert(t, err, qt.IsNil)
	r.ContentLength = int64(len(content))
	if chunked {
		r.ContentLength = -1
	}
	body, err := ReadBody(r)
	qt.Assert(t, err, qt.IsNil)
	return body
}

// streamed returns the fingerprint that a gate computes while it sends the body.
func streamed(t *testing.T, body *Body, prefix model.Fingerprint) model.Fingerprint {
	tail := NewTail(prefix, body.Length)
	sent := &tailReader{ReadCloser: body.Open(), tail: tail}
	_, err := io.CopyBuffer(io.Discard, io.LimitReader(struct{ io.Reader }{sent}, maxBytes+1), make([]byte, 1+rand.IntN(maxBytes)))
	qt.Assert(t, err, qt.IsNil)
	return tail.Fingerprint()
}

// TestFingerprints checks over random bodies that a body has the same fingerprint in every framing, read to its end or
// hashed while it is streamed, and that another body has another one.
func TestFingerprints(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for range trials {
		content := make([]byte, random.IntN(maxBytes))
		for i := range content {
			content[i] = byte(random.Uint32())
		}
		var prefixes, all []model.Fingerprint
		for _, chunked := range []bool{false, true} {
			prefix, _ := identify(read(t, content, chunked))
			prefixes = append(prefixes, prefix)
			if prefix != 0 {
				all = append(all, streamed(t, read(t, content, chunked), prefix))
			}
			spooled := read(t, content, chunked)
			_, err := NewSpool(2 * maxBytes).Read(spooled)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, bytes.Equal(spooled.Small, content), qt.IsTrue)
			prefix, whole := identify(spooled)
			prefixes, all = append(prefixes, prefix), append(all, whole)
		}
		for _, other := range prefixes {
			qt.Assert(t, other, qt.Equals, prefixes[0])
		}
		for _, other := range all {
			qt.Assert(t, other, qt.Equals, all[0])
		}
		qt.Assert(t, prefixes[0] != 0, qt.Equals, len(content) > BufferBytes)
		if len(content) > BufferBytes {
			content[len(content)-1]++
			changed := read(t, content, true)
			prefix, _ := identify(changed)
			qt.Assert(t, prefix, qt.Equals, prefixes[0])
			qt.Assert(t, streamed(t, changed, prefix), qt.Not(qt.Equals), all[0])
		}
	}
}

func TestSpool(t *testing.T) {
	const text = "0123456789"
	tests := []struct {
		name      string
		rest      io.Reader
		room      int
		wantSmall string
		wantWhole bool
		wantErr   bool
	}{
		{name: "whole", rest: strings.NewReader(text), room: 100, wantSmall: text, wantWhole: true},
		{name: "byte by byte", rest: iotest.OneByteReader(strings.NewReader(text)), room: 100, wantSmall: text, wantWhole: true},
		{name: "no room for the end", rest: strings.NewReader(text), room: 4, wantSmall: text[:4]},
		{name: "no room", rest: strings.NewReader(text)},
		{
			name: "a body that breaks off isn't taken for a whole one", room: 100, wantSmall: text, wantErr: true,
			rest: io.MultiReader(strings.NewReader(text), iotest.ErrReader(io.ErrUnexpectedEOF)),
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			spool := NewSpool(test.room)
			body := &Body{Rest: test.rest, Length: -1}
			taken, err := spool.Read(body)
			qt.Assert(t, err != nil, qt.Equals, test.wantErr)
			qt.Assert(t, string(body.Small), qt.Equals, test.wantSmall)
			qt.Assert(t, body.Rest == nil, qt.Equals, test.wantWhole)
			qt.Assert(t, taken <= test.room, qt.IsTrue)
			spool.Release(taken)
			qt.Assert(t, spool.free, qt.Equals, test.room)
		})
	}
}
