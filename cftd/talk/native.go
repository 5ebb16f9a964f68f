package talk

import (
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/google/uuid"

	"comfreytack/cftd/relay"
	"comfreytack/core/command/class"
	"comfreytack/core/model"
	"comfreytack/core/query/limits"
	"comfreytack/core/query/match"
	"comfreytack/core/wire"
)

const servicePrefix = "/svc/"

// safeMethods are the methods that HTTP defines as safe, so that their requests may run more than once.
var safeMethods = []string{http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace}

// Native is the project's own dialect, described in docs/CALLERS.md.
type Native struct{}

// ReadCall implements Dialect: the service comes from a route of the configuration document, the path or the host; the
// customer comes from a header.
func (Native) ReadCall(r *http.Request, snapshot *model.Snapshot, now time.Time) (model.Call, *model.Failure) {
	route, routed := match.Route(snapshot.Routes, r.Host, wire.EncodedPath(r.URL))
	service, path := serviceOf(r)
	call := model.Call{
		ID:       r.Header.Get(wire.HeaderRequestID),
		Customer: model.Customer(r.Header.Get(wire.HeaderCustomer)),
		Service:  service,
		Method:   r.Method,
		Path:     path,
	}
	if routed {
		applyRoute(&call, route, wire.EncodedPath(r.URL), snapshot.Self.Service, now)
	}
	if call.ID == "" {
		call.ID = uuid.NewString()
	}
	if err := wire.ReadKey(r.Header, wire.HeaderIdempotencyKey, &call); err != nil {
		return call, FailureOf(err)
	}
	if !snapshot.Ready {
		return call, Refuse(model.NotReady)
	}
	granted, known := snapshot.Limits[call.Customer]
	if !known {
		return call, Refuse(model.NoContract)
	}
	published, known := snapshot.Services[call.Service]
	if !known {
		return call, Refuse(model.NoService)
	}
	if !routed {
		call.Class, call.Idempotent = classify(published, r.Method, path)
	}
	if failure := setDeadline(&call, r.Header, granted, now); failure != nil {
		return call, failure
	}
	if routed {
		call.Deadline = earlier(call.Deadline, now.Add(time.Duration(route.TimeoutMs)*time.Millisecond))
	}
	return call, nil
}

// applyRoute sets the fields of a call that follow from a route of the configuration document. A caller that names no
// customer runs under the contract of the route's rank.
func applyRoute(call *model.Call, route model.HostRoute, path string, origin model.ServiceName, now time.Time) {
	call.Route = route.Name
	call.Path = path
	call.Service = match.Service(route, rand.IntN)
	call.Rank = route.Rank
	call.Attempts = route.Attempts
	call.Idempotent = route.Idempotent
	call.Origin = origin
	call.Target = now.Add(time.Duration(route.TargetMs) * time.Millisecond)
	if call.Customer == "" {
		call.Customer = limits.RankCustomer(route.Rank)
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// serviceOf splits "/svc/reservas/holds" into "reservas" and "/holds". For other paths the Host header names the
// service.
func serviceOf(r *http.Request) (model.ServiceName, string) {
	service, path := splitPath(wire.EncodedPath(r.URL))
	if service == "" {
		host, _, _ := strings.Cut(r.Host, ":")
		service = host
	}
	return model.ServiceName(service), path
}

// splitPath splits "/svc/reservas/holds" into "reservas" and "/holds", and "/holds" into "" and "/holds".
func splitPath(whole string) (service, path string) {
	rest, found := strings.CutPrefix(whole, servicePrefix)
	if !found {
		return "", whole
	}
	service, path, _ = strings.Cut(rest, "/")
	return service, "/" + path
}

// classify returns the class of a request and whether it is idempotent, from the first route that matches, as the gate
// does. Requests without a route are short.
func classify(service model.Service, method, path string) (model.Class, bool) {
	route, _ := class.MatchRoute(service, method, path)
	return route.Class, route.Idempotent || slices.Contains(safeMethods, method)
}

// setDeadline sets the deadline to the shorter of the time that the caller asks for and the time that the
// contract allows.
func setDeadline(call *model.Call, header http.Header, limits model.Limits, now time.Time) *model.Failure {
	allowed := limits.Deadline
	if call.Class == model.Long {
		allowed = limits.Longest
	}
	asked, err := wire.ReadDeadline(header)
	if err != nil {
		return Refuse(model.BadRequest)
	}
	if header.Get(wire.HeaderDeadlineMs) != "" {
		allowed = min(allowed, asked)
	}
	call.Deadline = now.Add(allowed)
	return nil
}

// SetAnswer implements Dialect.
func (Native) SetAnswer(header http.Header, call model.Call, verdict model.Verdict) {
	header.Set(wire.HeaderRequestID, call.ID)
	header.Set(wire.HeaderVerdict, verdict.String())
	header.Set(wire.HeaderReason, model.NoReason.String())
}

// WriteFailure implements Dialect.
func (Native) WriteFailure(w http.ResponseWriter, call model.Call, failure *model.Failure) {
	w.Header().Set(wire.HeaderRequestID, call.ID)
	relay.WriteFailure(w, failure)
}

// SetUpstream implements Dialect.
func (Native) SetUpstream(header http.Header, call model.Call, now time.Time) {
	wire.SetUpstream(header, call, now)
}

// CheckAnswer implements Dialect: a service may name a status by which its upstreams refuse before any work.
func (Native) CheckAnswer(_ model.Call, service model.Service, answer *http.Response) *model.Failure {
	if service.ShedStatus != 0 && answer.StatusCode == service.ShedStatus {
		return Refuse(model.UpstreamShed)
	}
	return nil
}

// NamesRequest implements Dialect: upstreams need not name the request, and callers may give one ID to several.
func (Native) NamesRequest(model.Call, *http.Response) bool { return false }

// PacePercent implements Dialect: the upstreams' answers do not report a pace.
func (Native) PacePercent(http.Header) int { return 0 }

// WarmupLeft implements Dialect.
func (Native) WarmupLeft(header http.Header) time.Duration { return wire.ReadWarmup(header) }

// AllowCloseDelimited implements Dialect.
func (Native) AllowCloseDelimited() bool { return false }
