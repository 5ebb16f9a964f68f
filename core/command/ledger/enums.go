package ledger

//go:generate go tool stringer -type=State,Action -linecomment -output=enums_string.go

// State is what became of a key.
type State int8

// The states. Issued and Running alternate until a key is Done or Doubtful, which are final.
const (
	// Issued keys are not running and have never run.
	Issued State = iota // issued
	// Running keys have one send on its way to an upstream.
	Running // running
	// Done keys ran exactly once.
	Done // done
	// Doubtful keys may have run; they never run again.
	Doubtful // doubtful
)

// Action is what the home does with a send.
type Action int8

// The actions.
const (
	// Run means that the send is run now and that Finish has to follow.
	Run Action = iota // run
	// Join means that the send waits for the outcome of the one that runs.
	Join // join
	// Replay means that the held answer is given again.
	Replay // replay
	// Refuse means that the send is never run.
	Refuse // refuse
)
