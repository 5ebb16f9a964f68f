package daemon

import (
	"slices"
	"time"

	"comfreytack/core/command/config"
	"comfreytack/core/command/gossip"
	"comfreytack/core/model"
)

// peerSaid takes a message from another daemon and returns what to answer.
func (s *State) peerSaid(now time.Time, message gossip.Message) []Effect {
	if !s.Members.Hear(now, message.From) {
		return nil
	}
	s.Reader.Heard(now, message.Reads)
	if s.Settings.Poison.Merge(now, message.Crashes) {
		s.Gossip.Learnt(gossip.UrgentFanOut)
	}
	news := s.Leaves.Merge(message.Leaves)
	alive := s.Leaves.Alive(message.From)
	aliveSelf := s.Leaves.Alive(s.self)
	if news || alive || aliveSelf {
		s.Gossip.Learnt(gossip.UrgentFanOut)
		s.rebuild()
	}
	s.endOutage(now, message)
	s.takeValues(now, message)
	s.heardFresh(now, message)
	answered := message.Answers != 0
	caughtUp := s.Config.Complete >= message.Digest.Revision
	s.Start.heard(message.From.Address, message.Digest, answered && caughtUp)
	if message.Digest.Ready && answered && caughtUp {
		s.Pause.Confirmed(message.Answers)
	}
	return append(s.serve(now, message), s.compare(now, message)...)
}

// takeValues applies the values in a message.
func (s *State) takeValues(now time.Time, message gossip.Message) {
	if message.Delta != nil {
		s.Gossip.Answered(message.From.Address)
		s.apply(now, func() config.Outcome { return s.Config.Apply(*message.Delta) })
	}
	if message.Copy != nil {
		s.Gossip.Answered(message.From.Address)
		s.apply(now, func() config.Outcome { return s.Config.Merge(*message.Copy) })
	}
}

// serve answers what the message asks for.
func (s *State) serve(now time.Time, message gossip.Message) []Effect {
	if message.Want == nil {
		return nil
	}
	to := message.From.Address
	answer := s.message(now, to)
	answer.Answers = message.Want.Nonce
	answer.Leaves = s.Leaves.All()
	if message.Want.DigestOnly {
		return []Effect{SendPeer{To: to, Message: answer}}
	}
	if delta, known := s.Config.Since(message.Want.After, gossip.MaxDeltaBytes); known && !message.Want.Whole {
		answer.Delta = &delta
		return []Effect{SendPeer{To: to, Message: answer}}
	}
	if !s.Config.Covers(message.Want.Services) || !s.Gossip.MayCopy(now) {
		return nil
	}
	whole := s.Config.CopyFor(message.Want.Services)
	answer.Copy = &whole
	return []Effect{SendPeer{To: to, Message: answer}}
}

// compare looks at the digest of a message: it asks for what this daemon lacks, and tells a sender
// who lacks something.
func (s *State) compare(now time.Time, message gossip.Message) []Effect {
	own := s.digest()
	from := message.From.Address
	s.told(now, message.Digest.Revision)
	ask := message.Digest.Revision > own.Revision && !s.readsForItself(now)
	heal := s.Gossip.HealDue(now, own, message.Digest)
	if (ask || heal) && s.Gossip.MayAsk(now, from) {
		question := s.message(now, from)
		question.Want = s.want()
		question.Want.Whole = heal
		return []Effect{SendPeer{To: from, Message: question}}
	}
	if message.Digest.Revision < own.Revision && message.Want == nil {
		return s.tell(now, []model.Address{from})
	}
	return nil
}

// announce tells a few peers that there is news.
func (s *State) announce(now time.Time) []Effect {
	peers := s.Gossip.AnnounceDue(now)
	if peers == 0 {
		return nil
	}
	return s.tell(now, s.Members.Choose(now, peers, false, s.Settings.Random))
}

func (s *State) tell(now time.Time, addresses []model.Address) []Effect {
	var effects []Effect
	for _, address := range addresses {
		effects = append(effects, SendPeer{To: address, Message: s.message(now, address)})
	}
	return effects
}

// message returns what every message to the given daemon carries.
func (s *State) message(now time.Time, to model.Address) gossip.Message {
	return gossip.Message{
		From:    s.self,
		Digest:  s.digest(),
		Reads:   s.Reader.ReadsFor(now, s.Members.DomainOf(to)),
		Leaves:  s.Leaves.NextNotices(s.Settings.Random.Int()),
		Crashes: s.Settings.Poison.Gossip(now),
		Fresh:   s.Lease.Report(now, s.self.Name),
	}
}

func (s *State) digest() gossip.Digest {
	return gossip.Digest{
		Revision:  s.Config.Complete,
		Contracts: s.Config.Contracts.Hash,
		Scope:     s.Config.Scope(),
		Services:  s.Config.Services.Hash ^ s.Config.Instances.Hash ^ s.Config.Documents.Hash,
		Ready:     s.Start.Ready && !s.Pause.Suspect,
	}
}

func (s *State) want() *gossip.Want {
	services := s.Config.Wanted.ToSlice()
	slices.Sort(services)
	return &gossip.Want{After: s.Config.Complete, Services: services, Nonce: s.Pause.Nonce}
}
