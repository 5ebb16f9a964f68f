// Package safety checks the promises about one request in a model of the whole path.
package safety

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/samber/mo"

	"comfreytack/core/command/admit"
	"comfreytack/core/command/ledger"
	"comfreytack/core/model"
	"comfreytack/core/query/proof"
)

const (
	customer      = "policia-norte"
	homes         = 2
	requests      = 3
	unnumbered    = 2 // the request whose caller does not number its sends
	rememberKeys  = 2
	remakeEnough  = 4
	queueLength   = 1
	slots         = 1
	hour          = time.Hour
	noneToldUntil = -1
)

// fault is a rejected way of building the system; the zero value is the chosen one.
type fault int

const (
	chosen fault = iota
	// homeByView finds the home by hashing over the entry's current view instead of by the key.
	homeByView
	// sameLife gives a restarted daemon the incarnation that the instance list has for its upstream.
	sameLife
	// transportReplays lets the HTTP transport send a run to the upstream again on its own.
	transportReplays
	// reopenForAll lets every send run after a refusal, also those that were told not_run.
	reopenForAll
	// silenceIsNotRun takes a broken connection for a refusal.
	silenceIsNotRun
	// bystanderVouches lets an entry say not_run of a key of which it knows one send only.
	bystanderVouches
	// watcherApart lets another goroutine than the one that sends answer for an expired ticket.
	watcherApart
	// callerReplays lets a caller's library repeat a numbered send.
	callerReplays
)

type kind int

const (
	toEntry kind = iota
	toHome
	toUpstream
	toHomeBack
	toEntryBack
	toCaller
)

var kindNames = []string{"call", "forward", "run", "result", "reply", "answer"}

// message is in flight until it is delivered or lost. Any message may be delivered next.
type message struct {
	kind    kind
	request int
	send    int
	home    int
	life    model.Incarnation
	id      uint64
	verdict model.Verdict
	answer  string
}

func (m message) String() string {
	return fmt.Sprintf("%s of request %d send %d", kindNames[m.kind], m.request, m.send)
}

type caller struct {
	key        mo.Option[model.Key]
	sends      int
	closed     int // highest send that was told not_run
	executions int
	trigger    int // send that the last execution was for
}

// ticket is a run at a home; its ID is the gate's.
type ticket struct {
	id       uint64
	call     model.Call
	message  message
	joined   []message
	sent     bool // the run left the home
	started  bool // the gate gave it a slot
	answered bool // only with watcherApart
}

type home struct {
	life    model.Incarnation
	ledger  *ledger.Ledger[string]
	gate    *admit.Gate[*admit.FIFO]
	tickets []*ticket
	paused  bool
}

type world struct {
	fault     fault
	now       time.Time
	callers   [requests]caller
	homes     [homes]*home
	flight    []message
	pending   []message // forwarded by an entry, not yet answered
	lives     model.Incarnation
	ids       uint64
	log       strings.Builder
	violation string
}

func newWorld(f fault) *world {
	w := &world{fault: f, now: time.Unix(1000, 0)}
	for i := range w.callers {
		w.callers[i].closed = noneToldUntil
	}
	for i := range w.homes {
		w.start(i)
	}
	return w
}

// start begins a new life of a home.
func (w *world) start(i int) {
	w.lives++
	h := &home{life: w.lives}
	if w.fault == sameLife || w.fault == homeByView {
		h.life = 1
	}
	settings := ledger.Settings{Keys: rememberKeys, AnswerBytes: 100, AnswerLifetime: hour}
	h.gate = admit.New(slots, admit.NewFIFO())
	h.gate.SetLimits(w.now, slots, map[model.Customer]model.Limits{customer: {Queue: queueLength, Weight: 1, LongSlots: 1}})
	if w.fault == homeByView {
		settings.Keys = remakeEnough
	}
	h.ledger = ledger.New(homeName(i), h.life, settings, func(text *string) int { return len(*text) })
	if w.fault == homeByView {
		h.ledger.Issue(customer, remakeEnough)
	}
	w.homes[i] = h
}

func homeName(i int) model.UpstreamName { return model.UpstreamName(fmt.Sprintf("reservas-%d", i)) }

func (w *world) say(format string, arguments ...any) {
	fmt.Fprintf(&w.log, format+"\n", arguments...)
}

func (w *world) violated(format string, arguments ...any) {
	if w.violation == "" {
		w.violation = fmt.Sprintf(format, arguments...)
		w.say("VIOLATION: %s", w.violation)
	}
}

