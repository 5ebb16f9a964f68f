package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() { scenarios["gone"] = gone }

const (
	// uploadBytes is the size of a request's body. The limit in the configuration is 64 MiB.
	uploadBytes = 200_000
	// leavingShare is the share of the clients that leave early, and leaveWithin when they do.
	leavingShare = 0.3
	leaveWithin  = 400 * time.Millisecond
	// leavingFor is how long clients leave at a time; for as long after that none does.
	leavingFor = 5 * time.Second
	// aFew is how many requests may reach a server late. The rule says "more than a few".
	aFew = 10
)

// gone lets a share of the clients leave while their uploads wait for a busy server.
func gone(l *lab, trouble bool) int {
	work := func(*http.Request) time.Duration { return 320 * time.Millisecond }
	size := func(*http.Request) int { return 400 }
	for i := range 4 {
		service := []string{"export", "front"}[i%2]
		if _, err := l.add(service, "z", 4, 18, work, size); err != nil {
			fmt.Println(err)
			return 2
		}
	}
	l.configure([]route{{"r-export", "export.example", "/x/", "non_idempotent", 2.5, 1.5, 1, "export", 2}}, []string{"export", "front"})
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
	const seconds = 30
	var running sync.WaitGroup
	var sentCount, leaving atomic.Int64
	began := time.Now()
	for n := 0; time.Since(began) < seconds*time.Second; n++ {
		// 2 servers with 4 slots and 320 ms of work serve 25 a second at most.
		time.Sleep(time.Duration(14+rand.IntN(18)) * time.Millisecond)
		m := l.machines[n%len(l.machines)]
		running.Go(func() {
			p := &pool{lab: l, machine: m}
			a := ask{kind: "unsafe", method: "POST", host: "export.example", target: "/x/set", body: answerBody("c", newID(), uploadBytes), deadline: 2500 * time.Millisecond}
			if trouble && time.Since(began)/leavingFor%2 == 0 && rand.Float64() < leavingShare {
				leaving.Add(1)
				a.leaveAfter = time.Duration(rand.Int64N(int64(leaveWithin)))
			}
			sentCount.Add(1)
			p.do(a)
		})
	}
	running.Wait()
	time.Sleep(3 * time.Second)
	events := l.record.all()
	all := late(events)
	ran := 0
	runs := map[string]bool{}
	for _, e := range events {
		if e.What == "run" {
			runs[e.ID] = true
		}
	}
	for _, text := range all {
		if runs[text[:16]] {
			ran++
		}
	}
	for i, text := range all {
		if i < 5 {
			fmt.Println(text)
		}
	}
	fmt.Printf("sent %d, clients that left %d; reached a server over 0.5 s after that: %d, of which %d ran whole\n", sentCount.Load(), leaving.Load(), len(all), ran)
	if found := check(events); len(found) > 0 {
		fmt.Println(found[0])
	}
	if len(all) > aFew {
		return 1
	}
	return 0
}
