package verbs

import (
	"context"
	"os"

	"comfreytack/cftlab/plat"
)

var platformVerb = Verb{
	Name:    "platform",
	Summary: "serve a stand-in for the configuration service and the instance list",
	New:     func() Action { return &platform{} },
}

type platform struct {
	Listen  string `long:"listen" required:"true" value-name:"ADDRESS" description:"serve the reads of daemons"`
	Control string `long:"control" value-name:"ADDRESS" description:"serve PUT and DELETE /v1/keys/KEY, POST /control, GET /counts"`
	Keys    string `long:"keys" value-name:"FOLDER" description:"one file for each initial key, for example contracts/policia-norte.json"`
}

// Run serves until ctx ends.
func (p *platform) Run(ctx context.Context, _ Streams) error {
	initial := plat.State{}
	if p.Keys != "" {
		loaded, err := plat.Load(os.DirFS(p.Keys))
		if err != nil {
			return err
		}
		initial = loaded
	}
	fake := plat.New(ctx, initial)
	servers := serverGroup{}
	if err := servers.listen(p.Listen, fake.Handler()); err != nil {
		return err
	}
	if err := servers.listen(p.Control, fake.ControlHandler()); err != nil {
		return err
	}
	return servers.run(ctx)
}
