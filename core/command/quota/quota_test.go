package quota_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"comfreytack/core/command/quota"
	"comfreytack/core/query/evict"
)

var now = time.Unix(1000, 0)

// TestCrowd fills a quota with unfinished heads. A caller that needs little must still get in, by the removal of one of
// them, and one that wants more than all must remove nobody.
func TestCrowd(t *testing.T) {
	const crowd, head, ordinary = 100, 64 << 10, 40 << 10
	q := quota.New[int](crowd*head, 2*crowd)
	for i := range crowd {
		removed, granted := q.Open(now.Add(time.Duration(i)), i, "callers", head)
		qt.Assert(t, granted, qt.IsTrue)
		qt.Assert(t, removed, qt.HasLen, 0)
		q.SetPhase(now.Add(time.Duration(i)), i, evict.Reading)
	}
	later := now.Add(time.Second)
	removed, granted := q.Open(later, crowd, "callers", ordinary)
	qt.Assert(t, granted, qt.IsTrue)
	qt.Assert(t, removed, qt.DeepEquals, []int{0})
	removed, granted = q.Reserve(later, crowd, 2*crowd*head)
	qt.Assert(t, granted, qt.IsFalse)
	qt.Assert(t, removed, qt.HasLen, 0)
	used, count := q.Used()
	qt.Assert(t, used, qt.Equals, int64((crowd-1)*head+ordinary))
	qt.Assert(t, count, qt.Equals, crowd)
}

// TestBounds checks that neither bytes nor holders exceed the quota whatever happens, and that all is returned at the
// end.
func TestBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const bytes, count, keys = 1000, 5, 12
		q := quota.New[int](bytes, count)
		held := map[int]int64{}
		at := now
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			at = at.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			key := rapid.IntRange(0, keys-1).Draw(t, "key")
			size := int64(rapid.IntRange(0, 1200).Draw(t, "size"))
			_, open := held[key]
			var removed []int
			switch action := rapid.IntRange(0, 5).Draw(t, "action"); {
			case !open:
				var granted bool
				if removed, granted = q.Open(at, key, "port", size); granted {
					held[key] = size
				}
			case action == 0:
				q.Close(key)
				delete(held, key)
			case action == 1:
				q.SetPhase(at, key, evict.Phase(rapid.IntRange(0, 2).Draw(t, "phase")))
			case action == 2:
				part := min(size, held[key])
				q.Release(key, part)
				held[key] -= part
			case action == 3:
				if q.TryReserve(key, size) {
					held[key] += size
				}
			default:
				var granted bool
				if removed, granted = q.Reserve(at, key, size); granted {
					held[key] += size
				}
			}
			var sum int64
			for _, victim := range removed {
				delete(held, victim)
			}
			for _, size := range held {
				sum += size
			}
			used, holders := q.Used()
			if used != sum || holders != len(held) || used > bytes || holders > count {
				t.Fatalf("used %d of %d by %d; expected %d by %d", used, bytes, holders, sum, len(held))
			}
		}
	})
}
