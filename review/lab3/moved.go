package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { scenarios["moved"] = moved }

const (
	configApply  = 2 * time.Second
	stableWindow = 3 * time.Second
	outer        = 5 * time.Second
)

// moved changes the address of the store in the settings files, with SIGHUP, and then the configuration.
func moved(l *lab, trouble bool) int {
	work := func(*http.Request) time.Duration { return 30 * time.Millisecond }
	size := func(*http.Request) int { return 400 }
	for i := range 6 {
		if _, err := l.add([]string{"buscador", "reservas"}[i%2], "z", 9, 18, work, size); err != nil {
			fmt.Println(err)
			return 2
		}
	}
	services := []string{"buscador", "reservas"}
	hold := route{"r-hold", "beds.example", "/hold/", "non_idempotent", 1.5, 0.8, 1, "reservas", 2}
	l.configure([]route{hold}, services)
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
	var running sync.WaitGroup
	stop := make(chan struct{})
	for _, m := range l.machines {
		for range 3 {
			running.Go(func() {
				p := &pool{lab: l, machine: m}
				for {
					select {
					case <-stop:
						return
					case <-time.After(time.Duration(100+rand.IntN(200)) * time.Millisecond):
					}
					p.do(ask{kind: "unsafe", method: "POST", host: "beds.example", target: "/hold/1", body: []byte("bed"), deadline: 3 * time.Second})
				}
			})
		}
	}
	time.Sleep(3 * time.Second)
	if trouble {
		l.storeAddress = fmt.Sprintf("127.77.0.2:%d", l.ports.store)
		closeFirst, err := l.store.move(l.storeAddress)
		if err != nil {
			fmt.Println(err)
			return 2
		}
		for _, m := range l.machines {
			if _, err := m.settings(); err != nil {
				fmt.Println(err)
				return 2
			}
			m.signal(syscall.SIGHUP)
			time.Sleep(500 * time.Millisecond)
		}
		time.Sleep(configApply + stableWindow)
		closeFirst()
		l.record.add(event{What: "the first address of the store is closed"})
		time.Sleep(stableWindow + outer)
	}
	hold.Service = "buscador"
	l.configure([]route{hold}, services)
	acknowledged := time.Now()
	l.record.add(event{What: "configuration acknowledged", Note: "/hold/ goes to buscador now"})
	time.Sleep(configApply + outer + 5*time.Second)
	close(stop)
	running.Wait()
	time.Sleep(time.Second)
	sent := map[string]time.Time{}
	after, old := 0, 0
	for _, e := range l.record.all() {
		switch e.What {
		case "sent":
			sent[e.ID] = e.At
		case "run":
			if sent[e.ID].Sub(acknowledged) > configApply+outer {
				after++
				if e.Service == "reservas" {
					old++
				}
			}
		}
	}
	fmt.Printf("requests sent over %v after the acknowledgement that ran: %d, of which %d at the old service\n", configApply+outer, after, old)
	if after == 0 {
		return 2
	}
	if old > 0 {
		return 1
	}
	return 0
}
