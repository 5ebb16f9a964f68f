// Package crowd imitates callers that keep to no limit.
package crowd

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"comfreytack/core/model"
)

// writeTimeout ends the sending on a connection whose other end has stopped reading.
const writeTimeout = 5 * time.Second

// readTimeout ends the wait for an answer that has not arrived.
const readTimeout = time.Second

// Settings says what a crowd does.
type Settings struct {
	// Address is the listener that the crowd connects to.
	Address model.Address
	// Kind is what each connection sends.
	Kind Kind
	// Size is the number of connections; positive.
	Size int
	// MaxBytes bounds what one connection sends if its kind has no end; positive.
	MaxBytes int
}

// Crowd has the open connections.
type Crowd struct {
	conns []net.Conn
}

// Open connects and sends on all connections at once. It returns when each has sent everything, was closed by the other
// end, or has found no reader for writeTimeout. The connections stay open.
func Open(ctx context.Context, settings Settings) (*Crowd, error) {
	crowd := &Crowd{}
	var dialer net.Dialer
	for range settings.Size {
		conn, err := dialer.DialContext(ctx, "tcp", string(settings.Address))
		if err != nil {
			crowd.Close()
			return nil, err
		}
		crowd.conns = append(crowd.conns, conn)
	}
	var sending sync.WaitGroup
	for i, conn := range crowd.conns {
		sending.Go(func() { send(conn, settings, i) })
	}
	sending.Wait()
	return crowd, nil
}

// Answers returns the heads of the answers that have arrived so far.
func (c *Crowd) Answers() []*http.Response {
	var mutex sync.Mutex
	var answers []*http.Response
	var reading sync.WaitGroup
	for _, conn := range c.conns {
		reading.Go(func() {
			answer, err := readAnswer(conn)
			if err != nil {
				return // a connection that was closed without an answer, or one that still waits
			}
			mutex.Lock()
			defer mutex.Unlock()
			answers = append(answers, answer)
		})
	}
	reading.Wait()
	return answers
}

func readAnswer(conn net.Conn) (*http.Response, error) {
	if err := conn.SetReadDeadline(time.Now().Add(readTimeout)); err != nil {
		return nil, err
	}
	return http.ReadResponse(bufio.NewReader(conn), nil)
}

// Close closes all connections.
func (c *Crowd) Close() {
	for _, conn := range c.conns {
		_ = conn.Close() // the other end may have closed it
	}
}

// send sends what the kind asks for. It stops at the first error: the other end refuses the rest.
func send(conn net.Conn, settings Settings, caller int) {
	opening, repeated, end := settings.Kind.parts(caller)
	if !write(conn, opening) {
		return
	}
	for sent := 0; sent < settings.Kind.limit(settings.MaxBytes); sent += len(repeated) {
		if !write(conn, repeated) {
			return
		}
	}
	write(conn, end)
}

func write(conn net.Conn, data []byte) bool {
	if err := conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return false
	}
	_, err := conn.Write(data)
	return err == nil
}

// Exchange sends a whole request of one kind on a connection of its own and returns the answer's head.
func Exchange(ctx context.Context, address model.Address, kind Kind) (*http.Response, error) {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", string(address))
	if err != nil {
		return nil, errors.Wrap(err, "connect")
	}
	defer conn.Close()
	send(conn, Settings{Kind: kind}, 0)
	answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
	return answer, errors.Wrap(err, "read the answer")
}
