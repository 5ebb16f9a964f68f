// Package flight tracks the requests that run on the daemon's local upstream, so that a crash is attributed
// to those that were in flight.
package flight

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"comfreytack/core/command/poison"
	"comfreytack/core/model"
)

const (
	// breakWindow is the longest time over which the connections of a crashed upstream break.
	breakWindow = time.Second
	// maxUnanswered bounds the unanswered runs that are remembered.
	maxUnanswered = 1024
)

// Settings has the explicit dependencies of a Tracker.
type Settings struct {
	// Self is the daemon's local upstream.
	Self model.Upstream
	// Detector remembers crashes by fingerprint.
	Detector *poison.Detector
	// DetectorChanged is called after a crash was recorded in Detector, to notify the control goroutine; it must not
	// block.
	DetectorChanged func()
	// Now reads the clock, with its monotonic part.
	Now func() time.Time
	// Down reports whether the upstream refuses new connections, as it does after a crash.
	Down func() bool
	// RecheckDelay is the delay before Down is called a second time: a process that exits may break its connections
	// before it stops accepting new ones.
	RecheckDelay time.Duration
}

// Tracker tracks the running requests and attributes crashes to their fingerprints.
type Tracker struct {
	settings Settings

	mu      sync.Mutex
	running map[*Run]struct{}
	// ids has the running requests by ID.
	ids map[string]sends
	// unanswered has the runs that ended without the upstream's whole answer, in the order in which they ended.
	unanswered []unansweredRun
	// incarnation is the incarnation that the last crash was attributed to; it increases with each crash.
	incarnation model.Incarnation
	crashedAt   time.Time
	// crashedAt is the time of the last crash, and previousCrashAt that of the crash before it. Runs that started
	// before previousCrashAt do not belong to the last crash.
	previousCrashAt time.Time
	// aloneEnded is closed and replaced when a suspect that ran alone has ended.
	aloneEnded chan struct{}
}

// sends are the running sends of one request.
type sends struct {
	// count is at least 1.
	count int
	// rank is the request's rank.
	rank int
}

// Run is one admitted request.
type Run struct {
	tracker     *Tracker
	id          string
	rank        int
	fingerprint model.Fingerprint
	prefix      model.Fingerprint
	// streamed returns the fingerprint of a body that is hashed while it is sent, or zero before its end; nil for other
	// bodies.
	streamed func() model.Fingerprint
	alone    bool
	// deadline is when the upstream gives the request up by itself.
	deadline time.Time
	// startedAt is when the request went to the upstream; zero while it waits.
	startedAt time.Time
}

// unansweredRun is a run that ended without the upstream's whole answer: its connection broke, its caller left, its
// deadline passed or what came was no answer to it.
type unansweredRun struct {
	run *Run
	// broken is true when the upstream's end of the connection broke.
	broken bool
	// until is how long a crash may still come from it.
	until time.Time
}

// New returns a Tracker without requests.
func New(settings Settings) *Tracker {
	return &Tracker{
		settings:    settings,
		running:     map[*Run]struct{}{},
		ids:         map[string]sends{},
		incarnation: settings.Self.Incarnation,
		aloneEnded:  make(chan struct{}),
	}
}

// Begin admits a request, or refuses it with verdict NotRun. A suspect waits until no other suspect runs on
// this upstream. A request whose body is not known to its end is judged by its prefix. End must be called once on the
// returned run.
func (t *Tracker) Begin(ctx context.Context, call model.Call) (*Run, *model.Failure) {
	for {
		aloneEnded := t.aloneEndedChan()
		judged := cmp.Or(call.Fingerprint, call.Prefix)
		switch t.settings.Detector.Begin(t.settings.Now(), judged, call.Suspect && judged != 0) {
		case poison.Barred:
			return nil, &model.Failure{Verdict: model.NotRun, Reason: model.Quarantined}
		case poison.Free:
			return t.newRun(call, false), nil
		case poison.Alone:
			return t.newRun(call, true), nil
		case poison.Busy:
		}
		select {
		case <-aloneEnded:
		case <-ctx.Done():
			return nil, &model.Failure{Verdict: model.NotRun, Reason: model.SlotsShort, Cause: ctx.Err()}
		}
	}
}

func (t *Tracker) newRun(call model.Call, alone bool) *Run {
	return &Run{tracker: t, id: call.ID, rank: call.Rank, fingerprint: call.Fingerprint, prefix: call.Prefix, alone: alone, deadline: call.RunDeadline()}
}

// Watch sets the function that returns the fingerprint of a streamed body, or zero before its end has been read. It is
// called before Start.
func (r *Run) Watch(streamed func() model.Fingerprint) { r.streamed = streamed }

// whole returns the fingerprint of the request, or zero when its body is not known to its end.
func (r *Run) whole() model.Fingerprint {
	if r.streamed == nil {
		return r.fingerprint
	}
	return r.streamed()
}

// Start records that the request is being sent to the upstream now.
func (r *Run) Start() {
	t := r.tracker
	t.mu.Lock()
	defer t.mu.Unlock()
	r.startedAt = t.settings.Now()
	t.running[r] = struct{}{}
	t.ids[r.id] = sends{count: t.ids[r.id].count + 1, rank: r.rank}
}

// Running reports whether the upstream is working on the request with the given ID, and that request's rank.
func (t *Tracker) Running(id string) (rank int, running bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	found, running := t.ids[id]
	return found.rank, running
}

