package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"comfreytack/cftlab/deploy"
	"comfreytack/cftlab/plat"
	"comfreytack/cftlab/stub"
	"comfreytack/core/model"
)

// ChangeFaults turns faults of a fake upstream on or off.
func (f *Fleet) ChangeFaults(ctx context.Context, node deploy.Node, change stub.Change) error {
	return post(ctx, node.Control, change)
}

// ChangePlatformFaults turns faults of the platform on or off.
func (f *Fleet) ChangePlatformFaults(ctx context.Context, change plat.FaultChange) error {
	return post(ctx, f.settings.Site.PlatformControl, change)
}

func post(ctx context.Context, control model.Address, change any) error {
	body, err := json.Marshal(change)
	if err != nil {
		return errors.WithStack(err)
	}
	address := "http://" + string(control) + "/control"
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, address, bytes.NewReader(body))
	if err != nil {
		return errors.WithStack(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return errors.WithStack(err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(response.Body) // the status is reported even if the body cannot be read
		return errors.Errorf("%s: %s %s", address, response.Status, text)
	}
	return nil
}

// KillUpstream kills a fake upstream; its daemon keeps running.
func (f *Fleet) KillUpstream(node deploy.Node) {
	f.upstream(node).Kill()
}

// KillDaemon kills a daemon; its upstream keeps running.
func (f *Fleet) KillDaemon(node deploy.Node) {
	f.daemon(node).Kill()
}

// StopDaemon stops a daemon gracefully and waits until it has exited. If that takes longer than the daemon's settings
// allow, it kills the daemon and counts a stop timeout.
func (f *Fleet) StopDaemon(node deploy.Node) {
	timeout := time.Duration(node.Daemon.StopMs*float64(time.Millisecond)) + stopMargin
	if f.daemon(node).Stop(timeout) {
		return
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.stopTimeouts++
}

// PauseDaemon suspends all threads of a daemon until ResumeDaemon.
func (f *Fleet) PauseDaemon(node deploy.Node) {
	f.daemon(node).pause()
}

// ResumeDaemon resumes a paused daemon.
func (f *Fleet) ResumeDaemon(node deploy.Node) {
	f.daemon(node).resume()
}

func (f *Fleet) upstream(node deploy.Node) *Process {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.upstreams[node.Daemon.Name]
}

func (f *Fleet) daemon(node deploy.Node) *Process {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.daemons[node.Daemon.Name]
}
