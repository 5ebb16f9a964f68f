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

// Publish sets a published key, as an operator does.
func (f *Fleet) Publish(ctx context.Context, key string, value any) error {
	return command(ctx, http.MethodPut, f.settings.Site.PlatformControl, "/v1/keys/"+key, value)
}

// Withdraw deletes a published key.
func (f *Fleet) Withdraw(ctx context.Context, key string) error {
	return command(ctx, http.MethodDelete, f.settings.Site.PlatformControl, "/v1/keys/"+key, nil)
}

func post(ctx context.Context, control model.Address, change any) error {
	return command(ctx, http.MethodPost, control, "/control", change)
}

// command sends a command to a stand-in's control address.
func command(ctx context.Context, method string, control model.Address, path string, value any) error {
	body, err := json.Marshal(value)
	if err != nil {
		return errors.WithStack(err)
	}
	address := "http://" + string(control) + path
	request, err := http.NewRequestWithContext(ctx, method, address, bytes.NewReader(body))
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
