// Package client sends requests to services through the daemons, at most once where that matters.
package client

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"

	"comfreytack/core/model"
	"comfreytack/core/wire"
)

const (
	firstPause   = 20 * time.Millisecond
	longestPause = time.Second
)

// Settings has the explicit dependencies of a client.
type Settings struct {
	// Customer holds the contract that all requests run under.
	Customer model.Customer
	// Daemons are callers' addresses of daemons; at least one. Sends take turns through them.
	Daemons []model.Address
	// Batch is how many keys are fetched at once; from 1 to 256.
	Batch int
	// Transport sends requests. It is given nothing that it would repeat on its own.
	Transport http.RoundTripper
}

// Request is one request to a service.
type Request struct {
	// Service, Method and Path name what is called; Path starts with a slash and may have a query.
	Service model.ServiceName
	Method  string
	Path    string
	// Header is sent as it is; it may be nil.
	Header http.Header
	// Body is the whole body, at most 65536 bytes for Once.
	Body []byte
}

// Answer is the whole answer of an upstream.
type Answer struct {
	// Status is the upstream's HTTP status.
	Status int
	// Header and Body are the upstream's.
	Header http.Header
	Body   []byte
	// Verdict is Ran, or MayHaveRun when the request may have run more than once.
	Verdict model.Verdict
}

// Client keeps unused keys. Its methods may be called by many goroutines.
type Client struct {
	settings Settings

	mu   sync.Mutex
	keys map[model.ServiceName][]string
	turn int
}

// New returns a client without keys.
func New(settings Settings) *Client {
	return &Client{settings: settings, keys: map[model.ServiceName][]string{}}
}

// Do sends a request once, without a key. The error is a *model.Failure.
func (c *Client) Do(ctx context.Context, request Request) (*Answer, error) {
	answer, failure := c.send(ctx, request, "", 0)
	if failure != nil {
		return nil, failure
	}
	return answer, nil
}

// Once runs a request at most once and sends it again, through one daemon after another, until its outcome is
// known or ctx ends. The error is a *model.Failure: NotRun means that it never ran and never will; after
// MayHaveRun the caller has to find out by other means before it starts the same work once more.
func (c *Client) Once(ctx context.Context, request Request) (*Answer, error) {
	pause := firstPause
	for {
		key, failure := c.key(ctx, request.Service)
		if failure != nil {
			return nil, failure
		}
		answer, failure := c.settle(ctx, request, key)
		if failure == nil {
			return answer, nil
		}
		if failure.Reason == model.HomeLost {
			c.dropKeys(request.Service, key)
		}
		// The home was gone before the first send, so another key may be used.
		another := failure.Reason == model.HomeLost && failure.Verdict == model.NotRun
		if !another || !sleep(ctx, pause) {
			return nil, failure
		}
		pause = min(2*pause, longestPause)
	}
}

// settle sends one key until its outcome is known. What a daemon says of a numbered send covers all earlier
// ones, so the last verdict is the verdict.
func (c *Client) settle(ctx context.Context, request Request, key string) (*Answer, *model.Failure) {
	pause := firstPause
	for number := 1; ; number++ {
		answer, failure := c.send(ctx, request, key, number)
		if failure == nil || final(failure) {
			return answer, failure
		}
		if !sleep(ctx, max(pause, failure.RetryAfter)) {
			return nil, failure
		}
		pause = min(2*pause, longestPause)
	}
}

// final says whether another send of the key would be told the same. A failure with a cause is the client's
// own, which another send can clear up.
func final(failure *model.Failure) bool {
	if failure.Cause != nil {
		return false
	}
	switch failure.Reason {
	case model.BadRequest, model.NoContract, model.NoService, model.KeyUnknown, model.KeyExpired, model.HomeLost,
		model.Quarantined, model.UpstreamDied, model.Truncated, model.GateLost:
		return true
	}
	return false
}

// key takes an unused key, and a batch of new ones when there is none.
func (c *Client) key(ctx context.Context, service model.ServiceName) (string, *model.Failure) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.keys[service]) == 0 {
		batch, failure := c.fetch(ctx, service)
		if failure != nil {
			return "", failure
		}
		c.keys[service] = batch
	}
	keys := c.keys[service]
	c.keys[service] = keys[1:]
	return keys[0], nil
}

