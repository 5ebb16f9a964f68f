// Package relay sends requests and copies answers over HTTP. It makes no routing or retry decisions.
package relay

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"slices"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"comfreytack/core/model"
)

const (
	dialTimeout       = 250 * time.Millisecond
	continueTimeout   = time.Second
	keepAliveInterval = time.Second
	keepAliveProbes   = 2
	connWriteBuffer   = 16 << 10
	connReadBuffer    = 16 << 10
	maxIdlePerAddress = 64
	// maxDrainBytes bounds the body of a refusal that is read to its end.
	maxDrainBytes = 256 << 10
)

// keepAlive detects a connection whose peer disappeared without closing it. There is no bound on unacknowledged bytes
// (TCP_USER_TIMEOUT): the kernel applies it to a peer that is alive and does not read for a while, too. A request that is being
// sent ends with its answer or its deadline.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: keepAliveProbes}

// hopByHopHeaders apply to one connection only and are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// NewTransport returns a transport that opens at most the given number of connections to one address. It closes a
// connection that was idle for the given time, which must be less than the receiver's own idle timeout: when the
// receiver closes a connection while a request is on its way, nobody can tell whether the request ran.
func NewTransport(connections int, idle time.Duration) *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAliveConfig: keepAlive}
	return &http.Transport{
		DialContext:            countingDialer(dialer),
		MaxConnsPerHost:        connections,
		MaxIdleConnsPerHost:    min(connections, maxIdlePerAddress),
		IdleConnTimeout:        idle,
		ExpectContinueTimeout:  continueTimeout,
		DisableCompression:     true,
		MaxResponseHeaderBytes: 2 * maxAnswerHeadBytes, // answerHead's bound comes first
		WriteBufferSize:        connWriteBuffer,
		ReadBufferSize:         connReadBuffer,
	}
}

// Request is what one attempt sends.
type Request struct {
	// Address is where the request is sent.
	Address model.Address
	// Method, Target and Host come from the caller.
	Method string
	Target Target
	Host   string
	// Header is sent with Expect and User-Agent set as needed; it belongs to this attempt and may be changed.
	Header http.Header
	// Body is the caller's body.
	Body *Body
	// Tail hashes the body of this attempt while it is sent; nil when its fingerprint is known or not needed.
	Tail *Tail
	// ExpectContinue sends "Expect: 100-continue", so that a body that can be sent only once is held back until the
	// receiver asks for it.
	ExpectContinue bool
	// Confirm is called immediately before the first byte of the request is written, when a connection is ready and
	// nothing waits any more; nil confirms every request. After a failure, whose verdict must be NotRun, nothing is
	// written and the connection is closed. It must not block.
	Confirm func() *model.Failure
	// CheckAnswer returns a failure when the response is not an answer to this request; nil accepts every response.
	// After a failure other than NotRun the connection is closed.
	CheckAnswer func(answer *http.Response) *model.Failure
	// NamesRequest reports whether a response says that it belongs to this request; nil means that each does. A refusal that
	// does not could be the copy of an earlier one: its connection is not used again.
	NamesRequest func(answer *http.Response) bool
	// AllowCloseDelimited accepts answers that end when their connection is closed.
	AllowCloseDelimited bool
}

// RoundTrip sends one request and returns its answer. On failure the verdict is NotRun only if no byte of the
// request was written or CheckAnswer says so. A failure of the connection after a byte was written has reason
// lostReason, unless ctx has ended. A pooled connection that turns out to be closed before that says nothing of the receiver:
// the request goes on another one.
func RoundTrip(ctx context.Context, transport *http.Transport, request Request, lostReason model.Reason) (*http.Response, *model.Failure) {
	for {
		sent := progress{confirm: request.Confirm}
		answer, failure := roundTrip(ctx, transport, request, lostReason, &sent)
		if failure == nil || !sent.foundClosed() || ctx.Err() != nil || request.Tail != nil || !request.Body.CanResend() {
			return answer, failure
		}
	}
}

