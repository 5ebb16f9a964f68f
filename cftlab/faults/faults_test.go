package faults_test

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"comfreytack/cftlab/faults"
)

// TestDraw checks that a seed determines all faults, and that they end before the last second, which is for recovery.
func TestDraw(t *testing.T) {
	draw := func(seed uint64) []faults.Fault {
		return faults.Draw(rand.New(rand.NewPCG(seed, 0)), faults.AllKinds(), 17, 50, 10*time.Second)
	}
	qt.Assert(t, draw(1), qt.DeepEquals, draw(1))
	qt.Assert(t, draw(1), qt.Not(qt.DeepEquals), draw(2))
	for _, fault := range draw(3) {
		qt.Assert(t, fault.At+fault.Duration <= 9*time.Second, qt.IsTrue)
		qt.Assert(t, fault.Node < 17, qt.IsTrue)
	}
}

func TestParseKind(t *testing.T) {
	for _, kind := range faults.AllKinds() {
		parsed, err := faults.ParseKind(kind.String())
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, parsed, qt.Equals, kind)
	}
	_, err := faults.ParseKind("rain")
	qt.Assert(t, err, qt.ErrorMatches, `no kind of fault is called "rain"`)
}