// fetch asks each daemon once. A failed request for keys never runs anything. The caller holds the lock.
func (c *Client) fetch(ctx context.Context, service model.ServiceName) ([]string, *model.Failure) {
	query := url.Values{"customer": {string(c.settings.Customer)}, "service": {string(service)}, "count": {strconv.Itoa(c.settings.Batch)}}
	failure := &model.Failure{Verdict: model.NotRun, Reason: model.NoUpstream}
	for range c.settings.Daemons {
		target := "http://" + string(c.daemonLocked()) + "/keys?" + query.Encode()
		answer, failed := c.exchange(ctx, http.MethodPost, target, nil, nil)
		if failed != nil {
			failed.Verdict = model.NotRun
			failure = failed
			continue
		}
		var list struct {
			Keys []string `json:"keys"`
		}
		if err := json.Unmarshal(answer.Body, &list); err == nil && len(list.Keys) > 0 {
			return list.Keys, nil
		}
	}
	return nil, failure
}

// dropKeys forgets the unused keys of a home that is lost.
func (c *Client) dropKeys(service model.ServiceName, lost string) {
	parsed, err := wire.ParseKey(lost)
	if err != nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	var kept []string
	for _, text := range c.keys[service] {
		key, err := wire.ParseKey(text)
		if err == nil && (key.Home != parsed.Home || key.Incarnation != parsed.Incarnation) {
			kept = append(kept, text)
		}
	}
	c.keys[service] = kept
}

func (c *Client) send(ctx context.Context, request Request, key string, number int) (*Answer, *model.Failure) {
	c.mu.Lock()
	daemon := c.daemonLocked()
	c.mu.Unlock()
	header := request.Header.Clone()
	if header == nil {
		header = http.Header{}
	}
	header.Set(wire.HeaderCustomer, string(c.settings.Customer))
	if deadline, limited := ctx.Deadline(); limited {
		header.Set(wire.HeaderDeadlineMs, strconv.FormatInt(max(1, time.Until(deadline).Milliseconds()), 10))
	}
	if key != "" {
		header.Set(wire.HeaderIdempotencyKey, key)
		header.Set(wire.HeaderSend, strconv.Itoa(number))
	}
	target := fmt.Sprintf("http://%s/svc/%s%s", daemon, request.Service, request.Path)
	return c.exchange(ctx, request.Method, target, header, request.Body)
}

func (c *Client) daemonLocked() model.Address {
	c.turn++
	return c.settings.Daemons[c.turn%len(c.settings.Daemons)]
}

// exchange sends one request and reads the whole answer. Without one nobody here can tell what happened.
func (c *Client) exchange(ctx context.Context, method, target string, header http.Header, body []byte) (*Answer, *model.Failure) {
	// The reader's type is hidden from net/http, which would keep a copy and repeat the request.
	reader := io.NopCloser(io.MultiReader(bytes.NewReader(body)))
	request, err := http.NewRequestWithContext(ctx, method, target, reader)
	if err != nil {
		return nil, &model.Failure{Verdict: model.NotRun, Reason: model.BadRequest, Cause: err}
	}
	request.ContentLength = int64(len(body))
	if header != nil {
		request.Header = header
	}
	response, err := c.settings.Transport.RoundTrip(request)
	if err != nil {
		return nil, &model.Failure{Verdict: model.MayHaveRun, Reason: model.GateLost, Cause: err}
	}
	defer response.Body.Close()
	whole, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, &model.Failure{Verdict: model.MayHaveRun, Reason: model.GateLost, Cause: errors.Wrap(err, "read answer")}
	}
	if failure := wire.ReadFailure(response.Header); failure != nil {
		return nil, failure
	}
	answer := &Answer{Status: response.StatusCode, Header: response.Header, Body: whole}
	// TakeFailure has parsed it.
	_ = answer.Verdict.UnmarshalText([]byte(response.Header.Get(wire.HeaderVerdict)))
	return answer, nil
}

// sleep returns false when ctx ended first.
func sleep(ctx context.Context, pause time.Duration) bool {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
