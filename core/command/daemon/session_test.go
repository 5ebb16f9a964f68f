package daemon_test

import (
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"

	"comfreytack/core/command/daemon"
	"comfreytack/core/command/gossip"
	"comfreytack/core/command/leave"
	"comfreytack/core/model"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// session feeds one daemon with events and records the state and the effects after each.
type session struct {
	state    *daemon.State
	start    time.Time
	now      time.Time
	revision model.Revision
	text     strings.Builder
}

func newSession() *session {
	now := time.Unix(1_000_000, 0)
	s := &session{start: now, now: now}
	s.state = daemon.New(daemon.Settings{
		Self:   upstream("reservas-1", 1),
		Seeds:  []model.Address{"10.0.0.2:2"},
		Random: rand.New(rand.NewPCG(1, 1)),
	}, now)
	return s
}

func upstream(name model.UpstreamName, incarnation model.Incarnation) model.Upstream {
	address := "10.0.0." + string(name[len(name)-1])
	return model.Upstream{
		Name:          name,
		Incarnation:   incarnation,
		Service:       "reservas",
		FailureDomain: "quito-sur",
		Gate:          model.Address(address + ":1"),
		Peer:          model.Address(address + ":2"),
	}
}

func service(upstreams ...model.Upstream) model.Service {
	return model.Service{Name: "reservas", Slots: 10, Connections: 250, Upstreams: upstreams}
}

func change(key string, revision model.Revision, value any) model.Change {
	if value == nil {
		return model.Change{Key: key, Revision: revision, Deleted: true}
	}
	if text, isText := value.(string); isText {
		return model.Change{Key: key, Revision: revision, Value: jsontext.Value(text)}
	}
	data, _ := json.Marshal(value)
	return model.Change{Key: key, Revision: revision, Value: data}
}

// platform delivers changes as one delta that follows the last one.
func (s *session) platform(note string, changes ...model.Change) {
	last := changes[len(changes)-1].Revision
	s.event(note, daemon.ChangesRead{Delta: model.Delta{After: min(s.revision, last), Revision: last, Changes: changes}})
	s.revision = max(s.revision, last)
}

func (s *session) peer(note string, from model.Upstream, incarnation model.Incarnation, message gossip.Message) {
	message.From = model.Peer{Name: from.Name, Incarnation: incarnation, Service: from.Service, FailureDomain: from.FailureDomain, Address: from.Peer}
	s.event(note, daemon.MessageReceived{Message: message})
}

func (s *session) event(note string, event daemon.Event) {
	s.describe(note, s.state.Apply(s.now, event))
}

// advance advances the time while the control goroutine ticks.
func (s *session) advance(note string, duration time.Duration) {
	var effects []daemon.Effect
	for until := s.now.Add(duration); s.now.Before(until); {
		s.now = s.now.Add(tickInterval)
		effects = append(effects, s.state.Tick(s.now, 0)...)
	}
	s.describe(note, effects)
}

// skip advances the time without a tick in between, as in a pause of the process.
func (s *session) skip(note string, duration time.Duration) {
	s.now = s.now.Add(duration)
	s.describe(note, s.state.Tick(s.now, 0))
}

func (s *session) describe(note string, effects []daemon.Effect) {
	v := s.state.Snapshot(s.now)
	var contracts []string
	for _, customer := range slices.Sorted(maps.Keys(v.Contracts)) {
		contracts = append(contracts, fmt.Sprintf("%s=%d", customer, v.Contracts[customer].Weight))
	}
	leaving := v.Leaving.ToSlice()
	slices.Sort(leaving)
	fmt.Fprintf(&s.text, "%6.2fs %s\n        revision %d contracts %v leaving %v", s.now.Sub(s.start).Seconds(), note, v.Revision, contracts, leaving)
	for _, flag := range []struct {
		name string
		on   bool
	}{{"ready", v.Ready}, {"suspect", v.Suspect}, {"stopping", v.Stopping}} {
		if flag.on {
			s.text.WriteString(" " + flag.name)
		}
	}
	s.text.WriteString("\n")
	for _, key := range slices.Sorted(maps.Keys(v.Refusals)) {
		refusal := v.Refusals[key]
		fmt.Fprintf(&s.text, "        refused %s at revision %d, line %d: %s found %s; allowed: %s\n", key, refusal.Revision, refusal.Line, refusal.Field, refusal.Found, refusal.Allowed)
	}
	s.describeEffects(effects)
}

func (s *session) describeEffects(effects []daemon.Effect) {
	sends := map[string]int{}
	for _, effect := range effects {
		switch e := effect.(type) {
		case daemon.SendPeer:
			what := "digest"
			if e.Message.Want != nil {
				what = fmt.Sprintf("want after %d", e.Message.Want.After)
			}
			if e.Message.Delta != nil {
				what = fmt.Sprintf("changes %d to %d", e.Message.Delta.After, e.Message.Delta.Revision)
			}
			for _, notice := range e.Message.Leaves {
				what += fmt.Sprintf(", %s incarnation %d leaving %v", notice.Upstream, notice.Incarnation, notice.Leaving)
			}
			sends[fmt.Sprintf("%s: %s", e.To, what)]++
		case daemon.ReadPlatform:
			sends[fmt.Sprintf("platform: read after %d, wait %v", e.After, e.Wait)]++
		}
	}
	for _, line := range slices.Sorted(maps.Keys(sends)) {
		fmt.Fprintf(&s.text, "        -> %d x %s\n", sends[line], line)
	}
}

// started returns a session of a daemon that is ready with two upstreams and one contract.
func started() *session {
	s := newSession()
	s.event("peer refuses", daemon.PeerLost{Address: "10.0.0.2:2"})
	s.advance("1.6 s pass", 1600*time.Millisecond)
	s.platform("platform answers",
		change("services/reservas", 1, service(upstream("reservas-1", 1), upstream("reservas-2", 1))),
		change("contracts/policia", 2, contract("policia", 10)))
	s.event("peer refuses", daemon.PeerLost{Address: "10.0.0.2:2"})
	return s
}

func TestSessions(t *testing.T) {
	tests := []struct {
		name string
		run  func() *session
	}{
		{"start_alone", started},
		{"start_with_peer_ahead_of_platform", func() *session {
			s := newSession()
			s.advance("0.1 s passes", 100*time.Millisecond)
			s.peer("ready peer has 9", upstream("reservas-2", 1), 1, gossip.Message{Digest: gossip.Digest{Revision: 9, Ready: true}, Answers: 1})
			s.platform("stale platform answers", change("contracts/policia", 2, contract("policia", 10)))
			s.advance("2 s pass", 2*time.Second)
			s.peer("peer answers", upstream("reservas-2", 1), 1, gossip.Message{Digest: gossip.Digest{Revision: 9, Ready: true}, Answers: 1, Delta: &model.Delta{After: 2, Revision: 9, Changes: []model.Change{change("contracts/policia", 9, contract("policia", 90))}}})
			return s
		}},
		{"two_operators_publish", func() *session {
			s := started()
			s.platform("both at once", change("contracts/policia", 3, contract("policia", 20)), change("contracts/policia", 4, contract("policia", 30)))
			return s
		}},
		{"lower_revision", func() *session {
			s := started()
			s.platform("weight 20", change("contracts/policia", 5, contract("policia", 20)))
			s.platform("stale replica", change("contracts/policia", 4, contract("policia", 1)))
			s.peer("peer behind", upstream("reservas-2", 1), 1, gossip.Message{Digest: gossip.Digest{Revision: 2, Ready: true}})
			return s
		}},
		{"invalid_then_good", func() *session {
			s := started()
			s.platform("weight 0", change("contracts/policia", 3, "{\"customer\": \"policia\",\n \"weight\": 0,\n \"tier\": \"standard\", \"deadline_ms\": 500, \"longest_ms\": 5000}"))
			s.platform("weight 7", change("contracts/policia", 4, contract("policia", 7)))
			return s
		}},
		{"contract_removed", func() *session {
			s := started()
			s.platform("removed", change("contracts/policia", 3, nil))
			return s
		}},
		{"marked_and_taken_back", func() *session {
			s := started()
			s.platform("marked", change("marks/reservas-2", 3, model.Mark{Incarnation: 1, State: model.Leave}))
			s.platform("taken back", change("marks/reservas-2", 4, model.Mark{Incarnation: 1, State: model.Joining}))
			return s
		}},
		{"marked_and_replaced", func() *session {
			s := started()
			s.platform("marked", change("marks/reservas-2", 3, model.Mark{Incarnation: 1, State: model.Leave}))
			s.platform("replaced", change("services/reservas", 4, service(upstream("reservas-1", 1), upstream("reservas-2", 2))))
			return s
		}},
		{"drain_and_mark", func() *session {
			s := started()
			s.event("upstream drains", daemon.UpstreamProbed{Draining: true})
			s.event("upstream no longer drains", daemon.UpstreamProbed{Draining: false})
			s.platform("operator takes it back", change("marks/reservas-1", 3, model.Mark{Incarnation: 1, State: model.Joining}))
			s.event("upstream drains again", daemon.UpstreamProbed{Draining: true})
			return s
		}},
		{"peer_leaves_and_comes_back", func() *session {
			s := started()
			notice := leave.Notice{Upstream: "reservas-2", Incarnation: 5, Leaving: true, Stopping: true, Listed: 1}
			s.peer("peer stops", upstream("reservas-2", 1), 5, gossip.Message{Digest: gossip.Digest{Revision: 2, Ready: true}, Leaves: []leave.Notice{notice}})
			s.platform("mark does not take it back", change("marks/reservas-2", 3, model.Mark{Incarnation: 1, State: model.Joining}))
			s.peer("next incarnation", upstream("reservas-2", 1), 6, gossip.Message{Digest: gossip.Digest{Revision: 3, Ready: true}})
			s.peer("old incarnation, delayed", upstream("reservas-2", 1), 5, gossip.Message{Digest: gossip.Digest{Revision: 2, Ready: true}, Leaves: []leave.Notice{notice}})
			return s
		}},
		{"stop_twice", func() *session {
			s := started()
			s.event("stop", daemon.StopRequested{})
			s.event("stop again", daemon.StopRequested{})
			return s
		}},
		{"stop_while_starting", func() *session {
			s := newSession()
			s.event("stop", daemon.StopRequested{})
			return s
		}},
		{"paused", func() *session {
			s := started()
			s.skip("nothing ran for 10 s", 10*time.Second)
			s.peer("answer from before the pause", upstream("reservas-2", 1), 1, gossip.Message{Digest: gossip.Digest{Revision: 2, Ready: true}, Answers: 1})
			s.peer("answer to the request after it", upstream("reservas-2", 1), 1, gossip.Message{Digest: gossip.Digest{Revision: 2, Ready: true}, Answers: 2})
			s.skip("nothing ran for 10 s", 10*time.Second)
			s.advance("3.1 s pass without an answer", 3100*time.Millisecond)
			return s
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			got := test.run().text.String()
			file := filepath.Join("testdata", test.name+".golden")
			if *update {
				qt.Assert(t, os.MkdirAll("testdata", 0o755), qt.IsNil)
				qt.Assert(t, os.WriteFile(file, []byte(got), 0o644), qt.IsNil)
			}
			want, err := os.ReadFile(file)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, got, qt.Equals, string(want))
		})
	}
}
