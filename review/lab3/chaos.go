package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { scenarios["chaos"] = chaos }

// chaos draws many disruptions at once, in search of faults. It is no case. SECONDS_LONG says how long it lasts, and WHAT
// names the disruptions, joined by commas: faults, early, leave, stop, kill, term, crash, config, store; all if it is empty.
func chaos(l *lab, trouble bool) int {
	seconds, err := strconv.Atoi(os.Getenv("SECONDS_LONG"))
	if err != nil {
		seconds = 40
	}
	what := os.Getenv("WHAT")
	on := func(name string) bool { return trouble && (what == "" || strings.Contains(what, name)) }
	work := func(r *http.Request) time.Duration { return time.Duration(2+rand.IntN(40)) * time.Millisecond }
	size := func(r *http.Request) int {
		switch rand.IntN(8) {
		case 0:
			return 0
		case 1:
			return 100000 + rand.IntN(200000)
		case 2:
			return 65536
		}
		return rand.IntN(5000)
	}
	services := []string{"alpha", "beta", "gamma"}
	for i := range 9 {
		if _, err := l.add(services[i%3], fmt.Sprintf("z%d", i%2), 4, 8, work, size); err != nil {
			fmt.Println(err)
			return 2
		}
	}
	base := []route{
		{"r-a", "beds.example", "/a/", "idempotent", 1.5, 0.4, 1, "alpha", 2},
		{"r-b", "beds.example", "/b/", "non_idempotent", 1.5, 0.4, 0, "beta", 2},
		{"r-c", "beds.example", "/c/", "idempotent", 1.5, 0.4, 2, "gamma", 2},
		{"r-d", "hold.example", "/b/", "non_idempotent", 1.5, 0.4, 0, "gamma", 2},
	}
	l.configure(base, services)
	for _, m := range l.machines {
		if err := m.startDaemon(); err != nil {
			fmt.Println(err)
			return 2
		}
	}
	if err := l.awaitReady(20 * time.Second); err != nil {
		fmt.Println(err)
		return 2
	}
	time.Sleep(time.Second)
	end := time.Now().Add(time.Duration(seconds) * time.Second)
	var running sync.WaitGroup
	for _, m := range l.machines {
		for range 10 {
			running.Go(func() {
				p := &pool{lab: l, machine: m}
				for time.Now().Before(end) {
					p.random(on)
				}
			})
		}
	}
	if on("faults") {
		for _, m := range l.machines {
			m.server.faults.Store(&faults{reset: .02, cut: .02, extra: .05, unframed: .04, closing: .05, earlyShed: .03})
		}
	}
	if on("early") {
		for i, m := range l.machines {
			m.server.early.Store(int64(1000 * (i % 2)))
			if i%2 == 1 {
				m.server.faults.Store(nil)
			}
		}
	}
	disrupt := func(every time.Duration, do func()) {
		running.Go(func() {
			for time.Now().Before(end) {
				time.Sleep(time.Duration(rand.Int64N(int64(2 * every))))
				do()
			}
		})
	}
	any := func() *machine { return l.machines[rand.IntN(len(l.machines))] }
	var busy sync.Map
	exclusive := func(m *machine, do func()) {
		if _, taken := busy.LoadOrStore(m, true); taken {
			return
		}
		defer busy.Delete(m)
		do()
	}
	if on("stop") {
		disrupt(1500*time.Millisecond, func() {
			m := any()
			exclusive(m, func() {
				m.signal(syscall.SIGSTOP)
				time.Sleep(time.Duration(50+rand.IntN(3000)) * time.Millisecond)
				m.signal(syscall.SIGCONT)
			})
		})
	}
	if on("kill") {
		disrupt(3*time.Second, func() {
			m := any()
			exclusive(m, func() {
				m.signal(syscall.SIGKILL)
				m.awaitExit()
				_ = m.startDaemon()
			})
		})
	}
	if on("term") {
		disrupt(3*time.Second, func() {
			m := any()
			exclusive(m, func() {
				m.signal(syscall.SIGTERM)
				m.awaitExit()
				_ = m.startDaemon()
			})
		})
	}
	if on("crash") {
		n := 0
		disrupt(3*time.Second, func() {
			m := any()
			exclusive(m, func() {
				m.server.crash()
				time.Sleep(time.Duration(rand.IntN(2500)) * time.Millisecond)
				n++
				id := fmt.Sprintf("i-%s-%d-%d", m.server.service, rand.IntN(1000), n)
				for m.server.start(id) != nil {
					time.Sleep(50 * time.Millisecond)
				}
			})
		})
	}
	if on("config") {
		disrupt(time.Second, func() {
			routes := append([]route(nil), base...)
			if rand.IntN(2) == 0 {
				routes[rand.IntN(2)].Service = services[rand.IntN(3)]
			}
			l.configure(routes, services)
		})
	}
	if on("store") {
		disrupt(6*time.Second, func() {
			l.store.setDown(true)
			time.Sleep(time.Duration(rand.IntN(4000)) * time.Millisecond)
			l.store.setDown(false)
		})
	}
	running.Wait()
	time.Sleep(3 * time.Second)
	events := l.record.all()
	counts := map[string]int{}
	for _, e := range events {
		if e.What == "answered" {
			counts[fmt.Sprint(e.Status)]++
		} else {
			counts[e.What]++
		}
		if e.What == "daemon ended by itself" {
			fmt.Println("daemon ended by itself", e.Server, e.Note)
		}
	}
	fmt.Println(counts)
	found := check(events)
	byRule := map[string]int{}
	for _, b := range found {
		byRule[b.rule]++
		if byRule[b.rule] <= 5 {
			fmt.Println(b.rule, b.what)
		}
	}
	fmt.Println(byRule, "late:", len(late(events)))
	if len(found) > 0 {
		return 1
	}
	return 0
}

// random sends one request, or some ahead of their answers.
func (p *pool) random(on func(string) bool) {
	time.Sleep(time.Duration(rand.IntN(60)) * time.Millisecond)
	draw := func() ask {
		a := ask{deadline: time.Duration(200+rand.IntN(1500)) * time.Millisecond, host: "beds.example"}
		switch rand.IntN(4) {
		case 0, 1:
			a.kind, a.method, a.target = "safe", "GET", []string{"/a/", "/c/"}[rand.IntN(2)]
		case 2:
			a.kind, a.method, a.target = "unsafe", []string{"POST", "PUT", "GET", "DELETE"}[rand.IntN(4)], "/b/"
		default:
			a.kind, a.method, a.target, a.host = "unsafe", "POST", "/b/", "hold.example"
		}
		a.target += []string{"", "x/y", "q%2Fz?k=v", "s;t|u?a=b&c=%20", "?", "a//b/../c"}[rand.IntN(6)]
		if a.method != "GET" || rand.IntN(10) == 0 {
			sizes := []int{0, 10, 4000, 24000, 65536, 65537, 70000, 300000, 1000000}
			a.body = answerBody("client", newID(), sizes[rand.IntN(len(sizes))])
			a.chunked = rand.IntN(3) == 0
		}
		if on("leave") && rand.IntN(6) == 0 {
			a.leaveAfter = time.Duration(1+rand.IntN(300)) * time.Millisecond
		}
		return a
	}
	if rand.IntN(8) == 0 {
		var asks []ask
		for range 2 + rand.IntN(4) {
			a := draw()
			for a.kind != "safe" {
				a = draw()
			}
			a.leaveAfter = 0
			asks = append(asks, a)
		}
		p.pipeline(asks)
		return
	}
	p.do(draw())
}
