package send

import (
	"time"

	"comfreytack/core/model"
)

// maxColdRefusals is how many cold upstreams may refuse one call before each further refusal counts as an attempt.
const maxColdRefusals = 5

// evacuatedRetryAfter is when a caller may try again while all upstreams of a service are evacuated.
const evacuatedRetryAfter = time.Second

// tryElsewhere notes a refusal that only says where the call cannot go now, and reports whether the call goes on to
// another upstream without counting an attempt.
func (p *progress) tryElsewhere(upstream model.Upstream, reason model.Reason) bool {
	switch reason {
	case model.DomainEvacuated:
		p.evacuated = append(p.evacuated, upstream.FailureDomain)
		return true
	case model.UpstreamCold:
		p.coldRefusals++
		return p.coldRefusals <= maxColdRefusals
	}
	return false
}

// tooLate returns the failure of a call that has no time for another attempt: that of its last attempt, if there was one.
func tooLate(last *model.Failure) *model.Failure {
	if last.Reason != model.NoUpstream {
		return last
	}
	return &model.Failure{Verdict: model.NotRun, Reason: model.TooLate, NoRetry: true}
}

// noneLeft returns the failure of a call for which no upstream is left. Before the first attempt it says what the
// upstreams lack, and when to come back.
func (s *Sender[P]) noneLeft(p *progress, call *model.Call, last *model.Failure) *model.Failure {
	if last.Reason == model.DomainEvacuated {
		refused := *last
		refused.RetryAfter = max(last.RetryAfter, evacuatedRetryAfter)
		return &refused
	}
	if last.Reason != model.NoUpstream {
		return last
	}
	snapshot := s.settings.Snapshot()
	switch {
	case p.coldWait > 0:
		return &model.Failure{Verdict: model.NotRun, Reason: model.UpstreamCold, RetryAfter: p.coldWait, NoRetry: true}
	case len(snapshot.Services[call.Service].Upstreams) > 0 && len(snapshot.OpenUpstreams(call.Service)) == 0:
		return &model.Failure{Verdict: model.NotRun, Reason: model.DomainEvacuated, RetryAfter: evacuatedRetryAfter, NoRetry: true}
	}
	return last
}
