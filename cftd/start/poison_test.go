package start

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"comfreytack/core/command/poison"
	"comfreytack/core/model"
	"comfreytack/core/wire"
)

const (
	uploadBytes = 300_000
	// outage is how long an upstream that crashed refuses connections.
	outage = 100 * time.Millisecond
	// maxCrashes is the bound of the crashes: three, and three late retries.
	maxCrashes = 6
	// uploads is how often the upload is sent at most.
	uploads = 40
	// poisoned is the last byte of a body that crashes the upstream.
	poisoned = '!'
)

// fragile is an upstream that crashes when it runs a poisoned request.
type fragile struct {
	address model.Address
	crashes atomic.Int64
	up      atomic.Bool
	// early crashes it as soon as it has read the beginning of such a body.
	early bool
}

func (f *fragile) listen(t *testing.T) {
	listener, err := net.Listen("tcp", string(f.address))
	qt.Assert(t, err, qt.IsNil)
	f.address = model.Address(listener.Addr().String())
	server := &http.Server{}
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/healthz" {
			_, _ = io.WriteString(w, `{"draining":false,"in_flight":0,"slots":10}`)
			return
		}
		if f.early && r.Header.Get("X-Poisoned") != "" {
			_, _ = r.Body.Read(make([]byte, 1))
			f.crash(t, server)
		}
		body, _ := io.ReadAll(r.Body)
		if bytes.HasSuffix(body, []byte{poisoned}) {
			f.crash(t, server)
		}
	})
	f.up.Store(true)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
}

// crash closes all connections, and listens again after the outage.
func (f *fragile) crash(t *testing.T, server *http.Server) {
	f.crashes.Add(1)
	f.up.Store(false)
	_ = server.Close()
	time.AfterFunc(outage, func() { f.listen(t) })
	panic(http.ErrAbortHandler)
}

// TestUploadThatCrashesUpstreams sends a long upload that crashes each upstream that runs it again and again, and
// another one that differs from it in the last byte. The first must be quarantined, the other served.
func TestUploadThatCrashesUpstreams(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name   string
		length int64
		early  bool
	}{
		{name: "with a length", length: uploadBytes},
		{name: "in chunks", length: -1},
		{name: "with a length, crashes at its beginning", length: uploadBytes, early: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			upstream := &fragile{address: "127.0.0.1:0", early: test.early}
			upstream.listen(t)
			f := startFleetOf(t, 2, upstream.address)
			send := func(nth int, last byte) (int, string) {
				eventually(t, upstream.up.Load)
				body := append(bytes.Repeat([]byte("row\n"), uploadBytes/4-1), "row"...)
				request, err := http.NewRequest(http.MethodPost, "http://"+string(f.daemons[nth%2].Callers)+"/svc/reservas"+bulkPath,
					io.NopCloser(bytes.NewReader(append(body, last))))
				qt.Assert(t, err, qt.IsNil)
				request.ContentLength = test.length
				request.Header.Set(wire.HeaderCustomer, "police")
				if last == poisoned {
					request.Header.Set("X-Poisoned", "yes")
				}
				answer, err := http.DefaultClient.Do(request)
				qt.Assert(t, err, qt.IsNil)
				qt.Assert(t, answer.Body.Close(), qt.IsNil)
				return answer.StatusCode, answer.Header.Get(wire.HeaderReason)
			}
			refused := 0
			for i := 0; i < uploads && refused < poison.CrashesToQuarantine*len(f.daemons); i++ {
				if _, reason := send(i, poisoned); reason == model.Quarantined.String() {
					refused++
				}
			}
			qt.Assert(t, refused, qt.Equals, poison.CrashesToQuarantine*len(f.daemons))
			qt.Assert(t, upstream.crashes.Load() <= maxCrashes, qt.IsTrue, qt.Commentf("%d crashes", upstream.crashes.Load()))
			for i := range f.daemons {
				status, reason := send(i, '\n')
				qt.Assert(t, status, qt.Equals, http.StatusOK, qt.Commentf("%s", reason))
			}
			t.Log("crashes:", upstream.crashes.Load())
		})
	}
}
