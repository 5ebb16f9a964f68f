package fleet

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"comfreytack/cftlab/deploy"
	"comfreytack/cftlab/proxy"
	"comfreytack/cftlab/stub"
	"comfreytack/core/model"
)

const (
	readyTimeout      = 30 * time.Second
	readyPollInterval = 100 * time.Millisecond
	respawnDelay      = 300 * time.Millisecond
	// stopMargin is added to the stop time that a daemon's settings allow.
	stopMargin = 2 * time.Second
	// stopGrace is how long a process may take to stop; it exceeds the stop_ms of all deployments.
	stopGrace = 35 * time.Second
	dirMode   = 0o755
	fileMode  = 0o644
)

// Settings says what to start.
type Settings struct {
	// Bin is the folder of the programs cftd and cftlab.
	Bin string
	// Folder is where settings, logs and run logs are written.
	Folder string
	// Site is the deployment with its addresses.
	Site deploy.Site
	// Flags are passed to every daemon.
	Flags []string
	// Respawn restarts a fake upstream that has crashed.
	Respawn bool
}

// Fleet is a running deployment.
type Fleet struct {
	settings Settings
	platform *Process

	// links has the proxies by the address at which they listen.
	links     map[model.Address]*proxy.Proxy
	stopLinks context.CancelFunc

	mutex     sync.Mutex
	upstreams map[model.UpstreamName]*Process
	daemons   map[model.UpstreamName]*Process
	// respawns waits for the upstreams that are being restarted.
	respawns sync.WaitGroup
	// stopping prevents further restarts.
	stopping bool
	// crashes counts upstreams that exited although cftlab did not stop them.
	crashes int
	// stopTimeouts counts daemons that did not stop within the time that their settings allow.
	stopTimeouts int
}

// Launch starts all processes and waits until every daemon is ready. If it fails, it stops those that it has started.
func Launch(ctx context.Context, settings Settings) (*Fleet, error) {
	fleet := &Fleet{
		settings:  settings,
		upstreams: map[model.UpstreamName]*Process{},
		daemons:   map[model.UpstreamName]*Process{},
		links:     map[model.Address]*proxy.Proxy{},
		stopLinks: func() {},
	}
	if err := fleet.startAll(ctx); err != nil {
		fleet.Stop()
		return nil, err
	}
	return fleet, nil
}

func (f *Fleet) startAll(ctx context.Context) error {
	if err := f.writeKeys(); err != nil {
		return err
	}
	if err := f.startLinks(); err != nil {
		return err
	}
	if err := f.startPlatform(); err != nil {
		return err
	}
	for _, node := range f.settings.Site.Nodes {
		if err := f.StartUpstream(node); err != nil {
			return err
		}
		if err := f.StartDaemon(node); err != nil {
			return err
		}
	}
	return f.awaitReady(ctx)
}

func (f *Fleet) writeKeys() error {
	for _, key := range f.settings.Site.KeyNames() {
		path := filepath.Join(f.settings.Folder, "keys", filepath.FromSlash(key)+".json")
		if err := os.MkdirAll(filepath.Dir(path), dirMode); err != nil {
			return errors.WithStack(err)
		}
		if err := writeJSON(path, f.settings.Site.Keys[key]); err != nil {
			return err
		}
	}
	return nil
}

func writeJSON(path string, value any) error {
	data, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return errors.WithStack(err)
	}
	return errors.WithStack(os.WriteFile(path, data, fileMode))
}

func (f *Fleet) startPlatform() error {
	site := f.settings.Site
	process, err := start("platform", f.settings.Folder, filepath.Join(f.settings.Bin, "cftlab"), "platform",
		"--listen", string(site.Platform),
		"--control", string(site.PlatformControl),
		"--keys", filepath.Join(f.settings.Folder, "keys"))
	f.platform = process
	return err
}

