// Package client sends requests to services through the daemons, and runs them at most once where the caller asks for
// that.
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
	minBackoff = 20 * time.Millisecond
	maxBackoff = time.Second
)

// Settings has the explicit dependencies of a client.
type Settings struct {
	// Customer is the customer under whose contract all requests run.
	Customer model.Customer
	// Daemons are the addresses at which daemons accept calls; at least one. Sends rotate through them.
	Daemons []model.Address
	// Batch is the number of keys per fetch; from 1 to 256.
	Batch int
	// Transport sends requests. The client passes it no request that net/http would retry on its own.
	Transport http.RoundTripper
}

// Request is one request to a service.
type Request struct {
	// Service, Method and Path select what is called; Path starts with a slash and may have a query.
	Service model.ServiceName
	Method  string
	Path    string
	// Header is sent unchanged, with the client's own headers added; it may be nil.
	Header http.Header
	// Body is the whole body, at most 65536 bytes for Once.
	Body []byte
}

// Answer is the complete answer of an upstream.
type Answer struct {
	// Status is the upstream's HTTP status.
	Status int
	// Header and Body are the upstream's.
	Header http.Header
	Body   []byte
	// Verdict is Ran, or MayHaveRun when the request may have run more than once.
	Verdict model.Verdict
}

// Client keeps unused keys. Its methods may be called by several goroutines.
type Client struct {
	settings Settings

	mu   sync.Mutex
	keys map[model.ServiceName][]string
	// picks counts the daemons picked so far.
	picks int
}

// New returns a client that has no keys yet.
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

// Once runs a request at most once. It resends the request, through one daemon after another, until its outcome is
// known or ctx ends. The error is a *model.Failure: NotRun means that it never ran and never will; after
// MayHaveRun the caller has to find out by other means before it requests the same work again.
func (c *Client) Once(ctx context.Context, request Request) (*Answer, error) {
	backoff := minBackoff
	for {
		key, failure := c.key(ctx, request.Service)
		if failure != nil {
			return nil, failure
		}
		answer, failure := c.sendUntilKnown(ctx, request, key)
		if failure == nil {
			return answer, nil
		}
		if failure.Reason == model.HomeLost {
			c.dropKeys(request.Service, key)
		}
		// The home was lost before the first send, so a new key may be used.
		useNewKey := failure.Reason == model.HomeLost && failure.Verdict == model.NotRun
		if !useNewKey || !sleep(ctx, backoff) {
			return nil, failure
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// sendUntilKnown sends the request under one key until its outcome is known. The verdict on a numbered send covers all
// earlier ones, so the last verdict is final.
func (c *Client) sendUntilKnown(ctx context.Context, request Request, key string) (*Answer, *model.Failure) {
	backoff := minBackoff
	for number := 1; ; number++ {
		answer, failure := c.send(ctx, request, key, number)
		if failure == nil || isFinal(failure) {
			return answer, failure
		}
		if !sleep(ctx, max(backoff, failure.RetryAfter)) {
			return nil, failure
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// isFinal reports whether another send of the key would get the same answer. A failure with a cause arose in the client
// itself, so another send may still get an answer from a daemon.
func isFinal(failure *model.Failure) bool {
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

// key removes and returns an unused key. It fetches a batch of keys when there is none.
func (c *Client) key(ctx context.Context, service model.ServiceName) (string, *model.Failure) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.keys[service]) == 0 {
		batch, failure := c.fetchKeysLocked(ctx, service)
		if failure != nil {
			return "", failure
		}
		c.keys[service] = batch
	}
	keys := c.keys[service]
	c.keys[service] = keys[1:]
	return keys[0], nil
}

// fetchKeysLocked requests keys from each daemon once, until one answers. A request for keys runs nothing, so its
// failures have the verdict NotRun. The caller holds the lock.
func (c *Client) fetchKeysLocked(ctx context.Context, service model.ServiceName) ([]string, *model.Failure) {
	query := url.Values{"customer": {string(c.settings.Customer)}, "service": {string(service)}, "count": {strconv.Itoa(c.settings.Batch)}}
	failure := &model.Failure{Verdict: model.NotRun, Reason: model.NoUpstream}
	for range c.settings.Daemons {
		target := "http://" + string(c.nextDaemonLocked()) + "/keys?" + query.Encode()
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

// dropKeys discards the unused keys that the home of the lost key issued in the same incarnation.
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
	daemon := c.nextDaemonLocked()
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

func (c *Client) nextDaemonLocked() model.Address {
	c.picks++
	return c.settings.Daemons[c.picks%len(c.settings.Daemons)]
}

// exchange sends one request and reads the whole answer. Without an answer, the request may have run.
func (c *Client) exchange(ctx context.Context, method, target string, header http.Header, body []byte) (*Answer, *model.Failure) {
	// The wrappers hide the reader's type from net/http, which would otherwise keep a copy of the body and could resend
	// the request.
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
	// ReadFailure has already parsed the verdict, so there is no error.
	_ = answer.Verdict.UnmarshalText([]byte(response.Header.Get(wire.HeaderVerdict)))
	return answer, nil
}

// sleep waits for the delay, and returns false when ctx ends first.
func sleep(ctx context.Context, delay time.Duration) bool {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
