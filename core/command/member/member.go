// Package member chooses the peers that this daemon exchanges control messages with.
//
// The published instance lists define which daemons exist. What this daemon observes itself, by receiving a message
// from a peer or by failing to reach it, changes only its own choice. It is never passed on, so a daemon that was
// paused or partitioned cannot make others drop a peer.
package member

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"comfreytack/core/model"
)

const (
	// SampleSize bounds the sample of peers that a daemon keeps from the instance lists.
	SampleSize = 20
	// nearSampleSize is how many of them are in its own failure domain, if there are that many.
	nearSampleSize = 7
	// avoidDuration is how long a peer is not chosen after it could not be reached.
	avoidDuration = 5 * time.Second
	// maxHeard bounds the daemons that are remembered because they sent a message.
	maxHeard = 32
	// seedEvery is the number of choices of which one includes a seed, so that parts of a fleet that have lost all
	// contact find each other again.
	seedEvery = 16
)

// Entry is what is known about a daemon that sent a message.
type Entry struct {
	Peer model.Peer
	// HeardAt is when the daemon last sent a message; zero when never.
	HeardAt time.Time
}

// PeerSet has the peers that this daemon may exchange messages with.
type PeerSet struct {
	// Self is this daemon.
	Self model.Peer
	// Seeds are addresses from the settings, without that of Self.
	Seeds []model.Address
	// Sample has at most SampleSize daemons from the instance lists.
	Sample []model.Peer
	// Heard has the daemons that sent messages, by name; at most maxHeard.
	Heard map[model.UpstreamName]Entry
	// FailedAt has the time of the last failure to reach each address.
	FailedAt map[model.Address]time.Time

	choices int
}

// New returns a PeerSet that knows only the seeds.
func New(self model.Peer, seeds []model.Address) *PeerSet {
	others := slices.DeleteFunc(slices.Clone(seeds), func(a model.Address) bool { return a == self.Address })
	return &PeerSet{Self: self, Seeds: others, Heard: map[model.UpstreamName]Entry{}, FailedAt: map[model.Address]time.Time{}}
}

// Published chooses a new sample from the instance lists of the services that this daemon keeps. Daemons rank
// the others by a hash of both names, so that each has a different sample and every daemon is in some samples.
func (p *PeerSet) Published(upstreams []model.Upstream) {
	peers := make([]model.Peer, 0, len(upstreams))
	for _, upstream := range upstreams {
		if upstream.Name != p.Self.Name && upstream.State != model.Gone {
			peers = append(peers, PeerOf(upstream))
		}
	}
	ranks := make(map[model.UpstreamName]uint64, len(peers))
	for _, peer := range peers {
		ranks[peer.Name] = xxhash.Sum64String(string(p.Self.Name) + "\x00" + string(peer.Name))
	}
	slices.SortFunc(peers, func(a, c model.Peer) int {
		return cmp.Or(cmp.Compare(ranks[a.Name], ranks[c.Name]), cmp.Compare(a.Name, c.Name))
	})
	p.Sample = sampleAcrossDomains(peers, p.Self.FailureDomain)
}

// PeerOf returns the daemon beside an upstream, without its incarnation, which the instance list does not have.
func PeerOf(upstream model.Upstream) model.Peer {
	return model.Peer{Name: upstream.Name, Service: upstream.Service, FailureDomain: upstream.FailureDomain, Address: upstream.Peer}
}

// sampleAcrossDomains takes up to nearSampleSize peers of the near failure domain, and the rest round robin from all
// domains, the near one last.
func sampleAcrossDomains(peers []model.Peer, near model.FailureDomain) []model.Peer {
	var domains []model.FailureDomain
	byDomain := map[model.FailureDomain][]model.Peer{}
	for _, peer := range peers {
		if len(byDomain[peer.FailureDomain]) == 0 {
			domains = append(domains, peer.FailureDomain)
		}
		byDomain[peer.FailureDomain] = append(byDomain[peer.FailureDomain], peer)
	}
	first := min(nearSampleSize, len(byDomain[near]))
	sample := slices.Clone(byDomain[near][:first])
	byDomain[near] = byDomain[near][first:]
	domains = append(slices.DeleteFunc(domains, func(d model.FailureDomain) bool { return d == near }), near)
	for len(sample) < min(SampleSize, len(peers)) {
		for _, domain := range domains {
			if len(byDomain[domain]) > 0 && len(sample) < SampleSize {
				sample = append(sample, byDomain[domain][0])
				byDomain[domain] = byDomain[domain][1:]
			}
		}
	}
	return sample
}

