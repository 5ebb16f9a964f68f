package daemon

import (
	"slices"
	"time"

	"comfreytack/core/command/config"
	"comfreytack/core/command/gossip"
	"comfreytack/core/model"
)

// maxFreeDeltaBytes is the size up to which deltas are sent to any number of peers at once.
const maxFreeDeltaBytes = 256 << 10

// messageReceived handles a message from another daemon and returns the messages that it calls for.
func (s *State) messageReceived(now time.Time, message gossip.Message) []Effect {
	if !s.Members.Hear(now, message.From) {
		return nil
	}
	s.Reader.Heard(now, message.Reads)
	if s.Settings.Poison.Merge(now, message.Crashes) {
		s.Gossip.QueueAnnouncement(gossip.UrgentFanOut)
	}
	newNotices := s.Leaves.Merge(message.Leaves)
	peerRestarted := s.Leaves.Alive(message.From)
	selfRestarted := s.Leaves.Alive(s.self)
	if newNotices || peerRestarted || selfRestarted {
		s.Gossip.QueueAnnouncement(gossip.UrgentFanOut)
		s.rebuild()
	}
	s.detectOutageEnd(now, message)
	s.applyValues(now, message)
	s.mergeFreshness(now, message)
	answered := message.Answers != 0
	caughtUp := s.Config.Complete >= message.Digest.Revision
	s.Start.heard(message.From.Address, message.Digest, answered && caughtUp)
	if message.Digest.Ready && answered && caughtUp {
		s.Pause.Confirmed(message.Answers)
	}
	effects := s.passOn(now, message)
	effects = append(effects, s.answerWant(now, message)...)
	return append(effects, s.compareDigest(now, message)...)
}

// applyValues applies the values in a message.
func (s *State) applyValues(now time.Time, message gossip.Message) {
	if message.Delta != nil {
		s.Gossip.Answered(message.From.Address)
		s.applyConfig(now, func() config.Outcome { return s.Config.Apply(*message.Delta) })
	}
	if message.Copy != nil {
		s.Gossip.Answered(message.From.Address)
		s.applyConfig(now, func() config.Outcome { return s.Config.Merge(*message.Copy) })
	}
}

// answerWant answers the request in a message, if it has one. A full copy, or a delta as large, may be refused, since each
// takes memory while it is sent; the peer then asks another daemon.
func (s *State) answerWant(now time.Time, message gossip.Message) []Effect {
	if message.Want == nil {
		return nil
	}
	to := message.From.Address
	answer := s.message(now, to)
	answer.Answers = message.Want.Nonce
	answer.Leaves = s.Leaves.All()
	answer.Crashes = s.Settings.Poison.Gossip(now)
	if message.Want.DigestOnly {
		return []Effect{SendPeer{To: to, Message: answer}}
	}
	if delta, known := s.Config.Since(message.Want.After, gossip.MaxDeltaBytes); known && !message.Want.Whole {
		if delta.Bytes() > maxFreeDeltaBytes && !s.Gossip.AllowCopy(now) {
			return nil
		}
		answer.Delta = &delta
		return []Effect{SendPeer{To: to, Message: answer}}
	}
	if !s.Config.Covers(message.Want.Services) || !s.Gossip.AllowCopy(now) {
		return nil
	}
	full := s.Config.CopyFor(message.Want.Services)
	answer.Copy = &full
	return []Effect{SendPeer{To: to, Message: answer}}
}

// compareDigest compares a message's digest with that of this daemon. It requests what this daemon lacks, or sends
// its own digest to a peer that is behind.
func (s *State) compareDigest(now time.Time, message gossip.Message) []Effect {
	own := s.digest()
	from := message.From.Address
	s.recordReported(now, message.Digest.Revision)
	ask := message.Digest.Revision > own.Revision && !s.expectsOwnRead(now)
	// A ready peer at the same revision has a document in force if there has been one.
	heal := s.Gossip.HealDue(now, own, message.Digest) ||
		s.awaitsDocument() && message.Digest.Ready && message.Digest.Revision >= own.Revision
	if (ask || heal) && s.Gossip.TryAsk(now, from) {
		request := s.message(now, from)
		request.Want = s.newWant()
		request.Want.Whole = heal
		return []Effect{SendPeer{To: from, Message: request}}
	}
	if message.Digest.Revision < own.Revision && message.Want == nil {
		return s.sendDigest(now, []model.Address{from})
	}
	return nil
}

// announce sends the digest to a few peers if there is something to announce.
func (s *State) announce(now time.Time) []Effect {
	peers := s.Gossip.AnnounceDue(now)
	if peers == 0 {
		return nil
	}
	return s.sendDigest(now, s.Members.Choose(now, peers, false, s.Settings.Random))
}

// sendDigest sends each address a message with the digest, without values and without a request.
func (s *State) sendDigest(now time.Time, addresses []model.Address) []Effect {
	var effects []Effect
	for _, address := range addresses {
		effects = append(effects, SendPeer{To: address, Message: s.message(now, address)})
	}
	return effects
}

// message returns a message to the given daemon with the fields that every message has. Callers add values or a
// request.
func (s *State) message(now time.Time, to model.Address) gossip.Message {
	return gossip.Message{
		From:    s.self,
		Digest:  s.digest(),
		Reads:   s.Reader.ReadsFor(now, s.Members.DomainOf(to)),
		Leaves:  s.Leaves.NextNotices(s.Settings.Random.Int()),
		Crashes: s.Settings.Poison.NextEvidence(now, s.Settings.Random.Int()),
		Fresh:   s.Lease.Report(now, s.self.Name),
	}
}

// digest summarizes the configuration in force at this daemon.
func (s *State) digest() gossip.Digest {
	return gossip.Digest{
		Revision:  s.Config.Complete,
		Contracts: s.Config.Contracts.Hash ^ s.Config.Evacuations.Hash,
		Scope:     s.Config.Scope(),
		Services:  s.Config.Services.Hash ^ s.Config.Instances.Hash ^ s.Config.Documents.Hash,
		Ready:     s.Start.Ready && !s.Pause.Suspect,
	}
}

// newWant returns a request for what this daemon lacks.
func (s *State) newWant() *gossip.Want {
	services := s.Config.Wanted.ToSlice()
	slices.Sort(services)
	return &gossip.Want{After: s.Config.Complete, Services: services, Nonce: s.Pause.Nonce}
}