// send lets a caller send its request for the first time or again.
func (w *world) send(request int) {
	c := &w.callers[request]
	if c.key.IsAbsent() {
		c.key = mo.Some(w.issue(request))
	}
	m := message{kind: toEntry, request: request}
	if request != unnumbered {
		c.sends++
		m.send = c.sends
	}
	w.flight = append(w.flight, m)
	w.say("caller sends %s", m)
}

func (w *world) issue(request int) model.Key {
	if w.fault == homeByView {
		return model.Key{Home: homeName(0), Incarnation: 1, Sequence: uint64(request + 1)}
	}
	return w.homes[0].ledger.Issue(customer, 1)[0]
}

// deliver hands a message to its receiver, unless that is paused.
func (w *world) deliver(i int) {
	m := w.flight[i]
	if (m.kind == toHome || m.kind == toHomeBack) && w.homes[m.home].paused {
		return
	}
	w.flight = slices.Delete(w.flight, i, i+1)
	w.say("deliver %s", m)
	switch m.kind {
	case toEntry:
		w.forward(m)
	case toHome:
		w.arrive(m)
	case toUpstream:
		w.execute(m)
	case toHomeBack:
		w.returned(m)
	case toEntryBack:
		w.relay(m)
	case toCaller:
		w.told(m)
	}
}

// forward sends a call from an entry to the home of its key. With homeByView the view alternates.
func (w *world) forward(m message) {
	w.ids++
	m.kind, m.id = toHome, w.ids
	if w.fault == homeByView {
		m.home = int(w.ids) % homes
	}
	w.pending = append(w.pending, m)
	w.flight = append(w.flight, m)
}

// observe ends a forwarded call at its entry by what the entry saw of it.
func (w *world) observe(m message, seen proof.Observation) {
	i := slices.IndexFunc(w.pending, func(p message) bool { return p.id == m.id })
	if i < 0 {
		return
	}
	w.pending = slices.Delete(w.pending, i, i+1)
	w.say("entry observes %s for request %d send %d", seen, m.request, m.send)
	m.kind, m.verdict, m.answer = toCaller, w.vouch(m, w.verdict(seen)), ""
	w.flight = append(w.flight, m)
}

func (w *world) verdict(seen proof.Observation) model.Verdict {
	if w.fault == silenceIsNotRun && seen == proof.SentThenSilent {
		return model.NotRun
	}
	return proof.Of(seen)
}

func (w *world) vouch(m message, verdict model.Verdict) model.Verdict {
	if w.fault == bystanderVouches {
		return verdict
	}
	return proof.Keyed(verdict, proof.Bystander, m.send)
}

// relay passes a home's reply on to the caller. A reply to a call that the entry gave up is lost.
func (w *world) relay(m message) {
	i := slices.IndexFunc(w.pending, func(p message) bool { return p.id == m.id })
	if i < 0 {
		return
	}
	w.pending = slices.Delete(w.pending, i, i+1)
	m.kind = toCaller
	w.flight = append(w.flight, m)
}

// arrive is a keyed call at its home.
func (w *world) arrive(m message) {
	h := w.homes[m.home]
	call := w.call(m)
	decision := h.ledger.Begin(w.now, call)
	switch decision.Action {
	case ledger.Run:
		w.run(h, m, call)
	case ledger.Join:
		i := slices.IndexFunc(h.tickets, func(t *ticket) bool { return t.message.request == m.request })
		h.tickets[i].joined = append(h.tickets[i].joined, m)
	default:
		w.answer(m, decision.Outcome)
	}
}

func (w *world) call(m message) model.Call {
	key := w.callers[m.request].key.MustGet()
	if w.fault == homeByView {
		key.Home = homeName(m.home)
	}
	call := model.Call{Customer: customer, Key: mo.Some(key), Send: m.send, Fingerprint: model.Fingerprint(m.request + 1)}
	if w.fault == reopenForAll {
		w.ids++
		call.Send = int(w.ids)
	}
	call.Deadline = w.now.Add(hour)
	return call
}

// run takes a call to the gate.
func (w *world) run(h *home, m message, call model.Call) {
	w.ids++
	t := &ticket{id: w.ids, call: call, message: m}
	h.tickets = append(h.tickets, t)
	w.decide(h, h.gate.Arrive(w.now, admit.Ticket{ID: t.id, Customer: customer, ArrivedAt: w.now, Deadline: call.Deadline}))
}

