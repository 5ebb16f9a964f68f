package intake

import (
	"net/http"

	"comfreytack/core/model"
)

// The reasons of refusals and of closed connections, in metrics and in the log. Their number bounds what is logged.
const (
	reasonNoRoom      = "no_room"
	reasonEvicted     = "evicted"
	reasonMemory      = "memory_short"
	reasonHeadSize    = "head_too_large"
	reasonHeadTimeout = "head_timeout"
	reasonMalformed   = "malformed"
	reasonAmbiguous   = "ambiguous"
	reasonStopping    = "stopping"
)

// refusal is what the server answers by itself to a request that it does not pass on.
type refusal struct {
	// label is the reason in metrics and in the log.
	label string
	// status is the HTTP status of the answer.
	status int
	// reason is the reason in the answer.
	reason model.Reason
}

var (
	refuseMemory      = &refusal{reasonMemory, http.StatusServiceUnavailable, model.MemoryShort}
	refuseHeadSize    = &refusal{reasonHeadSize, http.StatusRequestHeaderFieldsTooLarge, model.BadRequest}
	refuseHeadTimeout = &refusal{reasonHeadTimeout, http.StatusRequestTimeout, model.BadRequest}
	refuseMalformed   = &refusal{reasonMalformed, http.StatusBadRequest, model.BadRequest}
	refuseAmbiguous   = &refusal{reasonAmbiguous, http.StatusBadRequest, model.BadRequest}
	refuseEncoding    = &refusal{reasonMalformed, http.StatusNotImplemented, model.BadRequest}
	refuseVersion     = &refusal{reasonMalformed, http.StatusHTTPVersionNotSupported, model.BadRequest}
	refuseExpect      = &refusal{reasonMalformed, http.StatusExpectationFailed, model.BadRequest}
	refuseStopping    = &refusal{reasonStopping, http.StatusServiceUnavailable, model.Stopping}
)
