package health

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"comfreytack/core/command/warm"
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
	// WarmupLeft reads from the headers of an answer at Path how much longer the upstream is cold; zero when it is warm.
	WarmupLeft func(http.Header) time.Duration
	// Warmth takes what WarmupLeft reads, and says when a reading of it is needed.
	Warmth *warm.Limiter
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
// reading when the upstream reports none or ctx ends. Concurrent readers share one query. A query for the warm-up alone
// is not waited for.
func (p *Pace) Read(ctx context.Context) pace.Reading {
	p.mu.Lock()
	if p.neverReported || p.settings.Now().Sub(p.last.At) < PaceMaxAge {
		defer p.mu.Unlock()
		if p.settings.Warmth.NeedsReading(p.settings.Now()) {
			p.join()
		}
		return p.last
	}
	pending := p.join()
	p.mu.Unlock()
	wait(ctx, pending)
	return p.Last()
}

// Refresh queries the upstream and returns when the query, or one that was in progress, has ended.
func (p *Pace) Refresh(ctx context.Context) {
	p.mu.Lock()
	pending := p.join()
	p.mu.Unlock()
	wait(ctx, pending)
}

// join returns the end of the query in progress, and starts one if there is none. The caller holds the lock.
func (p *Pace) join() chan struct{} {
	if p.pending == nil {
		p.pending = make(chan struct{})
		go p.query(p.pending)
	}
	return p.pending
}

func wait(ctx context.Context, ended chan struct{}) {
	select {
	case <-ended:
	case <-ctx.Done():
	}
}

// query queries the upstream once and closes pending. It does not depend on the context of any reader, so that a reader
// that gives up does not end the query for the others.
func (p *Pace) query(pending chan struct{}) {
	percent := 0
	askedAt := p.settings.Now()
	if header, answered := p.queryUpstream(); answered {
		percent = p.settings.Percent(header)
		p.settings.Warmth.Observe(askedAt, p.settings.Now(), p.settings.WarmupLeft(header))
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if percent > 0 {
		p.neverReported = false
		p.last = pace.Reading{Percent: percent, At: p.settings.Now()}
	}
	p.pending = nil
	close(pending)
}

// queryUpstream returns the headers of the upstream's answer, or false when it does not answer. Errors are ignored:
// calls show better than a query that an upstream is failing.
func (p *Pace) queryUpstream() (http.Header, bool) {
	path := p.settings.Path()
	if path == "" {
		return nil, false
	}
	ctx, cancel := context.WithTimeout(context.Background(), p.settings.Timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+string(p.settings.Upstream)+path, nil)
	if err != nil {
		return nil, false
	}
	response, err := p.settings.Client.Do(request)
	if err != nil {
		return nil, false
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.Header, true
}
