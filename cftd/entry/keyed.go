package entry

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"comfreytack/cftd/home"
	"comfreytack/cftd/relay"
	"comfreytack/cftd/talk"
	"comfreytack/core/model"
	"comfreytack/core/query/proof"
	"comfreytack/core/wire"
)

const (
	keysPath      = "/keys"
	issueAttempts = 3
	issueTimeout  = time.Second
	// maxKeyListBytes bounds the body of a reply that holds one batch of keys, in bytes.
	maxKeyListBytes = 256 * home.BatchLimit
)

// keyList is the body of a reply with new keys.
type keyList struct {
	Keys []string `json:"keys"`
}

// sendKeyed sends a call to the home of its key, which is the daemon that issued the key.
func (e *Entry[D]) sendKeyed(ctx context.Context, call model.Call, a *attempter[D]) (*http.Response, *model.Failure) {
	key := call.Key.OrEmpty()
	if key.Home == e.settings.Self.Name {
		return e.runAtHome(ctx, call, a)
	}
	upstreams := e.settings.Snapshot().Services[call.Service].Upstreams
	i := slices.IndexFunc(upstreams, func(u model.Upstream) bool { return u.Name == key.Home })
	if i < 0 {
		return nil, coverAllSends(call, &model.Failure{Verdict: model.NotRun, Reason: model.HomeLost})
	}
	return e.sendToHome(ctx, call, upstreams[i].Gate, a)
}

// runAtHome runs a call whose key this daemon issued. A daemon issues keys only for calls to its own service.
func (e *Entry[D]) runAtHome(ctx context.Context, call model.Call, a *attempter[D]) (*http.Response, *model.Failure) {
	if call.Service != e.settings.Self.Service {
		return nil, talk.Refuse(model.BadRequest)
	}
	return e.settings.Home.Call(ctx, call, func(ctx context.Context, call model.Call) (*http.Response, *model.Failure) {
		answer, _, failure := e.attempts(ctx, call, a)
		return answer, failure
	})
}

// sendToHome sends the call to the daemon that issued its key. That daemon knows of every send of the key, so its
// verdict is returned unchanged. A verdict that this daemon derives from a lost connection covers this send alone
// and is widened by coverAllSends.
func (e *Entry[D]) sendToHome(ctx context.Context, call model.Call, address model.Address, a *attempter[D]) (*http.Response, *model.Failure) {
	request := a.request(address)
	wire.SetCall(request.Header, call, e.settings.Now())
	wire.SetKey(request.Header, call)
	answer, failure := relay.RoundTrip(ctx, e.settings.Transport, request, model.HomeLost)
	if failure != nil {
		if failure.Reason == model.UpstreamDown {
			failure.Reason = model.HomeLost
		}
		return nil, coverAllSends(call, failure)
	}
	if failure := wire.ReadFailure(answer.Header); failure != nil {
		_ = answer.Body.Close()
		return nil, failure
	}
	wire.RemoveOwnHeaders(answer.Header)
	return answer, nil
}

// coverAllSends widens the verdict on one send of a keyed call to all sends of its key. A call whose key does not
// parse has no key and never ran, so its verdict stays.
func coverAllSends(call model.Call, failure *model.Failure) *model.Failure {
	if call.Key.IsPresent() {
		failure.Verdict = proof.Keyed(failure.Verdict, proof.Bystander, call.Send)
	}
	return failure
}

// GateHandler serves the port for other daemons. It handles keyed calls and requests for new keys itself and passes
// all other calls to gate.
func (e *Entry[D]) GateHandler(gate http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case r.Header.Get(wire.HeaderIssue) != "":
			e.issueLocally(w, model.Customer(r.Header.Get(wire.HeaderCustomer)), r.Header.Get(wire.HeaderIssue))
		case r.Header.Get(wire.HeaderKey) != "":
			e.serveKeyed(w, r)
		default:
			gate.ServeHTTP(w, r)
		}
	})
}

// serveKeyed serves a keyed call that another daemon's entry sent to this daemon as the home of its key.
func (e *Entry[D]) serveKeyed(w http.ResponseWriter, r *http.Request) {
	answer, failure := e.runKeyed(w, r)
	if failure != nil {
		relay.WriteFailure(w, failure)
		return
	}
	w.Header().Set(wire.HeaderVerdict, model.Ran.String())
	w.Header().Set(wire.HeaderReason, model.NoReason.String())
	if broken := relay.WriteAnswer(w, answer); broken != nil {
		panic(http.ErrAbortHandler)
	}
}

