package store

// Revision is the version number of a change. It increases with every change to any key of a
// store and is never reused.
//
// A store that came back from an older copy of its data numbers its changes anew, in a new era. A
// revision holds the era in its upper bits, so revisions of a later era are higher than all of an
// earlier one.
type Revision uint64

// numberBits is the number of lower bits of a Revision that hold the number within the era.
const numberBits = 48

// NewRevision returns the revision with a number within an era.
func NewRevision(era, number uint64) Revision {
	return Revision(era<<numberBits | number&(1<<numberBits-1))
}

// Era returns how many times the store had come back from an older copy.
func (r Revision) Era() uint64 { return uint64(r) >> numberBits }

// Number returns the number of the revision within its era.
func (r Revision) Number() uint64 { return uint64(r) & (1<<numberBits - 1) }
