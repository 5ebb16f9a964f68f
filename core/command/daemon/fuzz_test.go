package daemon_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/go-json-experiment/json"

	"comfreytack/core/command/daemon"
	"comfreytack/core/command/gossip"
)

// FuzzMessages checks that no message of another daemon breaks the control state: it stays usable, its revision never
// falls, and what it sends can be encoded.
func FuzzMessages(f *testing.F) {
	from := `"from":{"name":"10.1.0.2","incarnation":1,"service":"reservas","failure_domain":"quito","address":"10.1.0.2:7635"},`
	for _, seed := range []string{
		`{}`,
		`{` + from + `"digest":{"revision":9,"ready":true},"want":{"after":1,"nonce":7}}`,
		`{` + from + `"digest":{"revision":9},"want":{"after":0,"whole":true,"services":["reservas"],"nonce":1}}`,
		`{` + from + `"digest":{"revision":9},"answers":1,"delta":{"after":1,"revision":9,"changes":[{"key":"instances/i-1","revision":9,"deleted":true},{"key":"document","revision":8,"value":{"version":0}}]}}`,
		`{` + from + `"digest":{"revision":18446744073709551615},"copy":{"revision":18446744073709551615,"changes":[{"key":"x","revision":1,"value":null}],"refusals":[{"key":"document","revision":3,"line":1,"found":"x"}]}}`,
		`{` + from + `"digest":{"revision":9},"fresh":{"age_ms":-9223372036854775808,"reader":"10.1.0.2"},"report":{"fresh":{"age_ms":9223372036854775807},"revision":9,"rest":{}}}`,
		`{` + from + `"digest":{"revision":9},"leaves":[{"upstream":"10.1.0.1","incarnation":18446744073709551615,"leaving":true,"stopping":true}],"reads":[{}],"crashes":[{}]}`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var message gossip.Message
		if json.Unmarshal(data, &message) != nil {
			return
		}
		l := newLeasedDaemon(t)
		l.read(published("document", fmt.Sprintf(listedDocument, 2)), instance("i-2", 2, 10, 1, 0))
		before := l.state.Config.Complete
		effects := l.state.Apply(l.now, daemon.MessageReceived{Message: message})
		for range 3 {
			l.now = l.now.Add(time.Second)
			effects = append(effects, l.state.Tick(l.now, 0)...)
		}
		l.read(instance("i-3", 3, 10, 1, 0))
		if l.state.Config.Complete < before || l.state.Snapshot(l.now).Revision < before {
			t.Fatalf("the revision fell from %d to %d", before, l.state.Config.Complete)
		}
		for _, effect := range effects {
			if send, ok := effect.(daemon.SendPeer); ok {
				if _, err := json.Marshal(send.Message); err != nil {
					t.Fatalf("message can't be encoded: %v", err)
				}
			}
		}
	})
}
