package setup_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"comfreytack/core/setup"
)

// TestBoundsOfNumbers checks the numbers of the settings that state what the machine and the platform allow.
func TestBoundsOfNumbers(t *testing.T) {
	tests := []struct {
		name    string
		setting string
		allowed bool
	}{
		{name: "no share of retries", setting: `"retry_share":0`, allowed: true},
		{name: "a share of retries", setting: `"retry_share":0.2`, allowed: true},
		{name: "a negative share", setting: `"retry_share":-0.1`},
		{name: "more than all calls", setting: `"retry_share":1.1`},
		{name: "a link", setting: `"limits":{"bandwidth_mbps":17.0}`, allowed: true},
		{name: "an unknown link", setting: `"limits":{"bandwidth_mbps":0}`, allowed: true},
		{name: "a negative link", setting: `"limits":{"bandwidth_mbps":-1}`},
		{name: "a link that no machine has", setting: `"limits":{"bandwidth_mbps":1e12}`},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, err := setup.Parse("settings.json", fmt.Appendf(nil, `{"name":"a","service":"b","failure_domain":"c",`+
				`"callers":"127.0.0.1:1","gate":"127.0.0.1:2","peer":"127.0.0.1:3","operators":"127.0.0.1:4","upstream":"127.0.0.1:5",`+
				`"platform":["127.0.0.1:6"],%s}`, test.setting))
			qt.Assert(t, err == nil, qt.Equals, test.allowed)
		})
	}
}
