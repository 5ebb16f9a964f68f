package main

import (
	"bufio"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// faults says in what share of its answers a server misbehaves; zero for a sound one.
type faults struct {
	reset, cut, extra, unframed, closing, earlyShed float64
}

// server is a stand-in for an application server.
type server struct {
	lab     *lab
	service string
	zone    string
	address string
	slots   int
	queue   int
	// work returns how long a request takes.
	work func(r *http.Request) time.Duration
	// answerBytes returns the size of the answer to a request.
	answerBytes func(r *http.Request) int
	// early is the share of the long requests, in thousandths, that the server answers before it has read them.
	early atomic.Int64
	// readsOnAfter is how long it then waits until it reads on.
	readsOnAfter time.Duration
	faults       atomic.Pointer[faults]

	mu       sync.Mutex
	id       string
	born     int64
	sequence int
	state    string
	listener net.Listener
	conns    map[net.Conn]bool
	running  int
	waiting  int
	free     *sync.Cond
	stopBeat chan struct{}
}

func (s *server) start(id string) error {
	listener, err := net.Listen("tcp", s.address)
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.id, s.born, s.sequence, s.state = id, time.Now().UnixMilli(), 0, "ready"
	s.listener, s.conns, s.running, s.waiting = listener, map[net.Conn]bool{}, 0, 0
	s.free = sync.NewCond(&s.mu)
	s.stopBeat = make(chan struct{})
	stop := s.stopBeat
	s.mu.Unlock()
	go s.accept(listener, id)
	s.beat()
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(1500 * time.Millisecond):
				s.beat()
			}
		}
	}()
	return nil
}

// crash ends the server at once. Its entry stays until it expires.
func (s *server) crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.stopBeat)
	_ = s.listener.Close()
	for conn := range s.conns {
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	}
	s.conns = map[net.Conn]bool{}
	s.free.Broadcast()
	key := "servers/" + s.id
	born := s.born
	time.AfterFunc(4500*time.Millisecond, func() {
		s.mu.Lock()
		same := s.born == born
		s.mu.Unlock()
		if same {
			s.lab.store.remove(key)
		}
	})
}

// beat writes the server's entry, unless only its sequence would change.
func (s *server) beat() {
	s.mu.Lock()
	s.sequence++
	first := s.sequence == 1
	id := s.id
	value := map[string]any{
		"address": s.address,
		"born":    s.born,
		"info":    map[string]any{"service": s.service, "version": "v1", "zone": s.zone, "maxConcurrency": s.slots},
		"status":  map[string]any{"state": s.state, "sequence": s.sequence, "warmupLeftS": 0},
	}
	s.mu.Unlock()
	if first {
		s.lab.store.put("servers/"+id, value)
	}
}

func (s *server) accept(listener net.Listener, id string) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		if s.id != id || s.listener != listener {
			s.mu.Unlock()
			_ = conn.Close()
			continue
		}
		_ = conn.(*net.TCPConn).SetReadBuffer(window)
		s.conns[conn] = true
		s.mu.Unlock()
		go func() {
			s.serve(conn, id)
			_ = conn.Close()
			s.mu.Lock()
			delete(s.conns, conn)
			s.mu.Unlock()
		}()
	}
}

const (
	// readAhead is how many parts of readPart bytes a server reads ahead, and window its socket's buffer: the links of the
	// platform have small windows, so a server that doesn't read blocks the writer.
	readAhead = 4
	readPart  = 64 << 10
	window    = 128 << 10
)

// watchedConn reads ahead in a goroutine, so that the server notices at once when its caller has closed the connection.
type watchedConn struct {
	pipe *io.PipeReader
	gone chan struct{}
}

func watch(conn net.Conn) *watchedConn {
	reader, writer := io.Pipe()
	w := &watchedConn{pipe: reader, gone: make(chan struct{})}
	go func() {
		buffered := make(chan []byte, readAhead)
		go func() {
			for part := range buffered {
				if _, err := writer.Write(part); err != nil {
					for range buffered {
					}
					return
				}
			}
			_ = writer.Close()
		}()
		buffer := make([]byte, readPart)
		for {
			n, err := conn.Read(buffer)
			if n > 0 {
				buffered <- append([]byte(nil), buffer[:n]...)
			}
			if err != nil {
				close(w.gone)
				close(buffered)
				return
			}
		}
	}()
	return w
}

func (s *server) serve(conn net.Conn, id string) {
	watched := watch(conn)
	defer watched.pipe.Close()
	reader := bufio.NewReaderSize(watched.pipe, 64<<10)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if !s.handle(conn, watched, id, request) {
			return
		}
	}
}

func (s *server) load() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return fmt.Sprintf("%d,%d,%d,100", s.running, s.waiting, s.slots)
}

func head(status int, fields ...string) string {
	text := fmt.Sprintf("HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	for i := 0; i+1 < len(fields); i += 2 {
		text += fields[i] + ": " + fields[i+1] + "\r\n"
	}
	return text
}

