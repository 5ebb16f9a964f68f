package ledger_test

import (
	"runtime"
	"strconv"
	"testing"
	"time"

	"github.com/samber/mo"

	"comfreytack/core/command/ledger"
	"comfreytack/core/model"
)

var benchSettings = ledger.Settings{Keys: 1024, AnswerBytes: 128 << 10, AnswerLifetime: time.Minute}

// BenchmarkKey issues a key, runs its request and answers one resend from memory.
func BenchmarkKey(b *testing.B) {
	l := ledger.New("reservas-2", incarnation, benchSettings, func(text *string) int { return len(*text) })
	now := time.Unix(1000, 0)
	text := "cot 4"
	b.ReportAllocs()
	for b.Loop() {
		key := l.Issue("police", 1)[0]
		call := model.Call{Customer: "police", Key: mo.Some(key), Send: 1, Fingerprint: 7}
		l.Begin(now, call)
		l.Finish(now, call, ledger.Outcome[string]{Verdict: model.Ran, Answer: &text})
		l.Begin(now, call)
	}
}

// BenchmarkRemembered reports the bytes of memory for each remembered key, without its answer.
func BenchmarkRemembered(b *testing.B) {
	const customers = 100
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		l := ledger.New("reservas-2", incarnation, benchSettings, func(text *string) int { return len(*text) })
		for customer := range customers {
			l.Issue(model.Customer(strconv.Itoa(customer)), benchSettings.Keys)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(customers*benchSettings.Keys), "B/key")
		runtime.KeepAlive(l)
	}
}
