// Package safety checks the promises about the execution of a request in a model of callers, entries, homes and upstreams,
// which uses the product's ledger, gate and verdicts.
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
	customer       = "policia-norte"
	homes          = 2
	requests       = 3
	unnumbered     = 2 // the request whose caller does not number its sends
	ledgerKeys     = 2 // keys that a ledger remembers, fewer than there are requests
	homeByViewKeys = 4 // keys that each home issues itself with homeByView, enough for all requests
	queueLength    = 1
	slots          = 1
	hour           = time.Hour
	noSend         = -1 // below all send numbers; unnumbered sends have number 0
)

// design is the chosen design of the system, which is the zero value, or a rejected alternative.
type design int

const (
	chosen design = iota
	// homeByView selects the home by hashing over the entry's current view instead of by the key.
	homeByView
	// sameIncarnation gives a restarted daemon the incarnation of its upstream in the instance list.
	sameIncarnation
	// transportReplays lets the HTTP transport resend a run to the upstream on its own.
	transportReplays
	// reopenForAll lets every send run after a refusal, including those answered not_run.
	reopenForAll
	// silenceIsNotRun treats a broken connection as a refusal.
	silenceIsNotRun
	// bystanderDecides lets an entry answer not_run for a key of which it knows only one send.
	bystanderDecides
	// separateWatcher lets a goroutine other than the one that sends answer for an expired ticket.
	separateWatcher
	// callerReplays lets a caller's library repeat a numbered send.
	callerReplays
)

type kind int

const (
	toEntry kind = iota
	toHome
	toUpstream
	resultToHome
	replyToEntry
	toCaller
)

var kindNames = []string{"call", "forward", "run", "result", "reply", "answer"}

// message is in flight until it is delivered or lost. Messages may be delivered in any order.
type message struct {
	kind        kind
	request     int
	send        int
	home        int
	incarnation model.Incarnation
	id          uint64
	verdict     model.Verdict
	answer      string
}

func (m message) String() string {
	return fmt.Sprintf("%s of request %d send %d", kindNames[m.kind], m.request, m.send)
}

type caller struct {
	key          mo.Option[model.Key]
	sends        int
	lastNotRun   int // highest send that was answered not_run
	executions   int
	executedSend int // send that caused the last execution
}

// ticket is a run at a home; its ID is that of the gate's ticket.
type ticket struct {
	id       uint64
	call     model.Call
	message  message
	joined   []message
	sent     bool // the run left the home
	started  bool // the gate gave it a slot
	answered bool // only with separateWatcher
}

type home struct {
	incarnation model.Incarnation
	ledger      *ledger.Ledger[string]
	gate        *admit.Gate[*admit.FIFO]
	tickets     []*ticket
	paused      bool
}

type world struct {
	design          design
	now             time.Time
	callers         [requests]caller
	homes           [homes]*home
	inFlight        []message
	pending         []message // forwarded by an entry, not yet answered
	lastIncarnation model.Incarnation
	lastID          uint64
	log             strings.Builder
	violation       string
}

func newWorld(d design) *world {
	w := &world{design: d, now: time.Unix(1000, 0)}
	for i := range w.callers {
		w.callers[i].lastNotRun = noSend
	}
	for i := range w.homes {
		w.start(i)
	}
	return w
}

// start starts a new incarnation of a home.
func (w *world) start(i int) {
	w.lastIncarnation++
	h := &home{incarnation: w.lastIncarnation}
	if w.design == sameIncarnation || w.design == homeByView {
		h.incarnation = 1
	}
	settings := ledger.Settings{Keys: ledgerKeys, AnswerBytes: 100, AnswerLifetime: hour}
	h.gate = admit.New(slots, admit.NewFIFO())
	h.gate.SetLimits(w.now, slots, map[model.Customer]model.Limits{customer: {Queue: queueLength, Weight: 1, LongSlots: 1}})
	if w.design == homeByView {
		settings.Keys = homeByViewKeys
	}
	h.ledger = ledger.New(homeName(i), h.incarnation, settings, func(text *string) int { return len(*text) })
	if w.design == homeByView {
		h.ledger.Issue(customer, homeByViewKeys)
	}
	w.homes[i] = h
}

