package hold_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	mapset "github.com/deckarep/golang-set/v2"
	qt "github.com/frankban/quicktest"

	"comfreytack/core/command/adapt"
	"comfreytack/core/command/admit"
	"comfreytack/core/command/class"
	"comfreytack/core/command/warm"
	"comfreytack/core/model"
	"comfreytack/core/traffic/hold"
	"comfreytack/core/traffic/learn"
)

const (
	self        = model.UpstreamName("reservas-1")
	callTimeout = time.Minute
)

// driver has a gate of one slot and the control state that the gate reads.
type driver struct {
	*testing.T
	gate     *hold.Gate[*admit.Fair, adapt.Fixed]
	snapshot model.Snapshot
	// suspended is how long the machine has been suspended.
	suspended time.Duration
}

func newDriver(t *testing.T) *driver { return newDriverWithShare(t, 1) }

// newDriverWithShare returns a driver whose gate uses the given share of its slots.
func newDriverWithShare(t *testing.T, usableShare float64) *driver {
	d := &driver{T: t, snapshot: model.Snapshot{
		Self:        model.Upstream{Name: self, Service: "reservas"},
		Revision:    1,
		Slots:       1,
		Contracts:   map[model.Customer]model.Contract{"police": {Customer: "police", Weight: 1}},
		Limits:      map[model.Customer]model.Limits{"police": {Weight: 1, Queue: 4, LongSlots: 1}},
		Services:    map[model.ServiceName]model.Service{"reservas": {Name: "reservas", Slots: 1}},
		Leaving:     mapset.NewThreadUnsafeSet[model.UpstreamName](),
		Ready:       true,
		PublishedAt: time.Now(),
	}}
	view := func() *model.Snapshot { return &d.snapshot }
	d.gate = hold.New(hold.Settings{
		Suspended:   func() time.Duration { return d.suspended },
		UsableShare: usableShare,
		Warmth:      warm.New(time.Now(), warm.Bounds{}),
		Snapshot:    view,
		Now:         time.Now,
		Classifier:  learn.New(view, class.New(16)),
	}, admit.New(1, admit.NewFair()), adapt.New(1, 1, adapt.Fixed{}))
	return d
}

// enter asks for a slot and returns why the call was refused, or NoReason when it holds the slot.
func (d *driver) enter(ctx context.Context) (hold.Slot, model.Reason) {
	return d.enterInstance(ctx, "")
}

// enterInstance is enter for a call that is meant for one instance of the upstream.
func (d *driver) enterInstance(ctx context.Context, instance model.InstanceID) (hold.Slot, model.Reason) {
	slot, failure := d.gate.Enter(ctx, model.Call{Customer: "police", Service: "reservas", Deadline: time.Now().Add(callTimeout), Instance: instance})
	if failure == nil {
		return slot, model.NoReason
	}
	qt.Check(d, failure.Verdict, qt.Equals, model.NotRun)
	return slot, failure.Reason
}

// queue starts a call that waits, and returns a channel for its outcome.
func (d *driver) queue(ctx context.Context) <-chan model.Reason {
	outcome := make(chan model.Reason, 1)
	go func() {
		_, reason := d.enter(ctx)
		outcome <- reason
	}()
	synctest.Wait()
	return outcome
}

// TestUsableShare checks how many of the published slots the gate uses.
func TestUsableShare(t *testing.T) {
	tests := []struct {
		name  string
		share float64
		slots int
		want  int
	}{
		{name: "all", share: 1, slots: 9, want: 9},
		{name: "four fifths", share: 0.8, slots: 9, want: 7},
		{name: "four fifths of few slots", share: 0.8, slots: 3, want: 2},
		{name: "too few to leave one free", share: 0.8, slots: 2, want: 2},
		{name: "at least one", share: 0.8, slots: 1, want: 1},
		{name: "not published yet", share: 0.8, slots: 0, want: 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			d := newDriverWithShare(t, test.share)
			d.snapshot.Slots = test.slots
			for range test.want {
				_, reason := d.enter(t.Context())
				qt.Assert(t, reason, qt.Equals, model.NoReason)
			}
			qt.Assert(t, d.gate.Report().Slots, qt.Equals, test.want)
			qt.Assert(t, d.gate.Report().InFlight, qt.Equals, test.want)
		})
	}
}

