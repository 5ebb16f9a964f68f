package fleet

import (
	"context"

	"comfreytack/cftlab/deploy"
	"comfreytack/cftlab/proxy"
	"comfreytack/core/model"
)

// startLinks starts the proxies of a site with links. They run until the fleet stops.
func (f *Fleet) startLinks() error {
	ctx, stop := context.WithCancel(context.Background())
	f.stopLinks = stop
	links := []deploy.Link{f.settings.Site.PlatformLink}
	for _, node := range f.settings.Site.Nodes {
		links = append(links, node.GateLink, node.UpstreamLink)
	}
	for _, link := range links {
		if link.Target == "" {
			continue
		}
		listening, err := proxy.New(link.Listen, link.Target)
		if err != nil {
			return err
		}
		f.links[link.Listen] = listening
		go listening.Serve(ctx)
	}
	return nil
}

// Link returns the proxy that listens at an address, or nil if there is none.
func (f *Fleet) Link(listen model.Address) *proxy.Proxy { return f.links[listen] }