// handle serves one request. It returns false when the connection is over.
func (s *server) handle(conn net.Conn, watched *watchedConn, id string, request *http.Request) bool {
	if strings.HasPrefix(request.URL.Path, "/health") {
		_, err := io.WriteString(conn, head(200, "X-Comfreytack-Instance-Id", id, "X-Comfreytack-Server-Load", s.load(), "Content-Length", "0")+"\r\n")
		return err == nil
	}
	requestID := request.Header.Get("X-Comfreytack-Request-Id")
	arrived := time.Now()
	s.lab.record.add(event{What: "arrive", ID: requestID, Server: id, At: arrived})
	if want := request.Header.Get("X-Comfreytack-Expect-Instance"); want != "" && want != id {
		_, _ = io.Copy(io.Discard, request.Body)
		_, err := io.WriteString(conn, head(421, "X-Comfreytack-Instance-Id", id, "Content-Length", "0")+"\r\n")
		return err == nil
	}
	misbehave := s.faults.Load()
	if misbehave == nil {
		misbehave = &faults{}
	}
	early := request.ContentLength != 0 && s.faults.Load() == nil && rand.Int64N(1000) < s.early.Load()
	hash := sha256.New()
	size := int64(0)
	if !early {
		var err error
		size, err = io.Copy(hash, request.Body)
		if err != nil {
			s.lab.record.add(event{What: "partial", ID: requestID, Server: id, At: time.Now()})
			return false
		}
	}
	if !s.enter(misbehave) {
		_, err := io.WriteString(conn, head(503, "X-Comfreytack-Not-Executed", "1", "X-Comfreytack-Request-Id", requestID, "Content-Length", "0")+"\r\n")
		return err == nil
	}
	run := event{
		What: "run", ID: requestID, Server: id, At: time.Now(), Service: s.service, Method: request.Method,
		Target: request.RequestURI, Host: request.Host, Caller: request.Header.Get("X-Comfreytack-Caller-Service"),
		Body: hex.EncodeToString(hash.Sum(nil)), Size: size, Early: early,
	}
	s.lab.record.add(run)
	timer := time.NewTimer(s.work(request))
	select {
	case <-timer.C:
	case <-watched.gone:
		timer.Stop()
		s.leave()
		s.lab.record.add(event{What: "dropped", ID: requestID, Server: id, At: time.Now()})
		return false
	}
	s.leave()
	return s.respond(conn, id, request, requestID, misbehave, early, hash)
}

func (s *server) respond(conn net.Conn, id string, request *http.Request, requestID string, f *faults, early bool, hash io.Writer) bool {
	body := answerBody(id, requestID, s.answerBytes(request))
	stamp := id + "." + strconv.Itoa(len(body))
	fields := []string{"X-Comfreytack-Request-Id", requestID, "X-Comfreytack-Server-Stamp", stamp, "X-Comfreytack-Server-Load", s.load()}
	drawn := rand.Float64()
	within := func(share float64) bool {
		hit := drawn < share
		drawn -= share
		return hit && share > 0
	}
	framed := append(fields, "Content-Length", strconv.Itoa(len(body)))
	switch {
	case within(f.reset):
		_ = conn.(*net.TCPConn).SetLinger(0)
		return false
	case within(f.cut):
		text := head(200, framed...) + "\r\n" + string(body)
		_, _ = io.WriteString(conn, text[:rand.IntN(len(text))])
		return false
	case within(f.extra):
		text := head(200, framed...) + "\r\n" + string(body)
		_, err := io.WriteString(conn, text)
		time.AfterFunc(time.Duration(rand.IntN(60))*time.Millisecond, func() { _, _ = io.WriteString(conn, text) })
		return err == nil
	case within(f.unframed):
		_, _ = io.WriteString(conn, head(200, append(fields, "Connection", "close")...)+"\r\n")
		part := rand.IntN(len(body) + 1)
		_, _ = conn.Write(body[:part])
		if rand.IntN(2) == 0 {
			time.Sleep(time.Duration(rand.IntN(20)) * time.Millisecond)
			_ = conn.(*net.TCPConn).SetLinger(0)
			return false
		}
		_, _ = conn.Write(body[part:])
		_ = conn.(*net.TCPConn).CloseWrite()
		time.Sleep(20 * time.Millisecond)
		return false
	case within(f.closing):
		_, _ = io.WriteString(conn, head(200, append(framed, "Connection", "close")...)+"\r\n"+string(body))
		return false
	}
	if _, err := io.WriteString(conn, head(200, framed...)+"\r\n"+string(body)); err != nil {
		return false
	}
	if !early {
		return true
	}
	s.lab.record.add(event{What: "served", ID: requestID, Server: id, Early: true})
	time.Sleep(s.readsOnAfter)
	size, err := io.Copy(hash, request.Body)
	if err != nil {
		return false
	}
	sum := hash.(interface{ Sum([]byte) []byte }).Sum(nil)
	s.lab.record.add(event{What: "rest", ID: requestID, Server: id, At: time.Now(), Body: hex.EncodeToString(sum), Size: size})
	return true
}

// enter waits for a slot; it returns false when the queue is full.
func (s *server) enter(f *faults) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.waiting >= s.queue || f.earlyShed > 0 && rand.Float64() < f.earlyShed {
		return false
	}
	s.waiting++
	for s.running >= s.slots {
		s.free.Wait()
	}
	s.waiting--
	s.running++
	return true
}

func (s *server) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	s.free.Signal()
}

// answerBody returns the bytes that a server answers a request with.
func answerBody(server, id string, size int) []byte {
	seed := sha256.Sum256([]byte(server + "|" + id))
	pattern := hex.EncodeToString(seed[:])
	return []byte(strings.Repeat(pattern, size/len(pattern)+1)[:size])
}
