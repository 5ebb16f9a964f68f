package peers

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"log/slog"
	"math"
	"testing"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"comfreytack/cftd/intake"
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
		budget := intake.NewBudget(intake.BudgetSettings{
			Bytes: math.MaxInt64, Conns: 1, Now: time.Now, Count: func(string, string) {}, Log: slog.New(slog.DiscardHandler),
		})
		decoder := &codec{conn: &timedConn{}, account: budget.Open(portName, "", connBytes, func() {})}
		stream := bufio.NewReader(bytes.NewReader(data))
		for {
			var request jsonrpc2.Request
			if decoder.ReadObject(stream, &request) != nil {
				return
			}
			if request.Params != nil && len(*request.Params) > len(data) {
				t.Fatalf("%d bytes of parameters from %d", len(*request.Params), len(data))
			}
		}
	})
}