func (w *world) decide(h *home, decisions ...admit.Decision) {
	for _, d := range decisions {
		i := slices.IndexFunc(h.tickets, func(t *ticket) bool { return t.id == d.Ticket })
		switch d.Action {
		case admit.Start:
			h.tickets[i].started = true
		case admit.Refuse:
			w.finish(h, h.tickets[i], proof.RefusedHere, "")
		}
	}
}

// finish records the outcome of a run and answers all sends that wait for it.
func (w *world) finish(h *home, t *ticket, seen proof.Observation, answer string) {
	outcome := ledger.Outcome[string]{Verdict: w.verdict(seen), Reason: model.QueueFull}
	if outcome.Verdict == model.Ran {
		outcome.Reason, outcome.Answer = model.NoReason, &answer
	}
	w.say("home observes %s for request %d", seen, t.message.request)
	h.ledger.Finish(w.now, t.call, outcome)
	h.tickets = slices.DeleteFunc(h.tickets, func(other *ticket) bool { return other == t })
	for _, m := range append([]message{t.message}, t.joined...) {
		if !t.answered {
			w.answer(m, outcome)
		}
	}
	w.decide(h, h.gate.Finish(w.now, t.id)...)
}

func (w *world) answer(m message, outcome ledger.Outcome[string]) {
	m.kind, m.verdict, m.answer = toEntryBack, outcome.Verdict, ""
	if outcome.Answer != nil {
		m.answer = *outcome.Answer
	}
	w.flight = append(w.flight, m)
}

// launch sends a run whose ticket holds a slot.
func (w *world) launch(h *home, t *ticket) {
	t.sent = true
	m := t.message
	m.kind, m.id, m.life = toUpstream, t.id, h.life
	w.flight = append(w.flight, m)
	w.say("home launches request %d send %d", m.request, m.send)
}

// expire ends a ticket whose caller left or whose deadline passed, at any stage.
func (w *world) expire(h *home, t *ticket) {
	switch {
	case t.sent:
		w.finish(h, t, proof.ExpiredRunning, "")
	case h.gate.Cancel(t.id):
		w.finish(h, t, proof.ExpiredQueued, "")
	case w.fault == watcherApart:
		w.say("watcher answers for request %d", t.message.request)
		w.answer(t.message, ledger.Outcome[string]{Verdict: model.NotRun, Reason: model.TooLate})
		t.answered = true
	default:
		w.finish(h, t, proof.PausedBeforeStart, "")
	}
}

// execute is the upstream doing the work.
func (w *world) execute(m message) {
	c := &w.callers[m.request]
	c.executions++
	c.trigger = m.send
	w.say("upstream executes request %d for send %d", m.request, m.send)
	if c.executions > 1 {
		w.violated("request %d executed %d times", m.request, c.executions)
	}
	if m.send <= c.closed {
		w.violated("request %d executed for send %d after send %d was told not_run", m.request, m.send, c.closed)
	}
	m.kind, m.answer = toHomeBack, fmt.Sprintf("answer to request %d", m.request)
	w.flight = append(w.flight, m)
}

// returned is the upstream's answer at the home. An answer to an abandoned run reaches nobody.
func (w *world) returned(m message) {
	h := w.homes[m.home]
	i := slices.IndexFunc(h.tickets, func(t *ticket) bool { return t.id == m.id })
	if i >= 0 && h.life == m.life {
		w.finish(h, h.tickets[i], proof.AnswerWhole, m.answer)
	}
}

// told is what the caller learns.
func (w *world) told(m message) {
	c := &w.callers[m.request]
	w.say("request %d send %d is told %s", m.request, m.send, m.verdict)
	switch m.verdict {
	case model.NotRun:
		c.closed = max(c.closed, m.send)
		if c.executions > 0 && c.trigger <= m.send {
			w.violated("request %d was told not_run of send %d but was executed for send %d", m.request, m.send, c.trigger)
		}
	case model.Ran:
		if c.executions != 1 || m.answer != fmt.Sprintf("answer to request %d", m.request) {
			w.violated("request %d was told ran with %q after %d executions", m.request, m.answer, c.executions)
		}
	}
}

// crash ends a home's process. What was in flight to it is lost; what it sent is still under way.
func (w *world) crash(i int) {
	w.say("home %d crashes and starts again", i)
	w.start(i)
	w.flight = slices.DeleteFunc(w.flight, func(m message) bool {
		return m.home == i && (m.kind == toHome || m.kind == toHomeBack)
	})
}
