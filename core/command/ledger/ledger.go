// Package ledger decides at the home of idempotency keys which send of a key runs.
//
// A ledger is a state machine: it takes the time as an argument and performs no I/O. The caller serialises
// its methods. A is the type of the answers that it holds; it never looks into one.
package ledger

import (
	"maps"
	"time"

	"comfreytack/core/model"
	"comfreytack/core/query/proof"
)

// noneClosed is the Closed of an entry of which no send was told not_run.
const noneClosed = -1

// Settings bounds what a ledger remembers. Each customer has bounds of its own, so that no customer's keys
// push out another's.
type Settings struct {
	// Keys is how many of a customer's newest keys are remembered; at least 1.
	Keys int
	// AnswerBytes bounds the sizes of one customer's held answers together.
	AnswerBytes int
	// AnswerLifetime is how long an answer is held after its request finished.
	AnswerLifetime time.Duration
}

// Outcome is how a run ended.
type Outcome[A any] struct {
	// Verdict is Ran only together with the whole answer.
	Verdict model.Verdict
	// Reason is NoReason only if Verdict is Ran.
	Reason model.Reason
	// Answer is nil unless Verdict is Ran.
	Answer *A
}

// Decision is what the home does with one send.
type Decision[A any] struct {
	// Action is what happens to the send.
	Action Action
	// Outcome is set for Replay, and for Refuse without an answer.
	Outcome Outcome[A]
}

// Entry is what is remembered of one key.
type Entry[A any] struct {
	// Sequence is the key's; entries of one customer are in its order.
	Sequence uint64
	// Fingerprint is that of the first send; zero before.
	Fingerprint model.Fingerprint
	// Answer is nil unless State is Done and the answer is still held.
	Answer *A
	// Highest is the highest number of a send seen; it never falls.
	Highest int32
	// Closed is the highest number of a send that was told not_run; such sends never run.
	Closed int32
	// State is what became of the key.
	State State
	// Reason explains the last not_run of an Issued key, or why the key is Doubtful.
	Reason int16
}

// Ledger remembers the keys of one life of one daemon.
type Ledger[A any] struct {
	home        model.UpstreamName
	incarnation model.Incarnation
	settings    Settings
	size        func(*A) int
	last        uint64
	books       map[model.Customer]*book[A]
}

// book has the keys of one customer.
type book[A any] struct {
	entries Ring[Entry[A]]
	// floor is the newest sequence of the customer that is not remembered any more.
	floor uint64
	// held has one element for each held answer, in the order in which they came.
	held  Ring[holding]
	bytes int
}

type holding struct {
	sequence uint64
	bytes    int
	until    time.Time
}

// New returns a ledger that has issued no key. The incarnation must differ in each life of the daemon, also
// when the instance beside it goes on; size returns the bytes of an answer.
func New[A any](home model.UpstreamName, incarnation model.Incarnation, settings Settings, size func(*A) int) *Ledger[A] {
	return &Ledger[A]{
		home:        home,
		incarnation: incarnation,
		settings:    settings,
		size:        size,
		books:       map[model.Customer]*book[A]{},
	}
}

// Issue returns count new keys for a customer, at most as many as are remembered.
func (l *Ledger[A]) Issue(customer model.Customer, count int) []model.Key {
	b := l.book(customer)
	keys := make([]model.Key, 0, max(0, min(count, l.settings.Keys)))
	for range cap(keys) {
		l.last++
		b.entries.Push(Entry[A]{Sequence: l.last, Closed: noneClosed})
		keys = append(keys, model.Key{Home: l.home, Incarnation: l.incarnation, Sequence: l.last})
	}
	for b.entries.Len() > l.settings.Keys {
		b.forgetOldest()
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
		// A later life of the home knows no more of the key than any other daemon.
		return refuse[A](proof.Keyed(model.NotRun, proof.Bystander, call.Send), model.HomeLost)
	}
	entry, refusal := l.find(call.Customer, key.Sequence)
	if entry == nil {
		return refusal
	}
	if entry.Fingerprint != 0 && entry.Fingerprint != call.Fingerprint {
		return refuse[A](model.NotRun, model.BadRequest)
	}
	l.books[call.Customer].dropAnswers(now, l.settings.AnswerBytes)
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
		entry.Closed = entry.Highest
	case model.Ran:
		entry.State = Done
		l.hold(now, l.books[call.Customer], entry, outcome.Answer)
	default:
		entry.State = Doubtful
	}
}

