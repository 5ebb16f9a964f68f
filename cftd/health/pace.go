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
	// PaceMaxAge is the age up to which a reading of the pace is used as it is.
	PaceMaxAge = 25 * time.Millisecond
	// PaceTimeout is how long a daemon waits for one answer; the upstream gives it at once or not at all.
	PaceTimeout = 25 * time.Millisecond
)

// PaceSettings has the explicit dependencies of a Pace.
type PaceSettings struct {
	// Upstream is the address of the upstream beside the daemon.
	Upstream model.Address
	// Path returns where the upstream tells its load; empty while that is not known or there is none.
	Path func() string
	// Client makes the requests.
	Client *http.Client
	// Timeout bounds one question.
	Timeout time.Duration
	// Percent reads the pace from an answer; zero when it does not say.
	Percent func(http.Header) int
	// Now reads the clock, with its monotonic part.
	Now func() time.Time
}

// Pace knows how fast the upstream's machine is. Answers tell it; when none came lately and somebody needs to
// know, the upstream is asked.
type Pace struct {
	settings PaceSettings
	mu       sync.Mutex
	last     pace.Reading
	// pending is closed when the question that is under way has ended; nil when there is none.
	pending chan struct{}
	// neverReported is true while the upstream has never told a pace: then it is not asked.
	neverReported bool
}

// NewPace returns a Pace that knows nothing.
func NewPace(settings PaceSettings) *Pace {
	return &Pace{settings: settings, neverReported: true}
}

// Observe takes what an answer says.
func (p *Pace) Observe(percent int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.neverReported = false
	p.last = pace.Reading{Percent: percent, At: p.settings.Now()}
}

// Last returns the newest reading.
func (p *Pace) Last() pace.Reading {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.last
}

// Read returns a fresh reading, or the newest there is when the upstream does not tell.
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

// query asks the upstream once. Whoever gave up waiting does not end the question for the others.
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

// queryUpstream returns what the upstream says; zero when it says nothing, which its calls will show better.
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
