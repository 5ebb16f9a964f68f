// Package reader decides when this daemon reads the platform.
//
// There is no election. A daemon that hears, through gossip, of PerDomain live readers with a lower rank in its
// failure domain does not read. A hard limit holds whatever a daemon believes about the others: it never starts two
// reads within Gap, so a fleet of N daemons starts at most N/Gap reads per second (22,000 daemons: 1,834 per second).
// Only a daemon that keeps the whole instance list, and so knows N, reads more often when it hears of few other
// readers, within the same limit.
//
//	four live readers of lower rank in the domain   ->  no read
//	three, and its own last read is Gap old         ->  read
//	no read heard of anywhere for NoReaderTimeout   ->  take over after a random part of Gap
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
	// Gap is the minimum time between the starts of two reads of one daemon.
	Gap = 12 * time.Second
	// MinGap is the minimum time for a daemon that knows the fleet to be small.
	MinGap = time.Second
	// MaxFleet is the number of daemons that Gap is chosen for.
	MaxFleet = 22_000
	// fleetInterval is the time between two reads, by any daemons, that a small fleet aims at.
	fleetInterval = 500 * time.Millisecond
	// Wait is the long-poll time of a read: how long it waits for a change. A read that waits counts as one read.
	Wait = 10 * time.Second
	// PerDomain is the target number of readers per failure domain.
	PerDomain = 4
	// ReaderTimeout is how long a reader counts as live after its last known read.
	ReaderTimeout = 45 * time.Second
	// NoReaderTimeout is the time without a new read by any reader after which nobody is assumed to read.
	NoReaderTimeout = 30 * time.Second

	// readTimeout is the time after which a read whose end was never reported counts as ended.
	readTimeout = 2 * Gap
	// jitterDivisor sets the jitter of reads: each gap is extended at random by up to its jitterDivisor-th part, so
	// that readers do not synchronize.
	jitterDivisor = 10
	// maxBackoff bounds the gap after a failed read.
	maxBackoff = 30 * time.Second
	// maxTakeoverDelay is the longest wait before a daemon takes over from a lost reader.
	maxTakeoverDelay = 60 * time.Second
	// takeoverSkew makes early takeovers exponentially rare: of e^10 daemons, one takes over at once.
	takeoverSkew = 10.0
	// maxSeen bounds the readers that are remembered.
	maxSeen = 256
)

// Read reports a successful read.
type Read struct {
	// Reader, Incarnation and FailureDomain identify the daemon that read.
	Reader        model.UpstreamName  `json:"reader"`
	Incarnation   model.Incarnation   `json:"incarnation"`
	FailureDomain model.FailureDomain `json:"failure_domain"`
	// Sequence increases with each successful read of one incarnation; never zero.
	Sequence uint64 `json:"sequence"`
}

// Sighting is the newest known read of one reader.
type Sighting struct {
	Read Read
	// At is when this daemon first heard of Read. Hearing of it again does not change the time.
	At time.Time
}

// State is what one daemon knows about reads of the platform.
type State struct {
	// Self is this daemon.
	Self model.Peer
	// Fleet is the number of daemons if the whole instance list is known, else zero.
	Fleet int
	// Seen has the newest read of each known reader except this daemon; at most maxSeen.
	Seen map[model.UpstreamName]Sighting
	// HeardAt is when this daemon last learnt of a new read, its own included; initially the start of the daemon.
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
	// DueAt is when this daemon reads next; zero while enough others read.
	DueAt time.Time
}

// New returns the State of a daemon whose first read is at the time first, unless it hears of enough other readers.
func New(self model.Peer, now, first time.Time) *State {
	return &State{Self: self, Seen: map[model.UpstreamName]Sighting{}, HeardAt: now, DueAt: first}
}

