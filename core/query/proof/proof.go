// Package proof derives the verdict on a request from what was observed of it.
//
// A verdict states the set of possible executions: NotRun is {0}, Ran is {1} with its answer in hand, and
// MayHaveRun is every count. The functions here never return a smaller set than the observations allow.
package proof

import "comfreytack/core/model"

// Of returns the verdict on one attempt after one observation. An unknown observation proves nothing.
func Of(observation Observation) model.Verdict {
	switch observation {
	case RefusedHere, NothingSent, CancelledQueued, ExpiredQueued, PausedBeforeStart, UpstreamShed, GateSaidNotRun:
		return model.NotRun
	case AnswerWhole, GateSaidRan:
		return model.Ran
	default:
		return model.MayHaveRun
	}
}

// CombineAttempts returns the verdict on two attempts of one call, whose executions add up. NotRun is the identity
// element and MayHaveRun the absorbing one.
//
// Two complete answers mean two executions, which no verdict but MayHaveRun covers:
//
//	not_run, ran      -> ran
//	may_have_run, ran -> may_have_run
//	ran, ran          -> may_have_run
func CombineAttempts(first, second model.Verdict) model.Verdict {
	if first == model.NotRun {
		return second
	}
	if second == model.NotRun {
		return first
	}
	return model.MayHaveRun
}

// Either combines two verdicts on the same attempt of which at least one is true.
//
//	not_run, not_run -> not_run
//	not_run, ran     -> may_have_run
func Either(first, second model.Verdict) model.Verdict {
	if first == second {
		return first
	}
	return model.MayHaveRun
}

// Weaker reports whether a claims no more than b: a is MayHaveRun, or both are the same.
func Weaker(a, b model.Verdict) bool {
	return a == b || a == model.MayHaveRun
}

// Keyed extends a verdict on one send of a keyed call to all sends of the key so far. Only the home knows of the
// earlier sends. A bystander can exclude a run only for the first send, which the caller numbers 1.
//
//	not_run, bystander, send 1 -> not_run
//	not_run, bystander, send 2 -> may_have_run
func Keyed(verdict model.Verdict, reporter Reporter, send int) model.Verdict {
	if verdict == model.NotRun && reporter == Bystander && send != 1 {
		return model.MayHaveRun
	}
	return verdict
}
