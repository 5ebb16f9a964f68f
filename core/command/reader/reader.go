// Package reader decides when this daemon reads the platform.
//
// There is no election. A daemon that hears, through gossip, of enough live readers with a better rank
// in its failure domain stays silent. A hard budget stands below that rule: a daemon never starts two
// reads within Gap, so a fleet of N daemons starts at most N/Gap reads a second whatever each of them
// believes (22,000 daemons: 1,834 a second). Only a daemon that keeps the whole instance list, and so
// knows N, reads more often when it hears of few other readers, within the same bound.
//
//	three live readers of better rank      ->  silent
//	two, and own last read is Gap old      ->  read
//	none heard anywhere for NobodySilence  ->  step in after a random share of Gap
package reader

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"comfreytack/core/model"
)

// The timing of reads.
const (
	// Gap is the shortest time between the starts of two reads of one daemon.
	Gap = 12 * time.Second
	// MinGap is the shortest gap of a daemon that knows the fleet to be small.
	MinGap = time.Second
	// MaxFleet is the number of daemons that Gap is right for.
	MaxFleet = 22_000
	// readEvery is the time between two reads of the whole fleet that readers aim at.
	readEvery = 500 * time.Millisecond
	// Wait is how long a read waits for a change; a waiting read counts as one.
	Wait = 10 * time.Second
	// PerDomain is how many readers a failure domain aims at.
	PerDomain = 4
	// Silence is how long after its last known read a reader counts as live.
	Silence = 45 * time.Second
	// NobodySilence is how long without news of any reader means that nobody reads.
	NobodySilence = 30 * time.Second

	// lostRead is how long after its start a read whose end was never told counts as over.
	lostRead = 2 * Gap
	// jitterShare spreads the reads of one daemon by this part of its gap, so that readers do not fall
	// into step.
	jitterShare = 10
	// maxBackoff bounds the gap between reads that fail.
	maxBackoff = 30 * time.Second
	// stepInSpread is the longest wait before a daemon steps in for a lost reader.
	stepInSpread = 60 * time.Second
	// stepInSkew makes early steps exponentially rare: with e^10 daemons one steps in early.
	stepInSkew = 10.0
	maxSeen    = 256
)

// Read is news of a successful read.
type Read struct {
	// Reader, Incarnation and FailureDomain name the daemon that read.
	Reader        model.UpstreamName  `json:"reader"`
	Incarnation   model.Incarnation   `json:"incarnation"`
	FailureDomain model.FailureDomain `json:"failure_domain"`
	// Sequence rises with each successful read of one incarnation; never zero.
	Sequence uint64 `json:"sequence"`
}

// Sighting is the newest news of one reader.
type Sighting struct {
	Read Read
	// At is when this daemon first heard of Read; relayed old news do not move it.
	At time.Time
}

// State is what one daemon knows of reads of the platform.
type State struct {
	// Self is this daemon.
	Self model.Peer
	// Fleet is the number of daemons if the whole instance list is known, else zero.
	Fleet int
	// Seen has the newest read of each known reader, without this daemon; at most maxSeen.
	Seen map[model.UpstreamName]Sighting
	// HeardAt is when the last news of any reader came, or this daemon read; it starts at the start.
	HeardAt time.Time
	// StartedAt is when this daemon last started a read; zero before the first.
	StartedAt time.Time
	// InFlight is true while a read waits for its answer.
	InFlight bool
	// Sequence counts this daemon's successful reads.
	Sequence uint64
	// Failures counts failed reads in a row.
	Failures int
	// Starts counts all reads that this daemon started.
	Starts uint64
	// DueAt is when this daemon reads next unless it becomes silent; zero while it is silent.
	DueAt time.Time
}

// New returns the state of a daemon that reads first at the given time, unless it hears of others.
func New(self model.Peer, now, first time.Time) *State {
	return &State{Self: self, Seen: map[model.UpstreamName]Sighting{}, HeardAt: now, DueAt: first}
}

// TryStart tells whether to start a read now. The caller then starts one and reports its end to Ended.
func (s *State) TryStart(now time.Time, random *rand.Rand) bool {
	if s.InFlight && now.Sub(s.StartedAt) < lostRead {
		return false
	}
	if s.betterReaders(now) >= PerDomain {
		s.DueAt = time.Time{}
		return false
	}
	if s.DueAt.IsZero() {
		s.DueAt = s.stepIn(now, random)
	}
	if now.Before(s.DueAt) || (!s.StartedAt.IsZero() && now.Sub(s.StartedAt) < s.gap(now)) {
		return false
	}
	s.StartedAt = now
	s.InFlight = true
	s.Starts++
	return true
}

