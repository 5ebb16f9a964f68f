package entry

import (
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"comfreytack/core/command/class"
	"comfreytack/core/model"
	"comfreytack/core/wire"
)

const servicePrefix = "/svc/"

// idempotentMethods may run more than once by their definition in HTTP.
var idempotentMethods = []string{http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace}

// readCall works out what the caller asks and under which contract. Failures have verdict NotRun.
func readCall(r *http.Request, snapshot *model.Snapshot, now time.Time) (model.Call, *model.Failure) {
	service, path := serviceOf(r)
	call := model.Call{
		ID:       r.Header.Get(wire.HeaderRequestID),
		Customer: model.Customer(r.Header.Get(wire.HeaderCustomer)),
		Service:  service,
		Method:   r.Method,
		Path:     path,
	}
	if call.ID == "" {
		call.ID = uuid.NewString()
	}
	if err := wire.TakeKey(r.Header, wire.HeaderIdempotencyKey, &call); err != nil {
		return call, failureOf(err)
	}
	if !snapshot.Ready {
		return call, refuse(model.NotReady)
	}
	limits, known := snapshot.Limits[call.Customer]
	if !known {
		return call, refuse(model.NoContract)
	}
	published, known := snapshot.Services[service]
	if !known {
		return call, refuse(model.NoService)
	}
	call.Class, call.Idempotent = classify(published, r.Method, path)
	return call, setDeadline(&call, r.Header, limits, now)
}

// serviceOf splits "/svc/reservas/holds" into "reservas" and "/holds"; other paths go by the Host header.
func serviceOf(r *http.Request) (model.ServiceName, string) {
	service, path := splitPath(r.URL.Path)
	if service == "" {
		host, _, _ := strings.Cut(r.Host, ":")
		service = host
	}
	return model.ServiceName(service), path
}

// splitPath splits "/svc/reservas/holds" into "reservas" and "/holds", and "/holds" into "" and "/holds".
func splitPath(whole string) (service, path string) {
	rest, named := strings.CutPrefix(whole, servicePrefix)
	if !named {
		return "", whole
	}
	service, path, _ = strings.Cut(rest, "/")
	return service, "/" + path
}

// classify goes by the first route that matches, as the gate does. Requests without one are short.
func classify(service model.Service, method, path string) (model.Class, bool) {
	route, _ := class.Named(service, method, path)
	return route.Class, route.Idempotent || slices.Contains(idempotentMethods, method)
}

// setDeadline takes the shorter of what the caller asks and what the contract allows.
func setDeadline(call *model.Call, header http.Header, limits model.Limits, now time.Time) *model.Failure {
	allowed := limits.Deadline
	if call.Class == model.Long {
		allowed = limits.Longest
	}
	asked, err := wire.TakeDeadline(header)
	if err != nil {
		return refuse(model.BadRequest)
	}
	if header.Get(wire.HeaderDeadlineMs) != "" {
		allowed = min(allowed, asked)
	}
	call.Deadline = now.Add(allowed)
	return nil
}

func refuse(reason model.Reason) *model.Failure {
	return &model.Failure{Verdict: model.NotRun, Reason: reason}
}

// failureOf returns the failure that err is; package wire gives no other errors.
func failureOf(err error) *model.Failure {
	var failure *model.Failure
	if errors.As(err, &failure) {
		return failure
	}
	return &model.Failure{Verdict: model.NotRun, Reason: model.BadRequest, Cause: err}
}
