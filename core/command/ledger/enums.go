package ledger

//go:generate go tool stringer -type=State,Action -linecomment -output=enums_string.go

// State is the state of a key.
type State int8

// The states. Issued and Running alternate until a key is Done or Doubtful, which are final.
const (
	// Issued keys have never run and have no send in progress.
	Issued State = iota // issued
	// Running keys have one send that was admitted and has no outcome yet.
	Running // running
	// Done keys ran exactly once.
	Done // done
	// Doubtful keys may have run; none of their sends runs again.
	Doubtful // doubtful
)

// Action is what the home does with a send.
type Action int8

// The actions.
const (
	// Run means that the send runs now and that Finish must follow.
	Run Action = iota // run
	// Join means that the send waits for the outcome of the one that is running.
	Join // join
	// Replay means that the held answer is returned again.
	Replay // replay
	// Refuse means that the send never runs.
	Refuse // refuse
)