func homeName(i int) model.UpstreamName { return model.UpstreamName(fmt.Sprintf("reservas-%d", i)) }

func (w *world) logf(format string, arguments ...any) {
	fmt.Fprintf(&w.log, format+"\n", arguments...)
}

func (w *world) reportViolation(format string, arguments ...any) {
	if w.violation == "" {
		w.violation = fmt.Sprintf(format, arguments...)
		w.logf("VIOLATION: %s", w.violation)
	}
}

// send lets a caller send or resend its request.
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
	w.inFlight = append(w.inFlight, m)
	w.logf("caller sends %s", m)
}

func (w *world) issue(request int) model.Key {
	if w.design == homeByView {
		return model.Key{Home: homeName(0), Incarnation: 1, Sequence: uint64(request + 1)}
	}
	return w.homes[0].ledger.Issue(customer, 1)[0]
}

// deliver delivers a message, unless its receiver is paused.
func (w *world) deliver(i int) {
	m := w.inFlight[i]
	if (m.kind == toHome || m.kind == resultToHome) && w.homes[m.home].paused {
		return
	}
	w.inFlight = slices.Delete(w.inFlight, i, i+1)
	w.logf("deliver %s", m)
	switch m.kind {
	case toEntry:
		w.forward(m)
	case toHome:
		w.receiveCall(m)
	case toUpstream:
		w.execute(m)
	case resultToHome:
		w.receiveResult(m)
	case replyToEntry:
		w.relay(m)
	case toCaller:
		w.receiveAnswer(m)
	}
}

// forward sends a call from an entry to the home of its key. With homeByView the view alternates.
func (w *world) forward(m message) {
	w.lastID++
	m.kind, m.id = toHome, w.lastID
	if w.design == homeByView {
		m.home = int(w.lastID) % homes
	}
	w.pending = append(w.pending, m)
	w.inFlight = append(w.inFlight, m)
}

// observe ends a forwarded call at its entry, with the verdict that follows from the observation.
func (w *world) observe(m message, observation proof.Observation) {
	i := slices.IndexFunc(w.pending, func(p message) bool { return p.id == m.id })
	if i < 0 {
		return
	}
	w.pending = slices.Delete(w.pending, i, i+1)
	w.logf("entry observes %s for request %d send %d", observation, m.request, m.send)
	m.kind, m.verdict, m.answer = toCaller, w.keyedVerdict(m, w.verdict(observation)), ""
	w.inFlight = append(w.inFlight, m)
}

func (w *world) verdict(observation proof.Observation) model.Verdict {
	if w.design == silenceIsNotRun && observation == proof.SentThenSilent {
		return model.NotRun
	}
	return proof.Of(observation)
}

func (w *world) keyedVerdict(m message, verdict model.Verdict) model.Verdict {
	if w.design == bystanderDecides {
		return verdict
	}
	return proof.Keyed(verdict, proof.Bystander, m.send)
}

// relay forwards a home's reply to the caller. A reply to a call that the entry has abandoned is lost.
func (w *world) relay(m message) {
	i := slices.IndexFunc(w.pending, func(p message) bool { return p.id == m.id })
	if i < 0 {
		return
	}
	w.pending = slices.Delete(w.pending, i, i+1)
	m.kind = toCaller
	w.inFlight = append(w.inFlight, m)
}

// receiveCall processes a keyed call at its home.
func (w *world) receiveCall(m message) {
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
	if w.design == homeByView {
		key.Home = homeName(m.home)
	}
	call := model.Call{Customer: customer, Key: mo.Some(key), Send: m.send, Fingerprint: model.Fingerprint(m.request + 1)}
	if w.design == reopenForAll {
		w.lastID++
		call.Send = int(w.lastID)
	}
	call.Deadline = w.now.Add(hour)
	return call
}