func (e *Entry[D]) runKeyed(w http.ResponseWriter, r *http.Request) (*http.Response, *model.Failure) {
	call, err := wire.ReadCall(r, e.settings.Now())
	if err == nil {
		err = wire.ReadKey(r.Header, wire.HeaderKey, &call)
	}
	if err != nil {
		return nil, coverAllSends(call, talk.FailureOf(err))
	}
	if failure := e.settings.Admit(call.Deadline); failure != nil {
		return nil, coverAllSends(call, failure)
	}
	relay.SetDeadlines(w, call.Deadline)
	body, err := relay.ReadBody(r)
	if err != nil {
		return nil, coverAllSends(call, &model.Failure{Verdict: model.NotRun, Reason: model.BadRequest, Cause: err})
	}
	ctx, cancel := context.WithDeadline(r.Context(), call.Deadline)
	defer cancel()
	return e.runAtHome(ctx, call, e.attempter(r, call, body))
}

// keys serves "POST /keys?customer=C&service=S&count=N" on the callers' port. Without a count it issues one key.
func (e *Entry[D]) keys(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	customer := model.Customer(query.Get("customer"))
	service := model.ServiceName(query.Get("service"))
	count := query.Get("count")
	if count == "" {
		count = "1"
	}
	if service == e.settings.Self.Service {
		e.issueLocally(w, customer, count)
		return
	}
	list, failure := e.issueRemotely(r.Context(), customer, service, count)
	if failure != nil {
		relay.WriteFailure(w, failure)
		return
	}
	writeKeys(w, list)
}

// issueLocally writes new keys of this daemon; text is the number of keys that the request asks for.
func (e *Entry[D]) issueLocally(w http.ResponseWriter, customer model.Customer, text string) {
	count, err := strconv.Atoi(text)
	if err != nil || count < 1 || count > home.BatchLimit {
		cause := errors.Errorf("count is %q, not a number from 1 to %d", text, home.BatchLimit)
		relay.WriteFailure(w, &model.Failure{Verdict: model.NotRun, Reason: model.BadRequest, Cause: cause})
		return
	}
	keys, failure := e.settings.Home.Issue(customer, count)
	if failure != nil {
		relay.WriteFailure(w, failure)
		return
	}
	list := keyList{Keys: make([]string, 0, len(keys))}
	for _, key := range keys {
		list.Keys = append(list.Keys, wire.FormatKey(key))
	}
	// Marshalling a list of strings cannot fail.
	encoded, _ := json.Marshal(list)
	writeKeys(w, append(encoded, '\n'))
}

func writeKeys(w http.ResponseWriter, list []byte) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(wire.HeaderVerdict, model.Ran.String())
	w.Header().Set(wire.HeaderReason, model.NoReason.String())
	_, _ = w.Write(list)
}

// issueRemotely requests keys from up to issueAttempts random daemons of the service, one after another, until one
// issues them. Keys of a reply that is lost stay unused, which does no harm.
func (e *Entry[D]) issueRemotely(ctx context.Context, customer model.Customer, service model.ServiceName, count string) ([]byte, *model.Failure) {
	snapshot := e.settings.Snapshot()
	published, known := snapshot.Services[service]
	if !known {
		return nil, talk.Refuse(model.NoService)
	}
	ctx, cancel := context.WithTimeout(ctx, issueTimeout)
	defer cancel()
	failure := talk.Refuse(model.NoUpstream)
	for _, i := range rand.Perm(len(published.Upstreams))[:min(issueAttempts, len(published.Upstreams))] {
		upstream := published.Upstreams[i]
		if snapshot.Leaving.Contains(upstream.Name) {
			continue
		}
		list, failed := e.requestKeys(ctx, upstream.Gate, customer, count)
		if failed == nil {
			return list, nil
		}
		failure = failed
	}
	return nil, failure
}

// requestKeys requests keys from the daemon at address and returns the body of its reply, which is a keyList.
func (e *Entry[D]) requestKeys(ctx context.Context, address model.Address, customer model.Customer, count string) ([]byte, *model.Failure) {
	header := http.Header{}
	header.Set(wire.HeaderIssue, count)
	header.Set(wire.HeaderCustomer, string(customer))
	answer, failure := relay.RoundTrip(ctx, e.settings.Transport, relay.Request{
		Address: address,
		Method:  http.MethodPost,
		Target:  relay.Target{Path: keysPath},
		Header:  header,
		Body:    &relay.Body{},
	}, model.GateLost)
	if failure != nil {
		return nil, failure
	}
	defer answer.Body.Close()
	if failure := wire.ReadFailure(answer.Header); failure != nil {
		return nil, failure
	}
	list, err := io.ReadAll(io.LimitReader(answer.Body, maxKeyListBytes))
	if err != nil {
		return nil, &model.Failure{Verdict: model.MayHaveRun, Reason: model.GateLost, Cause: err}
	}
	return list, nil
}