// TryStart reports whether a read is due now, and if so marks it as in flight; the caller starts it and calls Ended.
func (s *State) TryStart(now time.Time, random *rand.Rand) bool {
	if s.InFlight && now.Sub(s.StartedAt) < readTimeout {
		return false
	}
	if s.lowerRankedReaders(now) >= PerDomain {
		s.DueAt = time.Time{}
		return false
	}
	if s.DueAt.IsZero() {
		s.DueAt = s.takeoverAt(now, random)
	}
	if now.Before(s.DueAt) || (!s.StartedAt.IsZero() && now.Sub(s.StartedAt) < s.gap(now)) {
		return false
	}
	s.StartedAt = now
	s.InFlight = true
	s.Starts++
	return true
}

// Ended records the end of a read. A read that was answered by a stale replica counts as failed.
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
	s.DueAt = s.StartedAt.Add(gap + randomUpTo(gap/jitterDivisor, random))
}

// Heard merges the reads reported by another daemon.
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

// ReadsFor returns the reads to report to a daemon of the given failure domain: the newest read from anywhere and, if
// it is this daemon's own domain, the reads of the readers with the lowest ranks there.
func (s *State) ReadsFor(now time.Time, domain model.FailureDomain) []Read {
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

// gap returns the current minimum time between the starts of two reads.
func (s *State) gap(now time.Time) time.Duration {
	if s.Fleet == 0 {
		return Gap
	}
	readers := 1
	for _, sighting := range s.Seen {
		if now.Sub(sighting.At) < ReaderTimeout {
			readers++
		}
	}
	floor := max(MinGap, Gap*time.Duration(s.Fleet)/MaxFleet)
	return max(floor, min(Gap, fleetInterval*time.Duration(readers)))
}

// live returns the live readers, this daemon included, in ascending order of rank.
func (s *State) live(now time.Time) []Sighting {
	sightings := make([]Sighting, 0, len(s.Seen)+1)
	for _, sighting := range s.Seen {
		if now.Sub(sighting.At) < ReaderTimeout {
			sightings = append(sightings, sighting)
		}
	}
	if s.Sequence > 0 && s.Failures == 0 && now.Sub(s.StartedAt) < ReaderTimeout {
		own := Read{Reader: s.Self.Name, Incarnation: s.Self.Incarnation, FailureDomain: s.Self.FailureDomain, Sequence: s.Sequence}
		sightings = append(sightings, Sighting{Read: own, At: s.StartedAt})
	}
	slices.SortFunc(sightings, func(a, b Sighting) int {
		return cmp.Or(cmp.Compare(rank(a.Read.Reader), rank(b.Read.Reader)), cmp.Compare(a.Read.Reader, b.Read.Reader))
	})
	return sightings
}

// lowerRankedReaders counts the live readers of this daemon's failure domain with a lower rank.
func (s *State) lowerRankedReaders(now time.Time) int {
	own := rank(s.Self.Name)
	count := 0
	for _, sighting := range s.Seen {
		if sighting.Read.FailureDomain != s.Self.FailureDomain || now.Sub(sighting.At) >= ReaderTimeout {
			continue
		}
		if rank(sighting.Read.Reader) < own {
			count++
		}
	}
	return count
}

// takeoverAt returns when to become a reader. While others still read, the delay is skewed towards maxTakeoverDelay, so
// that few daemons take over before gossip of the first takeover has spread.
func (s *State) takeoverAt(now time.Time, random *rand.Rand) time.Time {
	if now.Sub(s.HeardAt) >= NoReaderTimeout {
		return now.Add(randomUpTo(Gap, random))
	}
	share := math.Max(0, 1+math.Log(1-random.Float64())/takeoverSkew)
	return now.Add(time.Duration(share * float64(maxTakeoverDelay)))
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

// rank orders the daemons of a failure domain by a hash of their names, the same on all of them; lowest first.
func rank(name model.UpstreamName) uint64 {
	return xxhash.Sum64String(string(name))
}

func randomUpTo(limit time.Duration, random *rand.Rand) time.Duration {
	return time.Duration(random.Int64N(int64(limit)))
}
