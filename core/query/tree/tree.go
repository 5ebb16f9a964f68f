// Package tree splits the daemons of a fleet into branches, so that a message reaches all of them although each daemon
// sends it to a bounded number of others.
//
// Daemons are ordered by failure domain and then by a hash of the name, the same on all daemons. Each message names the
// range of that order that its receiver has to pass it on to. The receiver splits the range by its own list, so that
// daemons whose lists differ still cover it together:
//
//	reader  ->  20 heads, one for each part of the order  ->  the rest of each part
//
// No tree is stored, and there is nothing to repair when a daemon leaves: the next message takes another one.
package tree

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"comfreytack/core/model"
)

const (
	// FanOut is the largest number of daemons that one daemon sends a message to.
	FanOut = 20
	// headCandidates is how many daemons of a part take turns at its head, so that one that is silently unable to pass
	// messages on does not cut off the others. Each candidate costs the sender a connection.
	headCandidates = 3
	// nameBits is the size of the part of a position that follows from a daemon's name.
	nameBits = 48
)

// Position is the place of a daemon in the order. Daemons of one failure domain are next to each other.
type Position uint64

// PositionOf returns the position of a daemon.
func PositionOf(peer model.Peer) Position {
	domain := xxhash.Sum64String(string(peer.FailureDomain))
	name := xxhash.Sum64String(string(peer.Name))
	return Position(domain<<nameBits | name>>(64-nameBits))
}

// Member is a daemon with its position.
type Member struct {
	Position Position
	Peer     model.Peer
}

// Members returns the daemons in their order.
func Members(peers []model.Peer) []Member {
	members := make([]Member, 0, len(peers))
	for _, peer := range peers {
		members = append(members, Member{Position: PositionOf(peer), Peer: peer})
	}
	slices.SortFunc(members, func(a, b Member) int {
		return cmp.Or(cmp.Compare(a.Position, b.Position), cmp.Compare(a.Peer.Name, b.Peer.Name))
	})
	return members
}

// Range is a part of the order.
type Range struct {
	// First and Last are the bounds, both included.
	First Position `json:"first"`
	Last  Position `json:"last"`
}

// Everyone returns the range of the whole order.
func Everyone() Range { return Range{First: 0, Last: ^Position(0)} }

// Within returns the members in a range. The members are in their order.
func Within(members []Member, within Range) []Member {
	first, _ := slices.BinarySearchFunc(members, within.First, comparePosition)
	members = members[first:]
	end := slices.IndexFunc(members, func(m Member) bool { return m.Position > within.Last })
	if end < 0 {
		return members
	}
	return members[:end]
}

func comparePosition(m Member, position Position) int { return cmp.Compare(m.Position, position) }

// Branch is a part of a range with the daemon that gets the message for it.
type Branch struct {
	// Head gets the message from this daemon.
	Head model.Peer
	// Rest is the range that the head passes the message on to; nil if it is alone.
	Rest *Range
}

// Split splits a range into at most FanOut branches. The members are those in the range that can be reached, in their
// order. The function choose returns a random number below its argument.
func Split(members []Member, within Range, choose func(n int) int) []Branch {
	parts := min(FanOut, len(members))
	branches := make([]Branch, 0, parts)
	first := within.First
	for i := range parts {
		part := members[i*len(members)/parts : (i+1)*len(members)/parts]
		last := within.Last
		if i+1 < parts {
			last = members[(i+1)*len(members)/parts].Position - 1
		}
		branches = append(branches, branchOf(part, Range{First: first, Last: last}, choose))
		first = last + 1
	}
	return branches
}

// branchOf returns the branch of a part. A part of one daemon is not passed on: two daemons with different lists could
// otherwise send it to each other without end.
func branchOf(part []Member, within Range, choose func(n int) int) Branch {
	if len(part) == 1 {
		return Branch{Head: part[0].Peer}
	}
	head := part[choose(min(headCandidates, len(part)))]
	return Branch{Head: head.Peer, Rest: &within}
}