// End records how the request ended: with a complete answer if failure is nil. That clears the request, but not its
// prefix, which others share. The upstream may go on with a request that has no answer until its deadline; as a suspect
// it keeps others waiting until then.
func (r *Run) End(failure *model.Failure) {
	t := r.tracker
	worksOn := t.finish(r, failure)
	if failure == nil {
		t.settings.Detector.Succeeded(r.whole())
	}
	switch {
	case r.alone && worksOn > 0:
		time.AfterFunc(worksOn, t.endAlone)
	case r.alone:
		t.endAlone()
	}
}

func (t *Tracker) endAlone() {
	t.settings.Detector.EndAlone()
	t.signalAloneEnded()
}

// finish removes the run, and checks for a crash if its connection broke or none was to be had. It returns how long the
// upstream may go on with the request.
func (t *Tracker) finish(r *Run, failure *model.Failure) (worksOn time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.removeRunning(r)
	if failure == nil {
		return 0
	}
	now := t.settings.Now()
	switch {
	case failure.Reason == model.UpstreamDied:
		t.remember(now, unansweredRun{run: r, broken: true, until: now.Add(breakWindow)})
		go t.confirmCrash(r.startedAt, now)
	case failure.Reason == model.UpstreamDown:
		if last := t.lastLeft(now); last.After(t.crashedAt) {
			go t.confirmCrash(last, now)
		}
	case failure.Verdict != model.NotRun && !r.startedAt.IsZero():
		worksOn = max(0, r.deadline.Sub(now))
		t.remember(now, unansweredRun{run: r, until: now.Add(worksOn + breakWindow)})
	}
	return worksOn
}

// remember adds an unanswered run, and drops those from which no crash can come any more. The caller holds the lock.
func (t *Tracker) remember(now time.Time, ended unansweredRun) {
	t.unanswered = slices.DeleteFunc(t.unanswered, func(u unansweredRun) bool { return now.After(u.until) })
	if len(t.unanswered) == maxUnanswered {
		t.unanswered = slices.Delete(t.unanswered, 0, 1)
	}
	t.unanswered = append(t.unanswered, ended)
}

// lastLeft returns when the last request was sent with which the upstream may still have been at work when the daemon no
// longer waited for it; zero if there is none. The caller holds the lock.
func (t *Tracker) lastLeft(now time.Time) time.Time {
	var last time.Time
	for _, u := range t.unanswered {
		if !u.broken && !now.After(u.until) && u.run.startedAt.After(last) {
			last = u.run.startedAt
		}
	}
	return last
}

// removeRunning removes the run if it had started. The caller holds the lock.
func (t *Tracker) removeRunning(r *Run) {
	if _, started := t.running[r]; !started {
		return
	}
	delete(t.running, r)
	left := sends{count: t.ids[r.id].count - 1, rank: r.rank}
	if left.count == 0 {
		delete(t.ids, r.id)
		return
	}
	t.ids[r.id] = left
}

// confirmCrash records a crash if the upstream is down after a connection broke or was refused. startedAt is when the last
// request was sent that the crash may have come from.
func (t *Tracker) confirmCrash(startedAt, brokenAt time.Time) {
	if !t.settings.Down() {
		time.Sleep(t.settings.RecheckDelay)
		if !t.settings.Down() {
			return
		}
	}
	incarnation, suspects := t.recordCrash(startedAt, brokenAt)
	t.settings.Detector.Crashed(brokenAt, t.settings.Self.Name, incarnation, suspects)
	t.settings.DetectorChanged()
}

// recordCrash returns the incarnation that crashed and the requests in flight at the crash. A request without an answer
// that started after the last crash means that the upstream had restarted in between, so this is a new crash.
func (t *Tracker) recordCrash(startedAt, brokenAt time.Time) (model.Incarnation, []poison.Run) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if startedAt.After(t.crashedAt) {
		t.incarnation++
		t.previousCrashAt = t.crashedAt
		t.crashedAt = brokenAt
	}
	return t.incarnation, t.suspects()
}

// suspects returns the requests in flight at the last crash. Of those with the same fingerprint it returns the one that
// was sent last. The caller holds the lock.
func (t *Tracker) suspects() []poison.Run {
	started := map[model.Fingerprint]time.Time{}
	add := func(r *Run) {
		startedAt := r.startedAt
		if r.alone {
			// A suspect was sent after an earlier crash.
			startedAt = t.crashedAt
		}
		for _, fingerprint := range []model.Fingerprint{r.whole(), r.prefix} {
			if fingerprint != 0 && !startedAt.Before(started[fingerprint]) {
				started[fingerprint] = startedAt
			}
		}
	}
	for r := range t.running {
		add(r)
	}
	for _, u := range t.unanswered {
		if u.run.startedAt.After(t.previousCrashAt) && !u.until.Before(t.crashedAt) {
			add(u.run)
		}
	}
	suspects := make([]poison.Run, 0, len(started))
	for fingerprint, startedAt := range started {
		suspects = append(suspects, poison.Run{Fingerprint: fingerprint, StartedAt: startedAt})
	}
	return suspects
}

func (t *Tracker) aloneEndedChan() chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.aloneEnded
}

func (t *Tracker) signalAloneEnded() {
	t.mu.Lock()
	defer t.mu.Unlock()
	close(t.aloneEnded)
	t.aloneEnded = make(chan struct{})
}
