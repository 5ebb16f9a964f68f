package deploy

import "comfreytack/core/model"

// Link is a path through a proxy, which listens at Listen and forwards connections to Target.
type Link struct {
	Listen, Target model.Address
}

// WithLinks returns the site with a link in front of the platform, and of the gate and the upstream of each node, so
// that network faults can be injected. next returns an unused address.
func (s Site) WithLinks(next func() model.Address) Site {
	s.PlatformLink = Link{Listen: next(), Target: s.Platform}
	nodes := make([]Node, len(s.Nodes))
	for i, node := range s.Nodes {
		// The published address of the gate becomes that of the link, since other daemons connect to it.
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

// UpstreamListenAddress returns the address at which the upstream itself listens, behind its link if it has one.
func (n Node) UpstreamListenAddress() model.Address {
	if n.UpstreamLink.Target != "" {
		return n.UpstreamLink.Target
	}
	return n.Daemon.Upstream
}
