package daemon

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	mapset "github.com/deckarep/golang-set/v2"

	"comfreytack/core/command/gossip"
	"comfreytack/core/command/reader"
	"comfreytack/core/model"
	"comfreytack/core/query/check"
)

const (
	// startWait is how long a starting daemon asks peers before it may trust the platform alone.
	startWait = time.Second
	// maxStartWait is how long it waits for peers that neither answer nor refuse its connection.
	maxStartWait = 5 * time.Second
	// askInterval is the time between two rounds of requests, each to at most askPeersAtOnce peers.
	askInterval    = 250 * time.Millisecond
	askPeersAtOnce = 8
	// readyAsks is how many peers a daemon that has become ready asks once more.
	readyAsks = 2
	// firstReadJitter randomizes the first reads of daemons of the same rank.
	firstReadJitter = 500 * time.Millisecond
)

// Start tracks how a daemon learns its first configuration. The daemon becomes ready when
//
//   - a ready peer has sent it all that this peer has, or the platform was read and startWait has passed;
//   - and every known peer has sent a message or refused the connection, or maxStartWait has passed;
//   - and it has in force the newest revision that any ready peer reported.
//
// If reads of the platform always show its newest state, a read replaces the first two conditions.
//
// A daemon that has been sent a document which it refuses, and has none in force, is not ready in any case: it could serve
// nothing. It asks ready peers for the document that they have in force (awaitsDocument).
//
// So a platform that is behind the fleet, or a peer that is behind the others, cannot bring an old
// configuration back through a restarted daemon, as long as a daemon with a newer one answers.
type Start struct {
	// At is when the daemon started.
	At time.Time
	// PlatformCurrent says that a read of the platform shows its newest state, so that no peer has to be heard
	// first.
	PlatformCurrent bool
	// Ready never becomes false again.
	Ready bool
	// PeerRevision is the newest revision that any ready peer has reported.
	PeerRevision model.Revision
	// PeerAnswered is true when a ready peer has answered a request with all that it has.
	PeerAnswered bool
	// PlatformRead is true when the platform has been read.
	PlatformRead bool
	// Unheard has the peers that have neither sent a message nor refused the connection yet.
	Unheard mapset.Set[model.Address]
	// AskAt is the time of the next round of requests to peers.
	AskAt time.Time
}

func newStart(now time.Time, self model.Address, seeds []model.Address) Start {
	s := Start{At: now, AskAt: now, Unheard: mapset.NewThreadUnsafeSet[model.Address]()}
	s.await(seeds)
	s.Unheard.Remove(self)
	return s
}

// await adds peers that have to be heard before the daemon trusts the platform.
func (s *Start) await(peers []model.Address) {
	s.Unheard.Append(peers...)
}

// platformRead records the first successful read. The peers that it made known have to be heard too.
func (s *Start) platformRead(peers []model.Address) {
	if !s.PlatformRead {
		s.PlatformRead = true
		s.await(peers)
	}
}

// heard records the digest of a peer; answered says that it came with an answer that has been applied.
func (s *Start) heard(from model.Address, digest gossip.Digest, answered bool) {
	s.Unheard.Remove(from)
	if !digest.Ready {
		return
	}
	s.PeerRevision = max(s.PeerRevision, digest.Revision)
	s.PeerAnswered = s.PeerAnswered || answered
}

// updateReady sets Ready if the daemon, whose configuration is complete up to the given revision, has become ready. It
// reports whether it has just become so.
func (s *Start) updateReady(now time.Time, complete model.Revision) bool {
	if s.Ready || complete < s.PeerRevision {
		return false
	}
	age := now.Sub(s.At)
	allHeard := s.Unheard.Cardinality() == 0 || age >= maxStartWait
	learnt := s.PeerAnswered || (s.PlatformRead && age >= startWait)
	s.Ready = (s.PlatformCurrent && s.PlatformRead) || (allHeard && learnt)
	return s.Ready
}

// awaitsDocument reports whether a document is published that cannot come into force while no other is.
func (s *State) awaitsDocument() bool {
	_, refused := s.Config.Refusals[check.DocumentKey]
	_, inForce := s.Config.Documents.Entries[check.DocumentKey]
	return refused && !inForce
}

// firstReadDelay returns how long after its start a daemon first reads the platform. The delay rises with the rank
// of the daemon's address among the seeds, so that only a few daemons read before the others hear of it.
func firstReadDelay(self model.Address, seeds []model.Address, random *rand.Rand) time.Duration {
	all := append(slices.Clone(seeds), self)
	own := xxhash.Sum64String(string(self))
	rank := 0
	for _, address := range seeds {
		if xxhash.Sum64String(string(address)) < own {
			rank++
		}
	}
	rankDelay := reader.Gap * time.Duration(rank) / time.Duration(len(all))
	if len(seeds) == 0 {
		return 0
	}
	return startWait + rankDelay + time.Duration(random.Int64N(int64(firstReadJitter)))
}

// askPeers requests the digests of some peers while the daemon is not ready, or suspects after a pause that its
// state is old. The values that it lacks are then requested from one peer at a time.
func (s *State) askPeers(now time.Time) []Effect {
	if (s.Start.Ready && !s.Pause.Suspect) || now.Before(s.Start.AskAt) {
		return nil
	}
	s.Start.AskAt = now.Add(askInterval)
	return s.askDigests(now, s.peersToAsk())
}

// askDigests requests the digests of peers, with which they send all notices and evidence that they have.
func (s *State) askDigests(now time.Time, addresses []model.Address) []Effect {
	var effects []Effect
	for _, address := range addresses {
		message := s.message(now, address)
		message.Want = s.newWant()
		message.Want.DigestOnly = true
		effects = append(effects, SendPeer{To: address, Message: message})
	}
	return effects
}

// peersToAsk chooses peers at random, those that have not been heard yet first.
func (s *State) peersToAsk() []model.Address {
	addresses := s.Members.Addresses()
	s.Settings.Random.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	slices.SortStableFunc(addresses, func(a, b model.Address) int {
		return cmp.Compare(s.askOrder(a), s.askOrder(b))
	})
	return addresses[:min(askPeersAtOnce, len(addresses))]
}

// askOrder sorts peers that have not been heard yet before the others.
func (s *State) askOrder(address model.Address) int {
	if s.Start.Unheard.Contains(address) {
		return 0
	}
	return 1
}
