// Package gossip defines the messages between daemons and decides when to send them.
//
// Every message carries a digest of what its sender has in force. A daemon that sees a higher revision in a
// digest requests the missing changes from the sender; a daemon whose revision has risen sends its new
// digest to a few others. But for small changes in the report of a read, values are sent only on request, so each
// daemon receives each once:
//
//	A applies revision 12  ->  A sends B, C, D and E its digest: revision 12
//	B has 10               ->  B requests the changes after 10 from A
//	A answers 10..12       ->  B sends four others its digest: revision 12
//
// A periodic digest to one random peer makes up for lost messages.
package gossip

import (
	"math/rand/v2"
	"time"

	"comfreytack/core/command/config"
	"comfreytack/core/command/lease"
	"comfreytack/core/command/leave"
	"comfreytack/core/command/poison"
	"comfreytack/core/command/reader"
	"comfreytack/core/model"
	"comfreytack/core/query/tree"
)

// The timing and bounds of gossip.
const (
	// FanOut is how many peers each daemon announces a new revision to; periodic digests reach the rest.
	FanOut = 4
	// UrgentFanOut is how many peers it announces leaving upstreams and crashes to, which digests do not cover.
	UrgentFanOut = 8
	// DigestInterval is the time between two periodic digests.
	DigestInterval = time.Second
	// AskTimeout is how long a daemon waits for an answer before it sends another request. Each request without
	// an answer doubles it, up to MaxAskTimeout, so that values which take long to transfer are not requested
	// over and over.
	AskTimeout    = 500 * time.Millisecond
	MaxAskTimeout = 2 * time.Second
	// MaxDeltaBytes bounds the values in one answer, unless a single one is larger.
	MaxDeltaBytes = 1 << 20

	// announceInterval is the shortest time between two announcements, so that a burst is announced at once.
	announceInterval = 50 * time.Millisecond
	// healInterval is the shortest time between two requests for a full copy at an equal revision.
	healInterval = 10 * time.Second
	// Full copies are limited by a token bucket: one per copyInterval, and copyBurst at once.
	copyInterval = 250 * time.Millisecond
	copyBurst    = 8
)

// Digest summarizes what a daemon has in force.
type Digest struct {
	// Revision is the configuration in force.
	Revision model.Revision `json:"revision"`
	// Contracts is the hash of the contracts in force.
	Contracts uint64 `json:"contracts"`
	// Scope is the hash of the names of the kept services, and Services that of their values. Services is
	// comparable between daemons of equal Scope.
	Scope    uint64 `json:"scope"`
	Services uint64 `json:"services"`
	// Ready says that the daemon trusts what it has: it has completed its start, and no pause makes it suspect
	// that its state is old.
	Ready bool `json:"ready"`
}

// Want is a request for what the sender lacks.
type Want struct {
	// After is the revision that the sender has in force.
	After model.Revision `json:"after"`
	// Services are those that the sender keeps, in case it needs a full copy; empty means all.
	Services []model.ServiceName `json:"services,omitempty"`
	// Whole requests a full copy even if a delta would do.
	Whole bool `json:"whole,omitempty"`
	// DigestOnly requests no values, only a digest: the sender first finds out which peer has what.
	DigestOnly bool `json:"digest_only,omitempty"`
	// Nonce is repeated in the answer; never zero.
	Nonce uint64 `json:"nonce"`
}

// Report is what a daemon that has read the platform reports to all others, over package tree.
type Report struct {
	// Fresh is the age of what was read, and names the reader.
	Fresh lease.Freshness `json:"fresh"`
	// Revision is what the reader had in force after the read.
	Revision model.Revision `json:"revision"`
	// Rest has the daemons that the receiver passes the report on to; absent if there are none.
	Rest *tree.Range `json:"rest,omitempty"`
}

// Message is the only kind of message between daemons. It gets no reply; an answer is a message of its own.
type Message struct {
	// From is the sender.
	From model.Peer `json:"from"`
	// Digest is what the sender has in force.
	Digest Digest `json:"digest"`
	// Want requests from the receiver what the sender lacks.
	Want *Want `json:"want,omitempty"`
	// Answers is the nonce of the request that this message answers; zero when it answers none.
	Answers uint64 `json:"answers,omitempty"`
	// Delta or Copy has the values of an answer, and Delta the small changes in the report of a read; at most
	// one is present.
	Delta *model.Delta `json:"delta,omitempty"`
	Copy  *config.Copy `json:"copy,omitempty"`
	// Reads has reports of reads of the platform.
	Reads []reader.Read `json:"reads,omitempty"`
	// Fresh says how old the sender's knowledge is; absent before it has any.
	Fresh *lease.Freshness `json:"fresh,omitempty"`
	// Report is about a read of the platform, possibly by a daemon other than the sender; Delta may have its changes.
	Report *Report `json:"report,omitempty"`
	// Leaves has notices of upstreams that leave.
	Leaves []leave.Notice `json:"leaves,omitempty"`
	// Crashes is evidence of requests that crash upstreams.
	Crashes []poison.Evidence `json:"crashes,omitempty"`
}