// roundTrip is one try of RoundTrip.
func roundTrip(
	ctx context.Context, transport *http.Transport, request Request, lostReason model.Reason, sent *progress,
) (*http.Response, *model.Failure) {
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { sent.useConn(info) },
	})
	outgoing := outgoingRequest(request).WithContext(ctx)
	answer, err := transport.RoundTrip(outgoing)
	if failure := sent.refusal(); err != nil && failure != nil {
		return nil, failure
	}
	if malformed := sent.malformed(); err != nil && malformed != nil {
		return nil, &model.Failure{Verdict: model.MayHaveRun, Reason: model.WrongAnswer, Cause: malformed}
	}
	if err != nil {
		return nil, roundTripFailure(ctx, err, sent.wrote(), lostReason)
	}
	if !sent.wrote() {
		// The response belongs to an earlier request on the connection.
		sent.abort()
		_ = answer.Body.Close()
		return nil, roundTripFailure(ctx, errUnsolicited, sent.wrote(), lostReason)
	}
	if err := checkFraming(request, answer); err != nil {
		sent.abort()
		_ = answer.Body.Close()
		return nil, &model.Failure{Verdict: model.MayHaveRun, Reason: model.Truncated, Cause: err}
	}
	answer.Body = &trailerChecker{ReadCloser: answer.Body, answer: answer}
	if request.CheckAnswer == nil {
		return answer, nil
	}
	failure := request.CheckAnswer(answer)
	if failure == nil {
		return answer, nil
	}
	if failure.Verdict == model.NotRun && request.NamesRequest != nil && !request.NamesRequest(answer) && !sent.retire() {
		failure = &model.Failure{Verdict: model.MayHaveRun, Reason: model.WrongAnswer, Cause: errRepeated}
	}
	discard(answer, failure, sent)
	return nil, failure
}

// discard drops an answer that failed its check. After a refusal with a body of at most maxDrainBytes it reads the body
// to its end, so that the connection can be reused; otherwise the connection is closed.
func discard(answer *http.Response, failure *model.Failure, sent *progress) {
	if failure.Verdict != model.NotRun {
		sent.abort()
	} else if answer.ContentLength <= maxDrainBytes {
		// If the refusal's body breaks off, the transport closes the connection by itself.
		_, _ = io.CopyN(io.Discard, answer.Body, maxDrainBytes)
	}
	_ = answer.Body.Close()
}

// checkFraming rejects answers whose end cannot be told from a broken connection.
func checkFraming(request Request, answer *http.Response) error {
	method := request.Method
	switch {
	case answer.StatusCode < http.StatusOK:
		return errors.Errorf("unexpected status %d", answer.StatusCode)
	case method == http.MethodHead, answer.StatusCode == http.StatusNoContent, answer.StatusCode == http.StatusNotModified:
		return nil
	case answer.ContentLength < 0 && len(answer.TransferEncoding) == 0 && !request.AllowCloseDelimited:
		return errors.New("the answer has neither a length nor chunks")
	}
	return nil
}

// outgoingRequest returns the request for the transport. It changes the header of request.
func outgoingRequest(request Request) *http.Request {
	if request.ExpectContinue {
		request.Header.Set("Expect", "100-continue")
	}
	if _, sent := request.Header["User-Agent"]; !sent {
		// Without an entry the transport would add its own User-Agent.
		request.Header["User-Agent"] = []string{""}
	}
	body := request.Body.Open()
	if request.Tail != nil {
		body = &tailReader{ReadCloser: body, tail: request.Tail}
	}
	return &http.Request{
		Method:        request.Method,
		URL:           request.Target.url(request.Address),
		Host:          request.Host,
		Header:        request.Header,
		Body:          body,
		ContentLength: request.Body.Length,
	}
}

// CopyHeader adds the end-to-end headers of source to target. It leaves what target has, such as a "Connection: close"
// for the caller.
func CopyHeader(target, source http.Header) {
	var listed []string
	for _, list := range source["Connection"] {
		listed = append(listed, splitList(list)...)
	}
	for name, values := range source {
		if !slices.Contains(hopByHopHeaders, name) && !slices.Contains(listed, name) {
			target[name] = append(target[name], values...)
		}
	}
}

// roundTripFailure returns the failure for an error of the transport. If wrote is false, the request has not run.
func roundTripFailure(ctx context.Context, err error, wrote bool, lostReason model.Reason) *model.Failure {
	failure := &model.Failure{Verdict: model.MayHaveRun, Reason: lostReason, Cause: err}
	switch ctx.Err() {
	case context.DeadlineExceeded:
		failure.Reason = model.DeadlinePassed
	case context.Canceled:
		failure.Reason = model.CallerGone
	}
	if wrote {
		return failure
	}
	failure.Verdict = model.NotRun
	if ctx.Err() == nil {
		failure.Reason = model.UpstreamDown
	}
	return failure
}

// RefusesConnections reports whether the address refuses a new connection, as it does after its process has ended.
func RefusesConnections(address model.Address) bool {
	conn, err := net.DialTimeout("tcp", string(address), dialTimeout)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	_ = conn.Close()
	return false
}
