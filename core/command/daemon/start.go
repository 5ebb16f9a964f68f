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
)

const (
	// startWait is how long a starting daemon asks peers before it may trust the platform alone.
	startWait = time.Second
	// longestStartWait is how long it waits for peers that neither answer nor refuse its connection.
	longestStartWait = 5 * time.Second
	// askEvery is the time between two rounds of asking, each of askPeersAtOnce peers.
	askEvery       = 250 * time.Millisecond
	askPeersAtOnce = 8
	// firstReadJitter spreads the first reads of daemons of the same rank.
	firstReadJitter = 500 * time.Millisecond
)

// Start is how far a daemon is with learning its first configuration. It becomes ready when
//
//   - a ready peer has given it all that this peer has, or the platform was read and startWait has passed;
//   - and every known peer has said something or refused contact, or longestStartWait has passed;
//   - and it has in force what any ready peer told it of.
//
// or as soon as the platform was read, where its reads are never behind.
//
// So a platform that is behind the fleet, or a peer that is behind the others, cannot bring an old
// configuration back through a restarted daemon, as long as one that knows better answers.
type Start struct {
	// At is when the daemon started.
	At time.Time
	// PlatformCurrent says that a read of the platform shows its newest state, so that nobody else needs to be
	// heard.
	PlatformCurrent bool
	// Ready never becomes false again.
	Ready bool
	// Highest is the newest revision that a ready peer was known to have.
	Highest model.Revision
	// PeerAnswered is true when a ready peer has answered a question with all that it has.
	PeerAnswered bool
	// PlatformRead is true when the platform has been read.
	PlatformRead bool
	// Silent has the peers of which nothing is known yet.
	Silent mapset.Set[model.Address]
	// AskAt is when peers are asked next.
	AskAt time.Time
}

func newStart(now time.Time, self model.Address, seeds []model.Address) Start {
	s := Start{At: now, AskAt: now, Silent: mapset.NewThreadUnsafeSet[model.Address]()}
	s.await(seeds)
	s.Silent.Remove(self)
	return s
}

// await adds peers that the daemon has to hear of before it trusts the platform.
func (s *Start) await(peers []model.Address) {
	s.Silent.Append(peers...)
}

// platformRead takes note of the first successful read. The peers that it made known are awaited too.
func (s *Start) platformRead(peers []model.Address) {
	if !s.PlatformRead {
		s.PlatformRead = true
		s.await(peers)
	}
}

// heard takes the digest of a peer; answered says that it came with an answer that has been applied.
func (s *Start) heard(from model.Address, digest gossip.Digest, answered bool) {
	s.Silent.Remove(from)
	if !digest.Ready {
		return
	}
	s.Highest = max(s.Highest, digest.Revision)
	s.PeerAnswered = s.PeerAnswered || answered
}

// judge decides whether the daemon has become ready.
func (s *Start) judge(now time.Time, complete model.Revision) {
	if s.Ready || complete < s.Highest {
		return
	}
	age := now.Sub(s.At)
	if s.PlatformCurrent && s.PlatformRead {
		s.Ready = true
		return
	}
	allHeard := s.Silent.Cardinality() == 0 || age >= longestStartWait
	learnt := s.PeerAnswered || (s.PlatformRead && age >= startWait)
	s.Ready = allHeard && learnt
}

// firstRead returns how long after its start a daemon first reads the platform. Daemons take turns by
// the rank of their addresses among the seeds, so that few have read before the others hear of it.
func firstRead(self model.Address, seeds []model.Address, random *rand.Rand) time.Duration {
	all := append(slices.Clone(seeds), self)
	own := xxhash.Sum64String(string(self))
	rank := 0
	for _, address := range seeds {
		if xxhash.Sum64String(string(address)) < own {
			rank++
		}
	}
	turn := reader.Gap * time.Duration(rank) / time.Duration(len(all))
	if len(seeds) == 0 {
		return 0
	}
	return startWait + turn + time.Duration(random.Int64N(int64(firstReadJitter)))
}

// askPeers asks some peers what they have while the daemon is not ready or suspects itself. Their values
// are then asked of one of them at a time.
func (s *State) askPeers(now time.Time) []Effect {
	if (s.Start.Ready && !s.Pause.Suspect) || now.Before(s.Start.AskAt) {
		return nil
	}
	s.Start.AskAt = now.Add(askEvery)
	var effects []Effect
	for _, address := range s.peersToAsk() {
		message := s.message(now, address)
		message.Want = s.want()
		message.Want.DigestOnly = true
		effects = append(effects, SendPeer{To: address, Message: message})
	}
	return effects
}

// peersToAsk chooses those that have not been heard of first.
func (s *State) peersToAsk() []model.Address {
	addresses := s.Members.Addresses()
	s.Settings.Random.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	slices.SortStableFunc(addresses, func(a, b model.Address) int {
		return cmp.Compare(s.known(a), s.known(b))
	})
	return addresses[:min(askPeersAtOnce, len(addresses))]
}

func (s *State) known(address model.Address) int {
	if s.Start.Silent.Contains(address) {
		return 0
	}
	return 1
}