// State says when this daemon sends next and which answer it waits for.
type State struct {
	// DigestAt is when the next periodic digest is due.
	DigestAt time.Time
	// PendingFanOut is how many peers the next announcement goes to; zero when there is nothing to announce.
	PendingFanOut int
	// AnnouncedAt is the time of the last announcement.
	AnnouncedAt time.Time
	// AwaitedPeer is the peer that has to answer a request, until AwaitedUntil; empty when there is none.
	AwaitedPeer  model.Address
	AwaitedUntil time.Time
	// Unanswered counts the requests in a row that got no answer.
	Unanswered int
	// HealedAt is when HealDue last found a difference.
	HealedAt time.Time
	// CopyTokens is how many full copies may be sent, as of CopyTokensAt; at most copyBurst.
	CopyTokens   float64
	CopyTokensAt time.Time
}

// New returns the state of a daemon that sends its first digest within DigestInterval.
func New(now time.Time, random *rand.Rand) *State {
	first := now.Add(time.Duration(random.Int64N(int64(DigestInterval))))
	return &State{DigestAt: first, CopyTokens: copyBurst, CopyTokensAt: now}
}

// DigestDue reports whether to send a periodic digest now, and schedules the next.
func (s *State) DigestDue(now time.Time) bool {
	if now.Before(s.DigestAt) {
		return false
	}
	s.DigestAt = now.Add(DigestInterval)
	return true
}

// QueueAnnouncement schedules an announcement to at least so many peers.
func (s *State) QueueAnnouncement(peers int) {
	s.PendingFanOut = max(s.PendingFanOut, peers)
}

// AnnounceDue returns how many peers to send an announcement now; zero when none is queued or it has to wait.
func (s *State) AnnounceDue(now time.Time) int {
	if s.PendingFanOut == 0 || now.Sub(s.AnnouncedAt) < announceInterval {
		return 0
	}
	peers := s.PendingFanOut
	s.PendingFanOut = 0
	s.AnnouncedAt = now
	return peers
}

// TryAsk reports whether a request may be sent to a peer, and if so records that its answer is awaited. Only one
// answer is awaited at a time.
func (s *State) TryAsk(now time.Time, peer model.Address) bool {
	if s.AwaitedPeer != "" && now.Before(s.AwaitedUntil) {
		return false
	}
	if s.AwaitedPeer != "" {
		s.Unanswered++
	}
	s.AwaitedPeer = peer
	s.AwaitedUntil = now.Add(min(MaxAskTimeout, AskTimeout<<min(s.Unanswered, 10)))
	return true
}

// Answered records an answer, that of the awaited peer or a late one.
func (s *State) Answered(peer model.Address) {
	s.Unanswered = 0
	if s.AwaitedPeer == peer {
		s.AwaitedPeer = ""
	}
}

// Lost records that a peer cannot be reached, so that its answer is no longer awaited.
func (s *State) Lost(peer model.Address) {
	if s.AwaitedPeer == peer {
		s.AwaitedPeer = ""
	}
}

// HealDue reports whether to request a full copy because two stores differ at the same revision. It does so at most
// once in healInterval.
func (s *State) HealDue(now time.Time, own, other Digest) bool {
	if own.Revision != other.Revision || now.Sub(s.HealedAt) < healInterval {
		return false
	}
	differ := own.Contracts != other.Contracts || (own.Scope == other.Scope && own.Services != other.Services)
	if differ {
		s.HealedAt = now
	}
	return differ
}

// AllowCopy reports whether a full copy may be sent now, and takes a token for it. The limit protects a daemon that
// many starting daemons ask at once; those that get no answer ask another peer.
func (s *State) AllowCopy(now time.Time) bool {
	s.CopyTokens = min(copyBurst, s.CopyTokens+float64(now.Sub(s.CopyTokensAt))/float64(copyInterval))
	s.CopyTokensAt = now
	if s.CopyTokens < 1 {
		return false
	}
	s.CopyTokens--
	return true
}