// Ended takes the end of a read. Reads that failed or came from a stale replica have not succeeded.
func (s *State) Ended(now time.Time, succeeded bool, random *rand.Rand) {
	s.InFlight = false
	gap := s.gap(now)
	if succeeded {
		s.Sequence++
		s.Failures = 0
		s.HeardAt = now
	} else {
		s.Failures++
		gap = min(max(gap*time.Duration(s.Failures), gap), maxBackoff)
	}
	s.DueAt = s.StartedAt.Add(gap + randomUpTo(gap/jitterShare, random))
}

// Heard merges news from another daemon.
func (s *State) Heard(now time.Time, reads []Read) {
	for _, read := range reads {
		if read.Reader == s.Self.Name {
			continue
		}
		old, known := s.Seen[read.Reader]
		if known && !newer(read, old.Read) {
			continue
		}
		s.Seen[read.Reader] = Sighting{Read: read, At: now}
		s.HeardAt = now
	}
	for len(s.Seen) > maxSeen {
		s.forgetOldest()
	}
}

// News returns what to tell a daemon of the given failure domain: the best readers of this daemon's
// own domain if it shares it, and the newest read from anywhere.
func (s *State) News(now time.Time, domain model.FailureDomain) []Read {
	sightings := s.live(now)
	if len(sightings) == 0 {
		return nil
	}
	newest := slices.MaxFunc(sightings, func(a, b Sighting) int { return a.At.Compare(b.At) })
	reads := []Read{newest.Read}
	if domain != s.Self.FailureDomain {
		return reads
	}
	for _, sighting := range sightings {
		if len(reads) > PerDomain {
			break
		}
		if sighting.Read != newest.Read && sighting.Read.FailureDomain == domain {
			reads = append(reads, sighting.Read)
		}
	}
	return reads
}

// gap returns the shortest time between the starts of two reads now.
func (s *State) gap(now time.Time) time.Duration {
	if s.Fleet == 0 {
		return Gap
	}
	readers := 1
	for _, sighting := range s.Seen {
		if now.Sub(sighting.At) < Silence {
			readers++
		}
	}
	floor := max(MinGap, Gap*time.Duration(s.Fleet)/MaxFleet)
	return max(floor, min(Gap, readEvery*time.Duration(readers)))
}

// live returns the live readers, this daemon included, by rising rank.
func (s *State) live(now time.Time) []Sighting {
	sightings := make([]Sighting, 0, len(s.Seen)+1)
	for _, sighting := range s.Seen {
		if now.Sub(sighting.At) < Silence {
			sightings = append(sightings, sighting)
		}
	}
	if s.Sequence > 0 && s.Failures == 0 && now.Sub(s.StartedAt) < Silence {
		own := Read{Reader: s.Self.Name, Incarnation: s.Self.Incarnation, FailureDomain: s.Self.FailureDomain, Sequence: s.Sequence}
		sightings = append(sightings, Sighting{Read: own, At: s.StartedAt})
	}
	slices.SortFunc(sightings, func(a, b Sighting) int {
		return cmp.Or(cmp.Compare(rank(a.Read.Reader), rank(b.Read.Reader)), cmp.Compare(a.Read.Reader, b.Read.Reader))
	})
	return sightings
}

// betterReaders counts the live readers of the own failure domain with a better rank.
func (s *State) betterReaders(now time.Time) int {
	own := rank(s.Self.Name)
	count := 0
	for _, sighting := range s.Seen {
		if sighting.Read.FailureDomain != s.Self.FailureDomain || now.Sub(sighting.At) >= Silence {
			continue
		}
		if rank(sighting.Read.Reader) < own {
			count++
		}
	}
	return count
}

// stepIn returns when to become a reader. When others still read there is no hurry, and the skewed
// wait lets few step in before news of the first has spread.
func (s *State) stepIn(now time.Time, random *rand.Rand) time.Time {
	if now.Sub(s.HeardAt) >= NobodySilence {
		return now.Add(randomUpTo(Gap, random))
	}
	share := math.Max(0, 1+math.Log(1-random.Float64())/stepInSkew)
	return now.Add(time.Duration(share * float64(stepInSpread)))
}

func (s *State) forgetOldest() {
	var oldest model.UpstreamName
	for name, sighting := range s.Seen {
		if oldest == "" || sighting.At.Before(s.Seen[oldest].At) {
			oldest = name
		}
	}
	delete(s.Seen, oldest)
}

func newer(a, b Read) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return a.Sequence > b.Sequence
}

// rank orders the daemons of a failure domain by their names, lowest first, the same on all of them.
func rank(name model.UpstreamName) uint64 {
	return xxhash.Sum64String(string(name))
}

func randomUpTo(limit time.Duration, random *rand.Rand) time.Duration {
	return time.Duration(random.Int64N(int64(limit)))
}