// Retain forgets the customers for which keep returns false, such as those whose contract has ended. Their
// keys are answered as expired from then on.
func (l *Ledger[A]) Retain(keep func(model.Customer) bool) {
	maps.DeleteFunc(l.books, func(customer model.Customer, _ *book[A]) bool { return !keep(customer) })
}

// Remembered counts the keys that are remembered for a customer.
func (l *Ledger[A]) Remembered(customer model.Customer) int {
	b, known := l.books[customer]
	if !known {
		return 0
	}
	return b.entries.Len()
}

func (l *Ledger[A]) book(customer model.Customer) *book[A] {
	b, known := l.books[customer]
	if !known {
		b = &book[A]{floor: l.last}
		l.books[customer] = b
	}
	return b
}

// find returns the entry of a customer's key, or the refusal if there is none.
func (l *Ledger[A]) find(customer model.Customer, sequence uint64) (*Entry[A], Decision[A]) {
	if sequence == 0 || sequence > l.last {
		return nil, refuse[A](model.NotRun, model.KeyUnknown)
	}
	b, known := l.books[customer]
	if !known || sequence <= b.floor {
		return nil, refuse[A](model.MayHaveRun, model.KeyExpired)
	}
	entry := b.find(sequence)
	if entry == nil {
		return nil, refuse[A](model.NotRun, model.KeyUnknown)
	}
	return entry, Decision[A]{}
}

func (l *Ledger[A]) hold(now time.Time, b *book[A], entry *Entry[A], answer *A) {
	if answer == nil {
		return
	}
	bytes := l.size(answer)
	if bytes > l.settings.AnswerBytes {
		return
	}
	b.dropAnswers(now, l.settings.AnswerBytes-bytes)
	entry.Answer = answer
	b.held.Push(holding{sequence: entry.Sequence, bytes: bytes, until: now.Add(l.settings.AnswerLifetime)})
	b.bytes += bytes
}

// begin decides for a send whose fingerprint fits.
func (e *Entry[A]) begin(call model.Call) Decision[A] {
	send := int32(call.Send)
	switch e.State {
	case Issued:
		if send <= e.Closed {
			return refuse[A](model.NotRun, model.Reason(e.Reason))
		}
		e.State = Running
		e.Fingerprint = call.Fingerprint
		e.Highest = max(e.Highest, send)
		return Decision[A]{Action: Run}
	case Running:
		e.Highest = max(e.Highest, send)
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

// find returns the remembered entry of a sequence, or nil.
func (b *book[A]) find(sequence uint64) *Entry[A] {
	low, high := 0, b.entries.Len()
	for low < high {
		middle := (low + high) / 2
		if b.entries.At(middle).Sequence < sequence {
			low = middle + 1
		} else {
			high = middle
		}
	}
	if low == b.entries.Len() || b.entries.At(low).Sequence != sequence {
		return nil
	}
	return b.entries.At(low)
}

func (b *book[A]) forgetOldest() {
	b.floor = b.entries.Pop().Sequence
}

// dropAnswers drops the oldest answers until the rest is young enough and fits into bytes.
func (b *book[A]) dropAnswers(now time.Time, bytes int) {
	for b.held.Len() > 0 {
		oldest := b.held.At(0)
		if b.bytes <= bytes && now.Before(oldest.until) {
			return
		}
		b.bytes -= oldest.bytes
		if entry := b.find(oldest.sequence); entry != nil {
			entry.Answer = nil
		}
		b.held.Pop()
	}
}

func refuse[A any](verdict model.Verdict, reason model.Reason) Decision[A] {
	return Decision[A]{Action: Refuse, Outcome: Outcome[A]{Verdict: verdict, Reason: reason}}
}