// Hear records a message from a peer. It returns false for a message of this daemon itself or of an earlier incarnation
// of the peer.
func (p *PeerSet) Hear(now time.Time, peer model.Peer) bool {
	if peer.Name == p.Self.Name {
		return false
	}
	old, known := p.Heard[peer.Name]
	if known && old.Peer.Incarnation > peer.Incarnation {
		return false
	}
	p.Heard[peer.Name] = Entry{Peer: peer, HeardAt: now}
	delete(p.FailedAt, peer.Address)
	if len(p.Heard) > maxHeard {
		p.forgetOldest()
	}
	return true
}

// Lost records that an address could not be reached.
func (p *PeerSet) Lost(now time.Time, address model.Address) {
	p.FailedAt[address] = now
	for name, entry := range p.Heard {
		if entry.Peer.Address == address {
			delete(p.Heard, name)
		}
	}
	for other, at := range p.FailedAt {
		if now.Sub(at) > avoidDuration {
			delete(p.FailedAt, other)
		}
	}
}

// Choose returns up to n different addresses at random. If near is true, they are in this daemon's own failure domain
// as long as it has candidates; only a seed may be elsewhere.
func (p *PeerSet) Choose(now time.Time, n int, near bool, random *rand.Rand) []model.Address {
	p.choices++
	candidates := p.candidates(now, near)
	random.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	chosen := candidates[:min(n, len(candidates))]
	if len(p.Seeds) > 0 && (len(chosen) == 0 || p.choices%seedEvery == 0) {
		seed := p.Seeds[random.IntN(len(p.Seeds))]
		if !slices.Contains(chosen, seed) {
			chosen = append(slices.Clone(chosen[:min(len(chosen), max(0, n-1))]), seed)
		}
	}
	return chosen
}

// Addresses returns all addresses that this daemon may send messages to.
func (p *PeerSet) Addresses() []model.Address {
	all := slices.Clone(p.Seeds)
	for _, peer := range p.Sample {
		all = append(all, peer.Address)
	}
	for _, entry := range p.Heard {
		all = append(all, entry.Peer.Address)
	}
	slices.Sort(all)
	return slices.Compact(all)
}

// DomainOf returns the failure domain of the daemon at an address, or "" if it is unknown.
func (p *PeerSet) DomainOf(address model.Address) model.FailureDomain {
	for _, peer := range p.Sample {
		if peer.Address == address {
			return peer.FailureDomain
		}
	}
	for _, entry := range p.Heard {
		if entry.Peer.Address == address {
			return entry.Peer.FailureDomain
		}
	}
	return ""
}

// Avoided reports whether an address could not be reached within the last avoidDuration.
func (p *PeerSet) Avoided(now time.Time, address model.Address) bool {
	failedAt, failed := p.FailedAt[address]
	return failed && now.Sub(failedAt) < avoidDuration
}

func (p *PeerSet) candidates(now time.Time, near bool) []model.Address {
	var all, nearOnly []model.Address
	add := func(peer model.Peer) {
		if p.Avoided(now, peer.Address) || peer.Address == p.Self.Address {
			return
		}
		all = append(all, peer.Address)
		if peer.FailureDomain == p.Self.FailureDomain {
			nearOnly = append(nearOnly, peer.Address)
		}
	}
	for _, peer := range p.Sample {
		add(peer)
	}
	for _, entry := range p.Heard {
		add(entry.Peer)
	}
	if near && len(nearOnly) > 0 {
		all = nearOnly
	}
	slices.Sort(all)
	return slices.Compact(all)
}

func (p *PeerSet) forgetOldest() {
	var oldest model.UpstreamName
	for name, entry := range p.Heard {
		if oldest == "" || entry.HeardAt.Before(p.Heard[oldest].HeardAt) {
			oldest = name
		}
	}
	delete(p.Heard, oldest)
}
