package wire_test

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"comfreytack/core/model"
	"comfreytack/core/wire"
)

// FuzzReadCall checks that any header decodes to a call or to a failure with verdict NotRun, and that a decoded call
// is encoded again without a change.
func FuzzReadCall(f *testing.F) {
	for _, text := range []string{"", "d=1000", "i=7&c=police&s=reservas&d=1000&f=fe&k=2&t=200&n=i-7&o=hop&y=1", "d=%zz", "d=-1", "d=1&k=x", "d=99999999999999999999"} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		r := httptest.NewRequest(http.MethodGet, "/", nil)
		r.Header[wire.HeaderCall] = []string{text}
		call, err := wire.ReadCall(r, callNow)
		if err != nil {
			failure, known := err.(*model.Failure)
			if !known || failure.Verdict != model.NotRun {
				t.Fatalf("%q: %v", text, err)
			}
			return
		}
		again := httptest.NewRequest(http.MethodGet, "/", nil)
		wire.SetCall(again.Header, call, callNow)
		copied, err := wire.ReadCall(again, callNow)
		if err != nil || copied.ID != call.ID || copied.Deadline != call.Deadline || copied.Fingerprint != call.Fingerprint || copied.Service != call.Service {
			t.Fatalf("%q: %+v became %+v, %v", text, call, copied, err)
		}
	})
}

// FuzzReadReport checks that a decoded report is encoded again without a change.
func FuzzReadReport(f *testing.F) {
	for _, text := range []string{"", "reservas-2,7,3,0,9,0,e8,2s,0,1f", "a,b,1,2,3,4,5,6,7,1,9", ",,,,,,,,,", "a,-1,2,3,4,5,6,7,8,9"} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		report, known := wire.ReadReport(http.Header{wire.HeaderReport: {text}})
		if !known {
			return
		}
		header := http.Header{}
		wire.SetReport(header, report)
		if copied, found := wire.ReadReport(header); !found || copied != report {
			t.Fatalf("%q: %+v became %+v", text, report, copied)
		}
	})
}