func TestEnter(t *testing.T) {
	tests := []struct {
		name string
		act  func(d *driver) model.Reason
		want model.Reason
		// wantInFlight counts the slots that are held at the end.
		wantInFlight int
	}{
		{
			name:         "a free slot is taken",
			act:          func(d *driver) model.Reason { _, reason := d.enter(d.Context()); return reason },
			wantInFlight: 1,
		},
		{
			name: "a daemon without configuration refuses",
			act: func(d *driver) model.Reason {
				d.snapshot.Ready = false
				_, reason := d.enter(d.Context())
				return reason
			},
			want: model.NotReady,
		},
		{
			name: "a leaving upstream refuses",
			act: func(d *driver) model.Reason {
				d.snapshot.Leaving.Add(self)
				_, reason := d.enter(d.Context())
				return reason
			},
			want: model.UpstreamLeaving,
		},
		{
			name: "a call for another instance of the upstream is refused",
			act: func(d *driver) model.Reason {
				d.snapshot.Self.Instance = "i-2"
				_, reason := d.enterInstance(d.Context(), "i-1")
				return reason
			},
			want: model.UpstreamReplaced,
		},
		{
			name: "a call for this instance is accepted",
			act: func(d *driver) model.Reason {
				d.snapshot.Self.Instance = "i-2"
				_, reason := d.enterInstance(d.Context(), "i-2")
				return reason
			},
			wantInFlight: 1,
		},
		{
			name: "a stopping daemon refuses",
			act: func(d *driver) model.Reason {
				d.snapshot.Stopping = true
				_, reason := d.enter(d.Context())
				return reason
			},
			want: model.Stopping,
		},
		{
			name: "a call that waits starts when the slot is free",
			act: func(d *driver) model.Reason {
				slot, _ := d.enter(d.Context())
				outcome := d.queue(d.Context())
				slot.Release(hold.Useful)
				slot.Release(hold.Useful)
				return <-outcome
			},
			wantInFlight: 1,
		},
		{
			name: "a caller that cancels leaves the queue",
			act: func(d *driver) model.Reason {
				d.enter(d.Context())
				ctx, cancel := context.WithCancel(d.Context())
				outcome := d.queue(ctx)
				cancel()
				return <-outcome
			},
			want:         model.CallerGone,
			wantInFlight: 1,
		},
		{
			name: "a call that waits too long is refused",
			act: func(d *driver) model.Reason {
				d.enter(d.Context())
				ctx, cancel := context.WithTimeout(d.Context(), time.Second)
				defer cancel()
				return <-d.queue(ctx)
			},
			want:         model.TooLate,
			wantInFlight: 1,
		},
		{
			name: "a pause before the start is noticed, and the slot is free again",
			act: func(d *driver) model.Reason {
				slot, _ := d.enter(d.Context())
				outcome := d.queue(d.Context())
				time.Sleep(10 * time.Second)
				slot.Release(hold.Useful)
				return <-outcome
			},
			want: model.DaemonPaused,
		},
		{
			name: "an upstream that leaves starts no waiting call",
			act: func(d *driver) model.Reason {
				slot, _ := d.enter(d.Context())
				outcome := d.queue(d.Context())
				d.snapshot.Leaving.Add(self)
				slot.Release(hold.Useful)
				return <-outcome
			},
			want: model.UpstreamLeaving,
		},
		{
			name: "calls that wait are refused when the failure domain is evacuated",
			act: func(d *driver) model.Reason {
				d.enter(d.Context())
				outcome := d.queue(d.Context())
				d.gate.RefuseWaiting(model.DomainEvacuated)
				return <-outcome
			},
			want:         model.DomainEvacuated,
			wantInFlight: 1,
		},
		{
			name: "a call in an evacuated failure domain is refused",
			act: func(d *driver) model.Reason {
				d.snapshot.Evacuated = mapset.NewThreadUnsafeSet(d.snapshot.Self.FailureDomain)
				_, reason := d.enter(d.Context())
				return reason
			},
			want: model.DomainEvacuated,
		},
		{
			name: "a suspension of the machine is noticed, although the clock did not advance",
			act: func(d *driver) model.Reason {
				slot, _ := d.enter(d.Context())
				outcome := d.queue(d.Context())
				d.suspended = 10 * time.Second
				slot.Release(hold.Useful)
				return <-outcome
			},
			want: model.DaemonPaused,
		},
		{
			name: "a suspension before the newest snapshot does not count",
			act: func(d *driver) model.Reason {
				d.suspended, d.snapshot.Suspended = 10*time.Second, 10*time.Second
				_, reason := d.enter(d.Context())
				return reason
			},
			wantInFlight: 1,
		},
		{
			name: "a daemon that has not re-read its state after a pause starts nothing",
			act: func(d *driver) model.Reason {
				d.snapshot.Suspect = true
				_, reason := d.enter(d.Context())
				return reason
			},
			want: model.DaemonPaused,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := newDriver(t)
				qt.Assert(t, test.act(d), qt.Equals, test.want)
				qt.Assert(t, d.gate.Report().InFlight, qt.Equals, test.wantInFlight)
			})
		})
	}
}
