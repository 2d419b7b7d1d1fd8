package store

// Revision is the version number of a change. It increases with every change to any key of a
// store and is never reused.
//
// A store that came back from an older copy of its data numbers its changes anew, in a new epoch. A
// revision holds the epoch in its upper bits, so revisions of a later epoch are higher than all of an
// earlier one.
type Revision uint64

const (
	// EpochBits is the number of upper bits of a Revision that hold the epoch, numberBits
	// that of the lower bits, which hold the number within the epoch.
	EpochBits  = 16
	numberBits = 64 - EpochBits
)

// NewRevision returns the revision with a number within an epoch.
func NewRevision(epoch, number uint64) Revision {
	return Revision(epoch<<numberBits | number&(1<<numberBits-1))
}

// Epoch returns how many times the store had come back from an older copy.
func (r Revision) Epoch() uint64 { return uint64(r) >> numberBits }

// Number returns the number of the revision within its epoch.
func (r Revision) Number() uint64 { return uint64(r) & (1<<numberBits - 1) }
