// Command lab plays the cases of the review: it starts the daemons of a small deployment as processes on loopback
// addresses, with stand-ins for the platform's store, the servers and the clients, and checks one rule.
//
//	lab -case NAME -dir FOLDER -cftd PROGRAM
//
// It exits with 1 if the rule was broken, with 0 if it held and with 2 if the case could not run. With TROUBLE=0 in the
// environment it leaves out the disruption.
package main

import (
	"bytes"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxRun bounds a run.
const maxRun = 110 * time.Second

// outcome is what a case has found.
type outcome struct {
	// checked counts the requests that the rule was applied to, and broken those that break it.
	checked, broken int
	// minChecked is how many requests must have been checked for the result to count.
	minChecked int
}

// cases has the scenarios by name.
var cases = map[string]func(s *site, trouble bool) outcome{
	"big-configuration": bigConfiguration,
	"odd-entry":         oddEntry,
	"early-answer":      earlyAnswer,
	"held-request":      heldRequest,
	"poison-upload":     poisonUpload,
	"large-weights":     largeWeights,
	"smuggled-request":  smuggledRequest,
}

func main() {
	name := flag.String("case", "", "name of the case")
	dir := flag.String("dir", ".", "folder for record.txt")
	program := flag.String("cftd", "", "the daemon's program")
	flag.Parse()
	os.Exit(run(*name, *dir, *program))
}

func run(name, dir, program string) (code int) {
	play, known := cases[name]
	if !known {
		fmt.Fprintln(os.Stderr, "lab: unknown case", name)
		return exitNotRun
	}
	program, err := filepath.Abs(program)
	if err != nil {
		fmt.Fprintln(os.Stderr, "lab:", err)
		return exitNotRun
	}
	record, err := newRecord(filepath.Join(dir, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, "lab:", err)
		return exitNotRun
	}
	defer record.close()
	trouble := os.Getenv("TROUBLE") != "0"
	record.add("case", "%s, disruption %t", name, trouble)
	s, err := newSite(program, record)
	if err != nil {
		record.add("case", "could not run: %v", err)
		fmt.Fprintln(os.Stderr, "lab:", err)
		return exitNotRun
	}
	defer s.stop()
	interrupts := make(chan os.Signal, 1)
	signal.Notify(interrupts, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-interrupts
		s.stop()
		os.Exit(exitNotRun)
	}()
	watchdog := time.AfterFunc(maxRun, func() {
		record.add("case", "could not run: it took longer than %v", maxRun)
		s.stop()
		os.Exit(exitNotRun)
	})
	defer watchdog.Stop()
	defer func() {
		if cause := recover(); cause != nil {
			record.add("case", "could not run: %v", cause)
			fmt.Fprintln(os.Stderr, "lab:", cause)
			code = exitNotRun
		}
	}()
	result := play(s, trouble)
	record.add("case", "requests checked %d, breaking the rule %d", result.checked, result.broken)
	fmt.Printf("%s: trouble=%t checked=%d broken=%d\n", name, trouble, result.checked, result.broken)
	switch {
	case result.broken > 0:
		return exitBroken
	case result.checked < result.minChecked:
		return exitNotRun
	}
	return exitHeld
}

// The bounds of the small deployments' sheets.
const (
	drainBound       = 2 * time.Second
	configApplyBound = 2 * time.Second
	stableWindow     = 3 * time.Second
	heartbeat        = 1500 * time.Millisecond
	// maxValueBytes is the size of the largest value that the store takes.
	maxValueBytes = 1048576
)

// startSmall starts three machines, two of service "reservas" and one of "buscador", with the given configuration, and
// waits until they have been ready for the stable window.
func startSmall(s *site, first configuration) {
	s.publish(first)
	for _, service := range []string{"reservas", "reservas", "buscador"} {
		s.addMachine(service)
	}
	s.waitReady()
	time.Sleep(stableWindow + time.Second)
}

// route returns a route with usual figures.
func route(name, prefix, kind, service string) configRoute {
	return configRoute{
		Name: name, Host: "hulo84.example", PathPrefix: prefix, RouteType: kind,
		TimeoutS: 1.5, TargetLatencyS: 0.8, Priority: 1, Service: service, Attempts: 2,
	}
}

// baseRoutes returns the routes that every configuration of a case has.
func baseRoutes(moving string) []configRoute {
	return []configRoute{
		route("r-hold", "/hold/", "non_idempotent", "reservas"),
		route("r-look", "/look/", "idempotent", "buscador"),
		route("r-moving", "/moving/", "idempotent", moving),
	}
}

// checkVersion sends requests to each machine after the bound of the configuration that was acknowledged at the given
// time, and counts those that are handled as only an older one allows: the moving route run by another service, or 404
// on the added one.
func checkVersion(s *site, acknowledged time.Time, version int, moving, added string, result *outcome) {
	time.Sleep(time.Until(acknowledged.Add(configApplyBound + 200*time.Millisecond)))
	for _, m := range s.machines {
		for range 3 {
			answer := s.send(m, "GET", "/moving/x", nil)
			result.checked++
			if answer.status == 200 && answer.service != moving {
				result.broken++
				s.record.add("rule", "version %d: %s was run by %s, the configuration says %s", version, answer.id, answer.service, moving)
			}
			answer = s.send(m, "GET", added+"x", nil)
			result.checked++
			if answer.status == 404 {
				result.broken++
				s.record.add("rule", "version %d: %s on the added route %s got 404", version, answer.id, added)
			}
		}
	}
}

// other returns the service that the moving route goes to next.
func other(service string) string {
	if service == "reservas" {
		return "buscador"
	}
	return "reservas"
}

// bigConfiguration lets the configuration grow by 350 routes at a time, 16 times, to less than the size that the store
// takes. Each version also moves one route to another service. Without the disruption it grows by 5 routes at a time.
func bigConfiguration(s *site, trouble bool) outcome {
	const versions = 16
	growth := 350
	if !trouble {
		growth = 5
	}
	growth-- // the added route that is checked is one of them
	moving := "reservas"
	routes := baseRoutes(moving)
	startSmall(s, configuration{version: 1, routes: routes})
	result := outcome{minChecked: versions * 18}
	for v := 2; v < versions+2; v++ {
		for i := range growth {
			n := v*1000 + i
			routes = append(routes, configRoute{
				Name: fmt.Sprintf("r-%07d", n), Host: "jepu9.example", PathPrefix: fmt.Sprintf("/pu%05d/", n), RouteType: "non_idempotent",
				TimeoutS: 1.5, TargetLatencyS: 0.8, Priority: 1, Service: "reservas", Attempts: 2,
			})
		}
		moving = other(moving)
		routes = slices.Clone(routes)
		routes[2].Service = moving
		added := fmt.Sprintf("/new%d/", v)
		routes = append(routes, route(fmt.Sprintf("r-new%d", v), added, "idempotent", "buscador"))
		acknowledged := s.publish(configuration{version: v, routes: routes})
		checkVersion(s, acknowledged, v, moving, added, &result)
	}
	return result
}

// oddEntry lets another writer put an entry without a version in place of a server's own, which the server's next
// heartbeat replaces. Later the server drains and leaves as usual.
func oddEntry(s *site, trouble bool) outcome {
	startSmall(s, configuration{version: 1, routes: baseRoutes("reservas")})
	stop := s.sendSteadily("POST", "/hold/x", 20)
	defer stop()
	time.Sleep(2 * time.Second)
	leaving := s.machines[0].server
	if trouble {
		s.store.write(leaving.key(), leaving.entry(func(e *serverEntry) { e.Info.Version = nil; e.Status.Sequence = 1_000_000 }))
		s.record.add("another writer", "puts an entry without a version at %s", leaving.key())
	}
	time.Sleep(4*heartbeat + stableWindow)
	acknowledged := leaving.drain()
	time.Sleep(drainBound + 6*time.Second)
	runs := leaving.runsAfter(acknowledged.Add(drainBound))
	leaving.leave()
	time.Sleep(time.Second)
	stop()
	result := outcome{checked: s.runs(), broken: len(runs), minChecked: 100}
	for _, id := range runs {
		s.record.add("rule", "%s reached %s later than %v after its leaving was acknowledged", id, leaving.name(), drainBound)
	}
	return result
}

// earlyAnswer lets clients upload files in chunks, in two pieces with a pause in between, each followed by a small
// request on the same connection. For five seconds one server of two rejects one upload in fifty before it has read all
// of it, keeps the connection and reads on. Without the disruption the server reads each upload before it answers.
func earlyAnswer(s *site, trouble bool) outcome {
	const (
		clients, uploads = 20, 45
		rejecting        = 5 * time.Second
	)
	startSmall(s, configuration{version: 1, routes: baseRoutes("reservas")})
	all := make([]client, clients)
	var sending sync.WaitGroup
	for i := range all {
		c := &all[i]
		c.site, c.machine = s, s.machines[i%len(s.machines)]
		sending.Go(func() {
			defer c.close()
			for n := range uploads {
				c.upload(fmt.Sprintf("saved-%02d-%03d", i, n))
				c.look()
			}
		})
	}
	if trouble {
		time.Sleep(time.Second)
		s.machines[0].server.rejectEarly(50)
		time.Sleep(rejecting)
		s.machines[0].server.rejectEarly(0)
	}
	sending.Wait()
	result := outcome{minChecked: clients * uploads}
	for _, c := range all {
		result.checked += c.sent
		result.broken += c.foreign
	}
	return result
}

// heldRequest replaces one of the three servers of a service: a new one starts, and the old one drains. Meanwhile the
// machine of the old one is slowed by its neighbours for some seconds. Without the disruption it is not.
func heldRequest(s *site, trouble bool) outcome {
	s.workTime, s.deadline = 300*time.Millisecond, 5*time.Second
	routes := baseRoutes("reservas")
	routes[1].TimeoutS = 5
	startSmall(s, configuration{version: 1, routes: routes})
	old := s.machines[2].server
	for range 2 {
		s.addMachine(old.service)
	}
	s.waitReady()
	stop := s.sendSteadily("GET", "/look/x", 60)
	defer stop()
	time.Sleep(6 * time.Second)
	if trouble {
		old.setPace(1200)
	}
	time.Sleep(500 * time.Millisecond)
	s.addMachine(old.service)
	time.Sleep(600 * time.Millisecond)
	acknowledged := old.drain()
	time.Sleep(time.Until(acknowledged.Add(drainBound + time.Second)))
	if trouble {
		old.setPace(usualPace)
	}
	time.Sleep(4 * time.Second)
	runs := old.runsAfter(acknowledged.Add(drainBound))
	stop()
	old.leave()
	for _, id := range runs {
		s.record.add("rule", "%s reached %s later than %v after its leaving was acknowledged", id, old.name(), drainBound)
	}
	return outcome{checked: s.runs(), broken: len(runs), minChecked: 100}
}

const (
	// crashesKnown is the number of crashes after which a request is known to crash servers, and retriesAllowed how many
	// retries may reach servers later than the stable window after that.
	crashesKnown   = 3
	retriesAllowed = 3
	poisonPath     = "/hold/import"
	poisonBytes    = 80_000
)

// poisonUpload lets a client send the same upload again and again, at any machine. Each server that runs it crashes and
// is back after two seconds. Other clients send small requests to the same service. Without the disruption the servers
// bear the upload.
func poisonUpload(s *site, trouble bool) outcome {
	const sends = 45
	s.publish(configuration{version: 1, routes: baseRoutes("reservas")})
	for _, service := range []string{"reservas", "reservas", "reservas", "reservas", "buscador"} {
		m := s.addMachine(service)
		if trouble {
			m.server.poison = poisonPath
		}
	}
	s.waitReady()
	time.Sleep(stableWindow + time.Second)
	stop := s.sendSteadily("POST", "/hold/x", 10)
	defer stop()
	body := bytes.Repeat([]byte("row\n"), poisonSize()/4)
	for i := range sends {
		s.send(s.machines[i%len(s.machines)], "POST", poisonPath, body)
		time.Sleep(time.Second)
	}
	stop()
	var runs []time.Time
	for _, m := range s.machines {
		runs = append(runs, m.server.runsOf(poisonPath)...)
	}
	slices.SortFunc(runs, time.Time.Compare)
	result := outcome{checked: sends, minChecked: sends}
	if !trouble || len(runs) < crashesKnown {
		return result
	}
	late := 0
	for _, at := range runs[crashesKnown:] {
		if at.After(runs[crashesKnown-1].Add(stableWindow)) {
			late++
		}
	}
	s.record.add("rule", "the upload crashed %d servers; %d retries reached servers later than %v after the third crash, allowed %d", len(runs), late, stableWindow, retriesAllowed)
	result.broken = max(0, late-retriesAllowed)
	return result
}

// poisonSize returns the size of the upload in bytes.
func poisonSize() int {
	if size, err := strconv.Atoi(os.Getenv("POISON_BYTES")); err == nil {
		return size
	}
	return poisonBytes
}