// StartUpstream starts a fake upstream, or restarts it after it has exited.
func (f *Fleet) StartUpstream(node deploy.Node) error {
	name := node.Daemon.Name
	args := []string{
		"upstream",
		"--listen", fmt.Sprintf("%s=%s", name, node.UpstreamListenAddress()),
		"--control", string(node.Control),
		"--slots", fmt.Sprint(node.Slots),
		"--connections", fmt.Sprint(node.Connections),
		"--run-log", f.runLog(name),
	}
	process, err := start("upstream-"+string(name), f.settings.Folder, filepath.Join(f.settings.Bin, "cftlab"), args...)
	if err != nil {
		return err
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.upstreams[name] = process
	go f.respawnAfterCrash(node, process)
	return nil
}

// StartDaemon starts a daemon, or restarts it after it has exited; it does not wait until the daemon is ready.
func (f *Fleet) StartDaemon(node deploy.Node) error {
	name := node.Daemon.Name
	path := filepath.Join(f.settings.Folder, string(name)+".json")
	if err := writeJSON(path, node.Daemon); err != nil {
		return err
	}
	args := append([]string{"--settings", path}, f.settings.Flags...)
	process, err := start("daemon-"+string(name), f.settings.Folder, filepath.Join(f.settings.Bin, "cftd"), args...)
	if err != nil {
		return err
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.daemons[name] = process
	return nil
}

func (f *Fleet) runLog(name model.UpstreamName) string {
	return filepath.Join(f.settings.Folder, string(name)+".runs")
}

// awaitReady polls /ready of one daemon after the other; readyTimeout bounds the wait for all of them.
func (f *Fleet) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, node := range f.settings.Site.Nodes {
		if err := f.awaitDaemon(ctx, node); err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) awaitDaemon(ctx context.Context, node deploy.Node) error {
	daemon := f.daemons[node.Daemon.Name]
	for !ready(ctx, node.Daemon.Operators) {
		if daemon.Exited() {
			return errors.Errorf("%s exited before it was ready; its log is %s", daemon.Name, daemon.Log)
		}
		select {
		case <-time.After(readyPollInterval):
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "%s is not ready; its log is %s", daemon.Name, daemon.Log)
		}
	}
	return nil
}

func ready(ctx context.Context, operators model.Address) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+string(operators)+"/ready", nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// StopTimeouts returns how many daemons StopDaemon had to kill.
func (f *Fleet) StopTimeouts() int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.stopTimeouts
}

// Usage returns the resident memory of a daemon in bytes and its CPU time.
func (f *Fleet) Usage(node deploy.Node) (int64, time.Duration, error) {
	return f.daemon(node).Usage()
}

// Peak returns the largest resident memory of a daemon so far in bytes, and the number of its open descriptors.
func (f *Fleet) Peak(node deploy.Node) (memory int64, descriptors int, err error) {
	return f.daemon(node).Peak()
}

// Crashes returns how many upstreams exited although cftlab did not stop them.
func (f *Fleet) Crashes() int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.crashes
}

// respawnAfterCrash waits until an upstream exits, and restarts it if it has crashed.
func (f *Fleet) respawnAfterCrash(node deploy.Node, process *Process) {
	<-process.exited
	if process.stopRequested.Load() || !f.recordCrash() {
		return
	}
	defer f.respawns.Done()
	time.Sleep(respawnDelay)
	_ = f.StartUpstream(node) // a failed restart shows in the results
}

// recordCrash counts a crash and returns whether to restart the upstream. If so, the caller must call respawns.Done.
func (f *Fleet) recordCrash() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.crashes++
	if f.stopping || !f.settings.Respawn {
		return false
	}
	f.respawns.Add(1)
	return true
}

// Runs returns the runs of all upstreams, including those that have exited.
func (f *Fleet) Runs() ([]stub.Run, error) {
	f.mutex.Lock()
	names := slices.Collect(maps.Keys(f.upstreams))
	f.mutex.Unlock()
	runs := []stub.Run{}
	for _, name := range names {
		upstreamRuns, err := readRuns(f.runLog(name))
		if err != nil {
			return nil, err
		}
		runs = append(runs, upstreamRuns...)
	}
	return runs, nil
}

func readRuns(path string) ([]stub.Run, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	defer file.Close()
	runs := []stub.Run{}
	lines := bufio.NewReader(file)
	for {
		line, err := lines.ReadBytes('\n')
		if err == io.EOF {
			// A last line without a newline is still being written.
			return runs, nil
		}
		if err != nil {
			return nil, errors.Wrap(err, path)
		}
		var run stub.Run
		if err := json.Unmarshal(line, &run); err != nil {
			return nil, errors.Wrap(err, path)
		}
		runs = append(runs, run)
	}
}

// Logs returns the log files of the daemons.
func (f *Fleet) Logs() []string {
	logs := []string{}
	for _, daemon := range f.daemons {
		logs = append(logs, daemon.Log)
	}
	slices.Sort(logs)
	return logs
}

// Stop stops all processes: first the daemons, which finish the requests in flight, then the upstreams and the platform
// that these requests need. It returns the names of the processes that had to be killed.
func (f *Fleet) Stop() []string {
	f.mutex.Lock()
	f.stopping = true
	f.mutex.Unlock()
	f.respawns.Wait()
	others := []*Process{}
	for _, upstream := range f.upstreams {
		others = append(others, upstream)
	}
	if f.platform != nil {
		others = append(others, f.platform)
	}
	daemons := []*Process{}
	for _, daemon := range f.daemons {
		daemons = append(daemons, daemon)
	}
	killed := append(stopAll(daemons), stopAll(others)...)
	f.stopLinks()
	return killed
}

func stopAll(processes []*Process) []string {
	var group sync.WaitGroup
	var mutex sync.Mutex
	killed := []string{}
	for _, process := range processes {
		group.Go(func() {
			if process.Stop(stopGrace) {
				return
			}
			mutex.Lock()
			defer mutex.Unlock()
			killed = append(killed, process.Name)
		})
	}
	group.Wait()
	slices.Sort(killed)
	return killed
}
