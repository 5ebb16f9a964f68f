package setup_test

import (
	"testing"

	"comfreytack/core/setup"
)

// FuzzParse checks that settings are either refused with a fault or complete.
func FuzzParse(f *testing.F) {
	const good = `{"name":"a","service":"s","failure_domain":"d","callers":"127.0.0.1:1","gate":"127.0.0.1:2","peer":"127.0.0.1:3",` +
		`"operators":"127.0.0.1:4","upstream":"127.0.0.1:5","platform":["127.0.0.1:6"],"stop_ms":6e3}`
	for _, text := range []string{"", "{}", good, `{"stop_ms":-1}`, `{"name":1}`, `{"callers":"nowhere"}`, `{"warmup":{"overshoot":0.5,"tolerance":8}}`} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		settings, err := setup.Parse("settings.json", []byte(text))
		if err != nil {
			return
		}
		if settings.Name == "" || settings.Service == "" || settings.Gate == "" || len(settings.Platform) == 0 || settings.StopMs < 0 {
			t.Fatalf("%q was accepted as %+v", text, settings)
		}
	})
}
