package peers

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"testing"

	"github.com/sourcegraph/jsonrpc2"
)

// FuzzFrames checks that no bytes of a peer make the codec panic or take more memory than was sent.
func FuzzFrames(f *testing.F) {
	frame := func(text string) []byte { return append(binary.AppendUvarint(nil, uint64(len(text))), text...) }
	f.Add(frame(`{"jsonrpc":"2.0","method":"gossip","params":{}}`))
	f.Add(frame(`{"jsonrpc":"2.0","method":"gossip","params":[[[[`))
	f.Add(frame(`null`))
	f.Add(binary.AppendUvarint(nil, MaxMessageBytes))
	f.Add(bytes.Repeat([]byte{0xff}, 11))
	f.Fuzz(func(t *testing.T, data []byte) {
		stream := bufio.NewReader(bytes.NewReader(data))
		for {
			var request jsonrpc2.Request
			if (codec{}).ReadObject(stream, &request) != nil {
				return
			}
			if request.Params != nil && len(*request.Params) > len(data) {
				t.Fatalf("%d bytes of parameters from %d", len(*request.Params), len(data))
			}
		}
	})
}
