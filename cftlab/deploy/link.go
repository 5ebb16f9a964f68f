package deploy

import "comfreytack/core/model"

// Link is a connection's way from where callers connect to where the receiver listens.
type Link struct {
	Listen, Target model.Address
}

// WithLinks returns the site with a link in front of the platform, and of the gate and the upstream of each place, so that
// they can be failed from outside. next returns an unused address.
func (s Site) WithLinks(next func() model.Address) Site {
	s.PlatformLink = Link{Listen: next(), Target: s.Platform}
	nodes := make([]Node, len(s.Nodes))
	for i, node := range s.Nodes {
		// Other daemons know the published address, which is the link's now.
		node.GateLink = Link{Listen: node.Daemon.Gate, Target: next()}
		node.Daemon.Gate = node.GateLink.Target
		node.UpstreamLink = Link{Listen: next(), Target: node.Daemon.Upstream}
		node.Daemon.Upstream = node.UpstreamLink.Listen
		node.Daemon.Platform = []model.Address{s.PlatformLink.Listen}
		nodes[i] = node
	}
	s.Nodes = nodes
	return s
}

// UpstreamListenAddress returns where the upstream itself listens.
func (n Node) UpstreamListenAddress() model.Address {
	if n.UpstreamLink.Target != "" {
		return n.UpstreamLink.Target
	}
	return n.Daemon.Upstream
}
