package start

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"comfreytack/core/setup"
	"comfreytack/core/wire"
)

// BenchmarkCall sends requests one after another over a persistent connection: without a key, with a key whose home
// is the entry itself, and with a key whose home is another daemon. Keys are fetched in batches while the timer is
// stopped.
func BenchmarkCall(b *testing.B) {
	const batch = 256
	_, f := startCounterBy(b, startDaemon)
	tests := []struct {
		name  string
		entry setup.Settings
		keyed bool
	}{
		{name: "no_key", entry: f.daemons[0]},
		{name: "key_at_entry", entry: f.daemons[0], keyed: true},
		{name: "key_elsewhere", entry: f.daemons[1], keyed: true},
	}
	for _, test := range tests {
		b.Run(test.name, func(b *testing.B) {
			client := &http.Client{Transport: &http.Transport{}}
			var keys []string
			b.ReportAllocs()
			for b.Loop() {
				if test.keyed && len(keys) == 0 {
					b.StopTimer()
					keys = fetchKeys(b, f.daemons[0], batch)
					b.StartTimer()
				}
				request := holdRequest(test.entry)
				if test.keyed {
					request.Header.Set(wire.HeaderIdempotencyKey, keys[0])
					request.Header.Set(wire.HeaderSend, "1")
					keys = keys[1:]
				}
				exchangeHold(b, client, request)
			}
		})
	}
}

func holdRequest(entry setup.Settings) *http.Request {
	request, _ := http.NewRequest(http.MethodPost, "http://"+string(entry.Callers)+"/svc/reservas/holds", io.NopCloser(strings.NewReader("cot")))
	request.ContentLength = 3
	request.Header.Set(wire.HeaderCustomer, "police")
	return request
}

func exchangeHold(b *testing.B, client *http.Client, request *http.Request) {
	b.Helper()
	answer, err := client.Do(request)
	if err != nil {
		b.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, answer.Body)
	_ = answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		b.Fatal(answer.Status, answer.Header)
	}
}
