package member_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"comfreytack/core/command/member"
	"comfreytack/core/model"
)

func fleet(size, domains int) []model.Upstream {
	var upstreams []model.Upstream
	for i := range size {
		upstreams = append(upstreams, model.Upstream{
			Name:          model.UpstreamName(fmt.Sprintf("u%d", i)),
			FailureDomain: model.FailureDomain(fmt.Sprintf("d%d", i%domains)),
			Peer:          model.Address(fmt.Sprintf("10.0.0.%d:2", i)),
		})
	}
	return upstreams
}

func TestPublished(t *testing.T) {
	tests := []struct {
		name          string
		size, domains int
		wantSample    int
		wantDomains   int
		wantNear      int
	}{
		{"alone", 1, 1, 0, 0, 0},
		{"one deployment", 17, 4, 16, 4, 4},
		{"many", 260, 24, member.SampleSize, 14, 7},
		{"one failure domain", 100, 1, member.SampleSize, 1, member.SampleSize},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			upstreams := fleet(test.size, test.domains)
			peers := member.New(member.PeerOf(upstreams[0]), nil)
			peers.Published(upstreams)
			domains := map[model.FailureDomain]int{}
			for _, peer := range peers.Sample {
				domains[peer.FailureDomain]++
			}
			qt.Assert(t, len(peers.Sample), qt.Equals, test.wantSample)
			qt.Assert(t, len(domains), qt.Equals, test.wantDomains)
			qt.Assert(t, domains["d0"], qt.Equals, test.wantNear)
		})
	}
}

func TestHear(t *testing.T) {
	tests := []struct {
		name         string
		incarnations []model.Incarnation
		want         []bool
	}{
		{"one incarnation", []model.Incarnation{3, 3}, []bool{true, true}},
		{"replaced at the same address", []model.Incarnation{3, 4}, []bool{true, true}},
		{"delayed message of the incarnation before", []model.Incarnation{4, 3, 4}, []bool{true, false, true}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			upstreams := fleet(2, 1)
			peers := member.New(member.PeerOf(upstreams[0]), nil)
			var got []bool
			for _, incarnation := range test.incarnations {
				peer := member.PeerOf(upstreams[1])
				peer.Incarnation = incarnation
				got = append(got, peers.Hear(time.Unix(1000, 0), peer))
			}
			qt.Assert(t, got, qt.DeepEquals, test.want)
		})
	}
}
