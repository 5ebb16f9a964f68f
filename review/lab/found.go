package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"time"
)

// The scenarios in this file are not among the five cases.

// largeWeights splits a route with weights of 99000 and 1000, and moves another route in the same configuration. Without
// the disruption the weights are 99 and 1.
func largeWeights(s *site, trouble bool) outcome {
	scale := 1000.0
	if !trouble {
		scale = 1
	}
	startSmall(s, configuration{version: 1, routes: baseRoutes("reservas")})
	split := route("r-split", "/split/", "idempotent", "")
	split.WeightedClusters = []configCluster{{Service: "reservas", Weight: 99 * scale}, {Service: "buscador", Weight: scale}}
	routes := append(baseRoutes("buscador"), split)
	acknowledged := s.publish(configuration{version: 2, routes: routes})
	result := outcome{minChecked: 90}
	for range 5 {
		checkVersion(s, acknowledged, 2, "buscador", "/split/", &result)
		time.Sleep(2 * time.Second)
	}
	return result
}

// smuggledRequest lets a client send two requests on one connection without waiting for the first answer. The second one
// has a length and chunks, and by its length all that follows is its body, which looks like a request. Without the
// disruption the second one has chunks only and is followed by nothing.
func smuggledRequest(s *site, trouble bool) outcome {
	startSmall(s, configuration{version: 1, routes: baseRoutes("reservas")})
	result := outcome{minChecked: 20}
	for i := range 20 {
		m := s.machines[i%len(s.machines)]
		hidden := fmt.Sprintf("hidden-%04d", i)
		inside := ""
		if trouble {
			inside = requestHead("POST", "/hold/x", hidden) + "Content-Length: 0\r\n\r\n"
		}
		s.sendPipelined(m, inside)
		time.Sleep(200 * time.Millisecond)
		result.checked++
		if s.hasRun(hidden) {
			result.broken++
			s.record.add("rule", "%s was run, and no client sent it as a request", hidden)
		}
	}
	return result
}

// sendPipelined sends two requests at once on a new connection: one without a body, and one with an empty body in
// chunks. If inside is not empty, the second one has also a length, by which its body goes on with that text. All
// answers that come are recorded.
func (s *site) sendPipelined(m *machine, inside string) {
	conn, err := net.Dial("tcp", s.at(m, portCallers))
	if err != nil {
		s.record.add("client of "+m.ip, "no connection: %v", err)
		return
	}
	defer conn.Close()
	first, second := fmt.Sprintf("%016x", rand.Uint64()), fmt.Sprintf("%016x", rand.Uint64())
	body := "0\r\n\r\n" + inside
	length := ""
	if inside != "" {
		length = fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	text := requestHead("GET", "/look/x", first) + "\r\n" +
		requestHead("POST", "/hold/x", second) + length + "Transfer-Encoding: chunked\r\n\r\n" + body
	s.record.add("client of "+m.ip, "sends %s and %s; body of the second: %q", first, second, body)
	_ = conn.SetDeadline(time.Now().Add(time.Second))
	if _, err := io.WriteString(conn, text); err != nil {
		s.record.add("client of "+m.ip, "could not send: %v", err)
		return
	}
	reader := bufio.NewReader(conn)
	for {
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			s.record.add("client of "+m.ip, "no further answer: %v", err)
			return
		}
		_, _ = io.Copy(io.Discard, response.Body)
		s.record.add("client of "+m.ip, "gets %d for %q, close %t", response.StatusCode, response.Header.Get("X-Comfreytack-Request-Id"), response.Close)
	}
}

// hasRun reports whether a server has begun to work on the request with the given id.
func (s *site) hasRun(id string) bool {
	for _, m := range s.machines {
		if slices.Contains(m.server.runsAfter(time.Time{}), id) {
			return true
		}
	}
	return false
}
