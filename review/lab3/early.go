package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

func init() { scenarios["early"] = early }

const (
	// longBody is the size of an upload; the limit in the configuration is 64 MiB.
	longBody = 32 << 20
	// longAnswer is the size of its answer.
	longAnswer = 2 << 20
	// earlyThousandths is the share of the answers that half of the servers give early, for earlyFor at a time, after which
	// all answers come late for as long.
	earlyThousandths = 50
	earlyFor         = 5 * time.Second
	earlyTimes       = 8
	// lostAllowed is how many requests the rule LOST lets pass.
	lostAllowed = 3
)

// early lets half of the servers answer a few uploads before they have read them.
func early(l *lab, trouble bool) int {
	work := func(*http.Request) time.Duration { return 50 * time.Millisecond }
	size := func(r *http.Request) int {
		if r.ContentLength > 0 {
			return longAnswer
		}
		return 400
	}
	for range 4 {
		m, err := l.add("reservas", "z", 9, 18, work, size)
		if err != nil {
			fmt.Println(err)
			return 2
		}
		m.server.readsOnAfter = 400 * time.Millisecond
	}
	l.configure([]route{{"r-hold", "beds.example", "/hold/", "non_idempotent", 1.5, 0.8, 1, "reservas", 2}}, []string{"reservas"})
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
	body := answerBody("client", "upload", longBody)
	end := time.Now().Add(2 * earlyTimes * earlyFor)
	var running sync.WaitGroup
	for _, m := range l.machines {
		for range 3 {
			running.Go(func() {
				p := &pool{lab: l, machine: m}
				for time.Now().Before(end) {
					time.Sleep(time.Duration(rand.IntN(50)) * time.Millisecond)
					small := ask{kind: "unsafe", method: "POST", host: "beds.example", target: "/hold/small", deadline: 3 * time.Second}
					if p.do(small) != http.StatusOK {
						continue
					}
					p.do(ask{kind: "unsafe", method: "POST", host: "beds.example", target: "/hold/long", body: body, deadline: 3 * time.Second, pause: 4 * time.Millisecond})
				}
			})
		}
	}
	for range earlyTimes {
		l.answerEarly(trouble, earlyThousandths)
		time.Sleep(earlyFor)
		l.answerEarly(trouble, 0)
		time.Sleep(earlyFor)
	}
	running.Wait()
	time.Sleep(time.Second)
	return l.judgeEarly()
}

// answerEarly sets the share of early answers of every second server.
func (l *lab) answerEarly(trouble bool, thousandths int64) {
	if !trouble {
		return
	}
	for i, m := range l.machines {
		if i%2 == 0 {
			m.server.early.Store(thousandths)
		}
	}
}

// judgeEarly counts the requests whose server gave its whole answer, and that the client got no answer to.
func (l *lab) judgeEarly() int {
	sent, served, counts := map[string]event{}, map[string]bool{}, map[string]int{}
	events := l.record.all()
	for _, e := range events {
		switch e.What {
		case "sent":
			sent[e.ID] = e
		case "served":
			served[e.ID] = true
		}
	}
	lost, replaced := 0, 0
	for _, e := range events {
		cut := e.What == "closed" || e.What == "answered" && !e.Whole
		if e.What == "answered" {
			counts[fmt.Sprint(e.Status)]++
		}
		if cut && sent[e.ID].Kept && served[e.ID] {
			lost++
		}
		if e.What == "answered" && e.Status == http.StatusBadGateway && served[e.ID] {
			replaced++
		}
	}
	fmt.Printf("answers %v; early answers %d; requests on kept connections that ended without the whole answer that their server gave: %d; 502 in its place: %d\n", counts, len(served), lost, replaced)
	for i, b := range check(events) {
		if i < 3 {
			fmt.Println(b.rule, b.what)
		}
	}
	if counts["200"] == 0 {
		return 2
	}
	if lost > lostAllowed {
		return 1
	}
	return 0
}
