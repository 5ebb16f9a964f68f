package main

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

func init() { plays["path"] = playPath }

const (
	pathSends = 36
	pathPause = 80 * time.Millisecond
	// lossyServers of pathServers lose every lostEvery-th of their answers, for less than 6 s.
	pathServers  = 4
	lossyServers = 2
	lostEvery    = 4
)

// playPath holds beds whose codes have an encoded slash, so that the path begins with the prefix of the route of holds only.
// In trouble some servers run a request and its answer is lost.
func playPath(s *site, trouble bool) (bool, error) {
	answers := &lossyAnswers{trouble: trouble}
	for i := range pathServers {
		work := workFor(time.Millisecond)
		if i < lossyServers {
			work = answers.work
		}
		if _, err := s.addMachine("quito-centro", "reservas", work); err != nil {
			return false, err
		}
	}
	s.configure(1, []route{
		{name: "r-hold", prefix: "/hold/", kind: "non_idempotent", service: "reservas", timeoutS: 1.5},
		{name: "r-list", prefix: "/hold/list/", kind: "idempotent", service: "reservas", timeoutS: 1.5, priority: 1},
	}, "reservas")
	if err := s.startDaemons(); err != nil {
		return false, err
	}
	var sent []string
	for i := range pathSends {
		c := &client{site: s, machine: s.machines[i%len(s.machines)]}
		r := request{id: newID(), method: http.MethodPost, target: fmt.Sprintf("/hold/list%%2F%d", i), body: []byte("bed"), deadline: 3 * time.Second, closes: true}
		sent = append(sent, r.id)
		c.do(r)
		c.close()
		time.Sleep(pathPause)
	}
	twice := 0
	for _, id := range sent {
		runs := 0
		for _, m := range s.machines {
			runs += m.server.ran(id)
		}
		if runs > 1 {
			twice++
			s.record.log("request %s ran %d times", id, runs)
		}
	}
	s.record.log("requests under /hold/ that ran more than once: %d of %d; answers lost: %d", twice, pathSends, answers.lost)
	return twice > 0, nil
}

// lossyAnswers is the work of servers that lose some of their answers.
type lossyAnswers struct {
	trouble bool

	mu          sync.Mutex
	count, lost int
}

func (a *lossyAnswers) work(s *server, w http.ResponseWriter, r *http.Request) (int, string) {
	_, _ = io.Copy(io.Discard, r.Body)
	a.mu.Lock()
	a.count++
	loses := a.trouble && a.count%lostEvery == 0
	if loses {
		a.lost++
	}
	a.mu.Unlock()
	if !loses {
		return http.StatusOK, "held\n"
	}
	s.record.log("server %s loses its answer to %s", s.instance, r.Header.Get("X-Comfreytack-Request-Id"))
	if conn, _, err := http.NewResponseController(w).Hijack(); err == nil {
		_ = conn.Close()
	}
	return 0, ""
}
