package model

// eraShift is the number of bits of a revision below its era, and maxEra the highest era.
const (
	eraShift = 40
	maxEra   = 1<<(64-eraShift) - 1
)

// Revision orders published changes. Zero means that nothing has been published.
//
// The platform numbers its changes. When it comes back from an older copy of itself, numbers go back and are given out
// again, and a new era begins. A revision has the era in its upper bits, so that every change of a later era comes after all
// of an earlier one:
//
//	era 0: 1 2 3 4 5 6   the copy has 1 to 4, so 5 and 6 are lost
//	era 1: 5 6 7         other changes than those
type Revision uint64

// RevisionOf returns the revision of a change, or false if its number or its era is out of range.
func RevisionOf(era, number uint64) (Revision, bool) {
	if era > maxEra || number >= 1<<eraShift {
		return 0, false
	}
	return Revision(era<<eraShift | number), true
}

// Era returns how often the platform had come back from an older copy of itself.
func (r Revision) Era() uint64 { return uint64(r) >> eraShift }

// Number returns the number that the platform gave the change.
func (r Revision) Number() uint64 { return uint64(r) & (1<<eraShift - 1) }

// IsBeforeEraOf reports whether a later era had begun when the other change was published.
func (r Revision) IsBeforeEraOf(other Revision) bool { return r.Era() < other.Era() }
