package deploy

import "comfreytack/core/model"

// Link is a connection's way from where callers connect to where the receiver listens.
type Link struct {
	Listen, To model.Address
}

// Linked returns the site with a link in front of the platform, and of the gate and the upstream of each place, so that
// they can be failed from outside. next returns an unused address.
func (s Site) Linked(next func() model.Address) Site {
	s.PlatformLink = Link{Listen: next(), To: s.Platform}
	places := make([]Place, len(s.Places))
	for i, place := range s.Places {
		// Other daemons know the published address, which is the link's now.
		place.GateLink = Link{Listen: place.Daemon.Gate, To: next()}
		place.Daemon.Gate = place.GateLink.To
		place.UpstreamLink = Link{Listen: next(), To: place.Daemon.Upstream}
		place.Daemon.Upstream = place.UpstreamLink.Listen
		place.Daemon.Platform = []model.Address{s.PlatformLink.Listen}
		places[i] = place
	}
	s.Places = places
	return s
}

// UpstreamListens returns where the upstream itself listens.
func (p Place) UpstreamListens() model.Address {
	if p.UpstreamLink.To != "" {
		return p.UpstreamLink.To
	}
	return p.Daemon.Upstream
}
