package verbs

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/pkg/errors"
	"golang.org/x/net/netutil"

	"comfreytack/cftlab/stub"
)

var upstreamVerb = Verb{
	Name:    "upstream",
	Summary: "serve fake upstreams that can be made to fail",
	New:     func() Action { return &upstream{} },
}

type upstream struct {
	Listen      []string       `long:"listen" required:"true" value-name:"NAME=ADDRESS" description:"serve an upstream; may be repeated"`
	Control     string         `long:"control" value-name:"ADDRESS" description:"serve /UPSTREAM/control and /UPSTREAM/runs, and both without a name for the first upstream"`
	Slots       int            `long:"slots" default:"10" description:"requests worked on at once"`
	Waiting     int            `long:"waiting" default:"100" description:"requests that may wait for a slot"`
	Connections int            `long:"connections" default:"250" description:"connections accepted at once"`
	OpenUs      int            `long:"open-us" default:"1000" description:"time to open a connection, in microseconds"`
	ProbeMs     int            `long:"probe-ms" default:"5" description:"time to answer a health probe, in milliseconds"`
	WorkMs      int            `long:"work-ms" default:"2" description:"work of a request that names none, in milliseconds"`
	Route       map[string]int `long:"route" value-name:"PREFIX:MS" description:"work of requests under a path prefix; may be repeated"`
	RunLog      string         `long:"run-log" value-name:"FILE" description:"append one line at the start of each run"`
}

// Run serves until ctx ends, then waits for the requests in flight.
func (u *upstream) Run(ctx context.Context, _ Streams) error {
	runLog, err := openRunLog(u.RunLog)
	if err != nil {
		return err
	}
	defer runLog.Close()
	uncancelled := context.WithoutCancel(ctx)
	servers := serverGroup{}
	router := chi.NewRouter()
	for index, listen := range u.Listen {
		name, address, ok := strings.Cut(listen, "=")
		if !ok {
			return errors.Errorf("--listen %s: want NAME=ADDRESS, for example reservas-1=127.0.0.1:7501", listen)
		}
		listener, err := net.Listen("tcp", address)
		if err != nil {
			return errors.WithStack(err)
		}
		fake := stub.New(uncancelled, u.settings(name), runLog)
		servers.add(u.limitedListener(listener), fake.Handler())
		router.Mount("/"+name, fake.ControlHandler())
		if index == 0 {
			router.Mount("/", fake.ControlHandler())
		}
	}
	if err := servers.listen(u.Control, router); err != nil {
		return err
	}
	return servers.run(ctx)
}

func (u *upstream) settings(name string) stub.Settings {
	routes := map[string]time.Duration{}
	for prefix, ms := range u.Route {
		routes[prefix] = time.Duration(ms) * time.Millisecond
	}
	return stub.Settings{
		Name:    name,
		Slots:   u.Slots,
		Waiting: u.Waiting,
		Work:    time.Duration(u.WorkMs) * time.Millisecond,
		Routes:  routes,
		Probe:   time.Duration(u.ProbeMs) * time.Millisecond,
		Now:     time.Now,
		Exit:    os.Exit,
	}
}

// limitedListener limits open connections and delays each new one.
func (u *upstream) limitedListener(listener net.Listener) net.Listener {
	slow := stub.SlowListener{Listener: listener, Delay: time.Duration(u.OpenUs) * time.Microsecond}
	return netutil.LimitListener(slow, u.Connections)
}

func openRunLog(path string) (io.WriteCloser, error) {
	if path == "" {
		path = os.DevNull
	}
	file, err := os.OpenFile(path, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	return file, errors.Wrap(err, "open the run log")
}

// serverGroup is a group of HTTP servers that start and stop together.
type serverGroup struct {
	servers   []*http.Server
	listeners []net.Listener
}

func (s *serverGroup) add(listener net.Listener, handler http.Handler) {
	s.listeners = append(s.listeners, listener)
	s.servers = append(s.servers, &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout})
}

// listen adds a server at address, or none when address is empty.
func (s *serverGroup) listen(address string, handler http.Handler) error {
	if address == "" {
		return nil
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return errors.WithStack(err)
	}
	s.add(listener, handler)
	return nil
}

const (
	headerTimeout = 10 * time.Second
	stopTimeout   = 5 * time.Second
)

// run serves until ctx ends or a server fails, then shuts all servers down.
func (s *serverGroup) run(ctx context.Context) error {
	failed := make(chan error, len(s.servers))
	for index, server := range s.servers {
		go func() { failed <- server.Serve(s.listeners[index]) }()
	}
	var err error
	select {
	case <-ctx.Done():
	case err = <-failed:
	}
	stopping, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
	defer cancel()
	for _, server := range s.servers {
		if stopErr := server.Shutdown(stopping); stopErr != nil {
			_ = server.Close()
		}
	}
	return err
}
