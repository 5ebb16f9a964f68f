// Package ledger decides, at the home of an idempotency key, which sends of the key run. The home is the daemon that
// issued the key.
//
// A Ledger is a state machine: it takes the time as an argument and performs no I/O. It is not safe for concurrent use;
// the caller serializes its methods. The type parameter A is the type of the answers that it stores without reading
// them.
package ledger

import (
	"maps"
	"time"

	"comfreytack/core/model"
	"comfreytack/core/query/proof"
)

// noneClosed is the Closed of an entry of which no send was answered not_run.
const noneClosed = -1

// Settings bounds what a Ledger remembers. The bounds hold for each customer by itself, so that no customer's keys
// evict another's.
type Settings struct {
	// Keys is how many of a customer's newest keys are remembered; at least 1.
	Keys int
	// AnswerBytes bounds the total size of one customer's held answers.
	AnswerBytes int
	// AnswerLifetime is how long an answer is held after its request finished.
	AnswerLifetime time.Duration
}

// Outcome is how a run ended.
type Outcome[A any] struct {
	// Verdict is Ran only when the answer is complete.
	Verdict model.Verdict
	// Reason is NoReason only if Verdict is Ran.
	Reason model.Reason
	// Answer is nil unless Verdict is Ran.
	Answer *A
}

// Decision says what the home does with one send.
type Decision[A any] struct {
	// Action is what happens to the send.
	Action Action
	// Outcome is set for Replay, and without an answer for Refuse.
	Outcome Outcome[A]
}

// Entry is what is remembered about one key.
type Entry[A any] struct {
	// Sequence is the key's sequence number. The entries of one customer are sorted by it.
	Sequence uint64
	// Fingerprint is the fingerprint of the first send that ran; zero before one has.
	Fingerprint model.Fingerprint
	// Answer is nil unless State is Done and the answer is still held.
	Answer *A
	// HighestSend is the highest send number seen; it never decreases.
	HighestSend int32
	// Closed is the highest send number that was answered not_run; sends up to it never run.
	Closed int32
	// State is the state of the key.
	State State
	// Reason is the model.Reason of the last not_run of an Issued key, or of a Doubtful one.
	Reason int16
}

// Ledger remembers the keys that one daemon has issued since its start.
type Ledger[A any] struct {
	home         model.UpstreamName
	incarnation  model.Incarnation
	settings     Settings
	answerSize   func(*A) int
	lastSequence uint64
	customers    map[model.Customer]*customerKeys[A]
}

// customerKeys has the keys of one customer.
type customerKeys[A any] struct {
	entries Ring[Entry[A]]
	// newestForgotten is the highest sequence that may have been issued to the customer and is no longer remembered.
	newestForgotten uint64
	// heldAnswers has one element for each held answer, oldest first.
	heldAnswers Ring[heldAnswer]
	bytes       int
}

type heldAnswer struct {
	sequence uint64
	bytes    int
	until    time.Time
}

// New returns a Ledger that has issued no key. The incarnation must differ between restarts of the daemon, even when
// the upstream beside it keeps running. answerSize returns the size of an answer in bytes.
func New[A any](home model.UpstreamName, incarnation model.Incarnation, settings Settings, answerSize func(*A) int) *Ledger[A] {
	return &Ledger[A]{
		home:        home,
		incarnation: incarnation,
		settings:    settings,
		answerSize:  answerSize,
		customers:   map[model.Customer]*customerKeys[A]{},
	}
}

// Issue returns count new keys for a customer, but no more than Settings.Keys.
func (l *Ledger[A]) Issue(customer model.Customer, count int) []model.Key {
	c := l.customerKeys(customer)
	keys := make([]model.Key, 0, max(0, min(count, l.settings.Keys)))
	for range cap(keys) {
		l.lastSequence++
		c.entries.Push(Entry[A]{Sequence: l.lastSequence, Closed: noneClosed})
		keys = append(keys, model.Key{Home: l.home, Incarnation: l.incarnation, Sequence: l.lastSequence})
	}
	for c.entries.Len() > l.settings.Keys {
		c.forgetOldest()
	}
	return keys
}

// Begin decides for one send of a keyed call. The call's customer must have a contract.
func (l *Ledger[A]) Begin(now time.Time, call model.Call) Decision[A] {
	key, keyed := call.Key.Get()
	if !keyed || call.Fingerprint == 0 {
		return refuse[A](model.NotRun, model.BadRequest)
	}
	if key.Home != l.home || key.Incarnation != l.incarnation {
		// After a restart the home knows no more about the key than any other daemon.
		return refuse[A](proof.Keyed(model.NotRun, proof.Bystander, call.Send), model.HomeLost)
	}
	entry, refusal := l.find(call.Customer, key.Sequence)
	if entry == nil {
		return refusal
	}
	if entry.Fingerprint != 0 && entry.Fingerprint != call.Fingerprint {
		return refuse[A](model.NotRun, model.BadRequest)
	}
	l.customers[call.Customer].dropAnswers(now, l.settings.AnswerBytes)
	return entry.begin(call)
}