// run submits a call to the gate.
func (w *world) run(h *home, m message, call model.Call) {
	w.lastID++
	t := &ticket{id: w.lastID, call: call, message: m}
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

// finish records the outcome of a run, answers all sends that wait for it and frees its slot.
func (w *world) finish(h *home, t *ticket, observation proof.Observation, answer string) {
	outcome := ledger.Outcome[string]{Verdict: w.verdict(observation), Reason: model.QueueFull}
	if outcome.Verdict == model.Ran {
		outcome.Reason, outcome.Answer = model.NoReason, &answer
	}
	w.logf("home observes %s for request %d", observation, t.message.request)
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
	m.kind, m.verdict, m.answer = replyToEntry, outcome.Verdict, ""
	if outcome.Answer != nil {
		m.answer = *outcome.Answer
	}
	w.inFlight = append(w.inFlight, m)
}

// launch sends the run of a ticket that holds a slot to the upstream.
func (w *world) launch(h *home, t *ticket) {
	t.sent = true
	m := t.message
	m.kind, m.id, m.incarnation = toUpstream, t.id, h.incarnation
	w.inFlight = append(w.inFlight, m)
	w.logf("home launches request %d send %d", m.request, m.send)
}

// expire ends a ticket at any stage, because its caller disconnected or its deadline passed.
func (w *world) expire(h *home, t *ticket) {
	switch {
	case t.sent:
		w.finish(h, t, proof.ExpiredRunning, "")
	case h.gate.Cancel(t.id):
		w.finish(h, t, proof.ExpiredQueued, "")
	case w.design == separateWatcher:
		w.logf("watcher answers for request %d", t.message.request)
		w.answer(t.message, ledger.Outcome[string]{Verdict: model.NotRun, Reason: model.TooLate})
		t.answered = true
	default:
		w.finish(h, t, proof.PausedBeforeStart, "")
	}
}

// execute executes the request at the upstream.
func (w *world) execute(m message) {
	c := &w.callers[m.request]
	c.executions++
	c.executedSend = m.send
	w.logf("upstream executes request %d for send %d", m.request, m.send)
	if c.executions > 1 {
		w.reportViolation("request %d executed %d times", m.request, c.executions)
	}
	if m.send <= c.lastNotRun {
		w.reportViolation("request %d executed for send %d after not_run for send %d", m.request, m.send, c.lastNotRun)
	}
	m.kind, m.answer = resultToHome, fmt.Sprintf("answer to request %d", m.request)
	w.inFlight = append(w.inFlight, m)
}

// receiveResult processes the upstream's answer at the home. An answer to an abandoned run is discarded.
func (w *world) receiveResult(m message) {
	h := w.homes[m.home]
	i := slices.IndexFunc(h.tickets, func(t *ticket) bool { return t.id == m.id })
	if i >= 0 && h.incarnation == m.incarnation {
		w.finish(h, h.tickets[i], proof.AnswerWhole, m.answer)
	}
}

// receiveAnswer checks the verdict that the caller receives.
func (w *world) receiveAnswer(m message) {
	c := &w.callers[m.request]
	w.logf("request %d send %d is answered %s", m.request, m.send, m.verdict)
	switch m.verdict {
	case model.NotRun:
		c.lastNotRun = max(c.lastNotRun, m.send)
		if c.executions > 0 && c.executedSend <= m.send {
			w.reportViolation("request %d was answered not_run for send %d but executed for send %d", m.request, m.send, c.executedSend)
		}
	case model.Ran:
		if c.executions != 1 || m.answer != fmt.Sprintf("answer to request %d", m.request) {
			w.reportViolation("request %d was answered ran with %q after %d executions", m.request, m.answer, c.executions)
		}
	}
}

// crash restarts a home's process. Messages in flight to it are lost; those that it sent stay in flight.
func (w *world) crash(i int) {
	w.logf("home %d crashes and starts again", i)
	w.start(i)
	w.inFlight = slices.DeleteFunc(w.inFlight, func(m message) bool {
		return m.home == i && (m.kind == toHome || m.kind == resultToHome)
	})
}
