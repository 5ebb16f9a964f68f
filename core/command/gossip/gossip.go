// Package gossip decides what daemons tell each other and when.
//
// Every message carries a digest of what its sender has in force. Whoever sees a higher revision in a
// digest asks its sender for the missing run of changes; whoever learns something passes its new
// digest on to a few others. Values travel only when asked for, so each daemon receives each once:
//
//	A learns revision 12  ->  A tells B, C, D, E "I have 12"
//	B has 10              ->  B asks A for what is after 10
//	A answers 10..12      ->  B tells four others "I have 12"
//
// A regular exchange of digests with one peer at random mends what was lost.
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
)

// The timing and bounds of gossip.
const (
	// FanOut is how many peers hear of a new revision from each daemon; digests reach the rest.
	FanOut = 4
	// UrgentFanOut is how many hear of who leaves or crashes, which digests do not cover.
	UrgentFanOut = 8
	// DigestEvery is the time between two regular digests.
	DigestEvery = time.Second
	// AskTimeout is how long an answer is waited for before somebody else is asked. Each question that
	// stays without an answer doubles the wait, up to MaxAskTimeout, so that values which take long to
	// travel are not asked for again and again.
	AskTimeout    = 500 * time.Millisecond
	MaxAskTimeout = 2 * time.Second
	// MaxDeltaBytes bounds the values in one answer, but for a single larger one.
	MaxDeltaBytes = 1 << 20

	// announceEvery is the shortest time between two announcements, so that bursts are told at once.
	announceEvery = 50 * time.Millisecond
	// healEvery is the shortest time between two requests to compare equal revisions in full.
	healEvery = 10 * time.Second
	// copyEvery is the time in which a daemon gives away one whole copy; copyBurst may come at once.
	copyEvery = 250 * time.Millisecond
	copyBurst = 8
)

// Digest sums up what a daemon has in force.
type Digest struct {
	// Revision is the configuration in force.
	Revision model.Revision `json:"revision"`
	// Contracts is the hash of the contracts in force.
	Contracts uint64 `json:"contracts"`
	// Scope is the hash of the names of the kept services and Services that of their values; the
	// latter can be compared where the former is the same.
	Scope    uint64 `json:"scope"`
	Services uint64 `json:"services"`
	// Ready says that the daemon trusts what it has: it has started and not just woken from a pause.
	Ready bool `json:"ready"`
}

// Want asks for what the sender lacks.
type Want struct {
	// After is the revision that the sender has in force.
	After model.Revision `json:"after"`
	// Services are those that the sender keeps, in case that it needs a whole copy; empty means all.
	Services []model.ServiceName `json:"services,omitempty"`
	// Whole asks for a whole copy although the changes may be at hand.
	Whole bool `json:"whole,omitempty"`
	// DigestOnly asks for no values yet: the sender wants to know first who has what.
	DigestOnly bool `json:"digest_only,omitempty"`
	// Nonce is repeated in the answer; never zero.
	Nonce uint64 `json:"nonce"`
}

// Message is all that one daemon sends to another. It expects no reply; answers are messages too.
type Message struct {
	// From is the sender.
	From model.Peer `json:"from"`
	// Digest is what the sender has in force.
	Digest Digest `json:"digest"`
	// Want asks the receiver for what the sender lacks.
	Want *Want `json:"want,omitempty"`
	// Answers is the nonce of the request that this message answers; zero when it answers none.
	Answers uint64 `json:"answers,omitempty"`
	// Delta or Copy has the values of an answer; at most one is present.
	Delta *model.Delta `json:"delta,omitempty"`
	Copy  *config.Copy `json:"copy,omitempty"`
	// Reads is news of reads of the platform.
	Reads []reader.Read `json:"reads,omitempty"`
	// Fresh says how old the sender's knowledge is; absent when it has not read the platform.
	Fresh *lease.Freshness `json:"fresh,omitempty"`
	// Leaves is news of upstreams that leave.
	Leaves []leave.Notice `json:"leaves,omitempty"`
	// Crashes is evidence of requests that crash upstreams.
	Crashes []poison.Evidence `json:"crashes,omitempty"`
}

// State is when this daemon next speaks and what it waits for.
type State struct {
	// DigestAt is when the next regular digest is due.
	DigestAt time.Time
	// News is how many peers to tell of what was learnt since the last announcement; zero when nothing was.
	News int
	// AnnouncedAt is when news was last announced.
	AnnouncedAt time.Time
	// Asked is the peer that an answer is awaited from until AskedUntil; empty when none.
	Asked      model.Address
	AskedUntil time.Time
	// Unanswered counts the questions in a row that got no answer.
	Unanswered int
	// HealedAt is when equal revisions were last compared in full.
	HealedAt time.Time
	// Copies is how many whole copies may be given away now, at CopiesAt; at most copyBurst.
	Copies   float64
	CopiesAt time.Time
}

// New returns the state of a daemon that sends its first digest within one period.
func New(now time.Time, random *rand.Rand) *State {
	first := now.Add(time.Duration(random.Int64N(int64(DigestEvery))))
	return &State{DigestAt: first, Copies: copyBurst, CopiesAt: now}
}

// DigestDue tells whether to send a regular digest now, and plans the next.
func (s *State) DigestDue(now time.Time) bool {
	if now.Before(s.DigestAt) {
		return false
	}
	s.DigestAt = now.Add(DigestEvery)
	return true
}

// Learnt notes that there is news for so many peers.
func (s *State) Learnt(peers int) {
	s.News = max(s.News, peers)
}

// AnnounceDue returns how many peers to tell of news now; zero when there is none or it has to wait.
func (s *State) AnnounceDue(now time.Time) int {
	if s.News == 0 || now.Sub(s.AnnouncedAt) < announceEvery {
		return 0
	}
	peers := s.News
	s.News = 0
	s.AnnouncedAt = now
	return peers
}

// MayAsk tells whether no answer is awaited, and if so notes that one is, from the given peer.
func (s *State) MayAsk(now time.Time, peer model.Address) bool {
	if s.Asked != "" && now.Before(s.AskedUntil) {
		return false
	}
	if s.Asked != "" {
		s.Unanswered++
	}
	s.Asked = peer
	s.AskedUntil = now.Add(min(MaxAskTimeout, AskTimeout<<min(s.Unanswered, 10)))
	return true
}

// Answered notes that a peer has answered, the awaited one or a late one.
func (s *State) Answered(peer model.Address) {
	s.Unanswered = 0
	if s.Asked == peer {
		s.Asked = ""
	}
}

// Lost notes that a peer cannot be reached, so that no answer of it is awaited any more.
func (s *State) Lost(peer model.Address) {
	if s.Asked == peer {
		s.Asked = ""
	}
}

// HealDue tells whether two stores differ although their revisions are the same, and whether it is
// time to do something about it.
func (s *State) HealDue(now time.Time, own, other Digest) bool {
	if own.Revision != other.Revision || now.Sub(s.HealedAt) < healEvery {
		return false
	}
	differ := own.Contracts != other.Contracts || (own.Scope == other.Scope && own.Services != other.Services)
	if differ {
		s.HealedAt = now
	}
	return differ
}

// MayCopy tells whether a whole copy may be given away now. The bound keeps a daemon that many
// starting ones ask at once within its budget; those who get nothing ask somebody else.
func (s *State) MayCopy(now time.Time) bool {
	s.Copies = min(copyBurst, s.Copies+float64(now.Sub(s.CopiesAt))/float64(copyEvery))
	s.CopiesAt = now
	if s.Copies < 1 {
		return false
	}
	s.Copies--
	return true
}