// Finish records the outcome of a run. A key that was forgotten while it ran stays forgotten.
func (l *Ledger[A]) Finish(now time.Time, call model.Call, outcome Outcome[A]) {
	entry, _ := l.find(call.Customer, call.Key.OrEmpty().Sequence)
	if entry == nil || entry.State != Running {
		return
	}
	entry.Reason = int16(outcome.Reason)
	switch outcome.Verdict {
	case model.NotRun:
		entry.State = Issued
		entry.Closed = entry.HighestSend
	case model.Ran:
		entry.State = Done
		l.holdAnswer(now, l.customers[call.Customer], entry, outcome.Answer)
	default:
		entry.State = Doubtful
	}
}

// Retain forgets the customers for which keep returns false, such as those whose contract has ended. Their
// keys count as expired from then on.
func (l *Ledger[A]) Retain(keep func(model.Customer) bool) {
	maps.DeleteFunc(l.customers, func(customer model.Customer, _ *customerKeys[A]) bool { return !keep(customer) })
}

// Remembered counts the keys that are remembered for a customer.
func (l *Ledger[A]) Remembered(customer model.Customer) int {
	c, known := l.customers[customer]
	if !known {
		return 0
	}
	return c.entries.Len()
}

func (l *Ledger[A]) customerKeys(customer model.Customer) *customerKeys[A] {
	c, known := l.customers[customer]
	if !known {
		c = &customerKeys[A]{newestForgotten: l.lastSequence}
		l.customers[customer] = c
	}
	return c
}

// find returns the entry of a customer's key, or the decision to refuse the send if there is none.
func (l *Ledger[A]) find(customer model.Customer, sequence uint64) (*Entry[A], Decision[A]) {
	if sequence == 0 || sequence > l.lastSequence {
		return nil, refuse[A](model.NotRun, model.KeyUnknown)
	}
	c, known := l.customers[customer]
	if !known || sequence <= c.newestForgotten {
		return nil, refuse[A](model.MayHaveRun, model.KeyExpired)
	}
	entry := c.find(sequence)
	if entry == nil {
		return nil, refuse[A](model.NotRun, model.KeyUnknown)
	}
	return entry, Decision[A]{}
}

func (l *Ledger[A]) holdAnswer(now time.Time, c *customerKeys[A], entry *Entry[A], answer *A) {
	if answer == nil {
		return
	}
	bytes := l.answerSize(answer)
	if bytes > l.settings.AnswerBytes {
		return
	}
	c.dropAnswers(now, l.settings.AnswerBytes-bytes)
	entry.Answer = answer
	c.heldAnswers.Push(heldAnswer{sequence: entry.Sequence, bytes: bytes, until: now.Add(l.settings.AnswerLifetime)})
	c.bytes += bytes
}

// begin decides for a send whose fingerprint matches that of the key.
func (e *Entry[A]) begin(call model.Call) Decision[A] {
	send := int32(call.Send)
	switch e.State {
	case Issued:
		if send <= e.Closed {
			return refuse[A](model.NotRun, model.Reason(e.Reason))
		}
		e.State = Running
		e.Fingerprint = call.Fingerprint
		e.HighestSend = max(e.HighestSend, send)
		return Decision[A]{Action: Run}
	case Running:
		e.HighestSend = max(e.HighestSend, send)
		return Decision[A]{Action: Join}
	case Done:
		if e.Answer == nil {
			return refuse[A](model.MayHaveRun, model.KeyExpired)
		}
		return Decision[A]{Action: Replay, Outcome: Outcome[A]{Verdict: model.Ran, Answer: e.Answer}}
	default:
		return refuse[A](model.MayHaveRun, model.Reason(e.Reason))
	}
}

// find returns the entry of a sequence by binary search, or nil.
func (c *customerKeys[A]) find(sequence uint64) *Entry[A] {
	low, high := 0, c.entries.Len()
	for low < high {
		middle := (low + high) / 2
		if c.entries.At(middle).Sequence < sequence {
			low = middle + 1
		} else {
			high = middle
		}
	}
	if low == c.entries.Len() || c.entries.At(low).Sequence != sequence {
		return nil
	}
	return c.entries.At(low)
}

func (c *customerKeys[A]) forgetOldest() {
	c.newestForgotten = c.entries.Pop().Sequence
}

// dropAnswers drops expired answers, and the oldest ones until the rest fits into the given number of bytes.
func (c *customerKeys[A]) dropAnswers(now time.Time, bytes int) {
	for c.heldAnswers.Len() > 0 {
		oldest := c.heldAnswers.At(0)
		if c.bytes <= bytes && now.Before(oldest.until) {
			return
		}
		c.bytes -= oldest.bytes
		if entry := c.find(oldest.sequence); entry != nil {
			entry.Answer = nil
		}
		c.heldAnswers.Pop()
	}
}

func refuse[A any](verdict model.Verdict, reason model.Reason) Decision[A] {
	return Decision[A]{Action: Refuse, Outcome: Outcome[A]{Verdict: verdict, Reason: reason}}
}
