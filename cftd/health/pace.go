package health

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"comfreytack/core/model"
	"comfreytack/core/query/pace"
)

const (
	// PaceMaxAge is the age from which a reading of the pace is too old to use without querying the upstream.
	PaceMaxAge = 25 * time.Millisecond
	// PaceTimeout is how long a daemon waits for the answer to one query; an upstream answers at once or not at all.
	PaceTimeout = 25 * time.Millisecond
)

// PaceSettings has the explicit dependencies of a Pace.
type PaceSettings struct {
	// Upstream is the address of the upstream beside this daemon.
	Upstream model.Address
	// Path returns the path at which the upstream reports its load; empty while it is unknown or when there is none.
	Path func() string
	// Client sends the queries.
	Client *http.Client
	// Timeout bounds one query.
	Timeout time.Duration
	// Percent reads the pace from the headers of an answer; zero when they do not report it.
	Percent func(http.Header) int
	// Now reads the clock, with its monotonic part.
	Now func() time.Time
}

// Pace tracks the pace of the upstream's machine: how long work takes on it now, in percent of the usual time. Readings
// come from the upstream's answers. When the last one is out of date and a caller needs a reading, Pace queries the
// upstream.
type Pace struct {
	settings PaceSettings
	mu       sync.Mutex
	last     pace.Reading
	// pending is closed when the query in progress has ended; nil when there is none.
	pending chan struct{}
	// neverReported is true while no answer has reported a pace; the upstream is not queried then.
	neverReported bool
}

// NewPace returns a Pace without a reading.
func NewPace(settings PaceSettings) *Pace {
	return &Pace{settings: settings, neverReported: true}
}

// Observe records the pace that an answer reported.
func (p *Pace) Observe(percent int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.neverReported = false
	p.last = pace.Reading{Percent: percent, At: p.settings.Now()}
}

// Last returns the newest reading without querying the upstream.
func (p *Pace) Last() pace.Reading {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.last
}

// Read returns a reading younger than PaceMaxAge, and queries the upstream for one if necessary. It returns the newest
// reading when the upstream reports none or ctx ends. Concurrent readers share one query.
func (p *Pace) Read(ctx context.Context) pace.Reading {
	p.mu.Lock()
	if p.neverReported || p.settings.Now().Sub(p.last.At) < PaceMaxAge {
		defer p.mu.Unlock()
		return p.last
	}
	pending := p.pending
	if pending == nil {
		pending = make(chan struct{})
		p.pending = pending
		go p.query(pending)
	}
	p.mu.Unlock()
	select {
	case <-pending:
	case <-ctx.Done():
	}
	return p.Last()
}

// query queries the upstream once and closes pending. It does not depend on the context of any reader, so that a reader
// that gives up does not end the query for the others.
func (p *Pace) query(pending chan struct{}) {
	percent := p.queryUpstream()
	p.mu.Lock()
	defer p.mu.Unlock()
	if percent > 0 {
		p.last = pace.Reading{Percent: percent, At: p.settings.Now()}
	}
	p.pending = nil
	close(pending)
}

// queryUpstream returns the pace that the upstream reports, or zero when it reports none. Errors are ignored: calls
// show better than a query that an upstream is failing.
func (p *Pace) queryUpstream() int {
	path := p.settings.Path()
	if path == "" {
		return 0
	}
	ctx, cancel := context.WithTimeout(context.Background(), p.settings.Timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+string(p.settings.Upstream)+path, nil)
	if err != nil {
		return 0
	}
	response, err := p.settings.Client.Do(request)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
	return p.settings.Percent(response.Header)
}
