// Package final decides whether a call that waited at a gate may still be sent to the upstream. It reads the newest
// snapshot: whatever the gate decided earlier may have changed while the call waited.
package final

import (
	"time"

	"comfreytack/core/model"
	"comfreytack/core/query/fresh"
)

// Check returns why the call may not be sent now, or nil. Its failures have verdict NotRun. The argument suspended is
// how long the machine has been suspended in total since the daemon's start.
func Check(now time.Time, suspended time.Duration, snapshot *model.Snapshot, call model.Call) *model.Failure {
	if failure := Reject(snapshot, call); failure != nil {
		return failure
	}
	switch {
	case !call.Deadline.After(now):
		return refuse(model.TooLate)
	case fresh.Paused(now, suspended, snapshot):
		return refuse(model.DaemonPaused)
	}
	return nil
}

// Reject returns why no gate with this snapshot may take the call, at whatever time, or nil.
func Reject(snapshot *model.Snapshot, call model.Call) *model.Failure {
	switch {
	case snapshot.Stopping:
		return refuse(model.Stopping)
	case Leaving(snapshot):
		return refuse(model.UpstreamLeaving)
	case snapshot.IsEvacuated(snapshot.Self.FailureDomain):
		return refuse(model.DomainEvacuated)
	case call.Instance != "" && call.Instance != snapshot.Self.Instance:
		// The call is meant for another instance than the one beside this daemon.
		return refuse(model.UpstreamReplaced)
	}
	return nil
}

// Leaving reports whether the daemon's own upstream takes no new calls.
func Leaving(snapshot *model.Snapshot) bool {
	return snapshot.Stopping || snapshot.Leaving.Contains(snapshot.Self.Name)
}

func refuse(reason model.Reason) *model.Failure {
	return &model.Failure{Verdict: model.NotRun, Reason: reason}
}
