package bundle

import (
	"errors"
	"fmt"

	"github.com/jacinththread/jacinththread/store"
)

// Errors of the operations on proposals and versions.
var (
	ErrNoVersion       = errors.New("no bundle version is in force yet")
	ErrVersionNotFound = errors.New("bundle version does not exist")
	ErrHistoryPruned   = errors.New("versions that would tell what became of the change are no longer kept")
	ErrChangeNotFound  = errors.New("change does not exist")
	ErrChangeIDTaken   = errors.New("change id is used by another proposal")
	ErrBadChangeID     = errors.New("change id is not 1 to 100 letters, digits, dots, dashes or underscores")
	ErrNoteTooLong     = fmt.Errorf("note is longer than %d bytes", maxNoteBytes)
	ErrSelfApproval    = errors.New("a change must be approved by another operator than its proposer")
	ErrNotApproved     = errors.New("change is not approved")
	ErrNotAnOperator   = errors.New("token belongs to no operator")
)

// ConflictError reports that the base of a change is no longer the version in
// force, usually because another change was rolled first.
type ConflictError struct {
	// Base is the version that the rejected change was made from.
	Base uint64
	// Winner is the version in force.
	Winner Pointer
}

// Error names both versions and, if a version is in force, the change and the
// operator that rolled it.
func (e *ConflictError) Error() string {
	if e.Winner.Version == 0 {
		return fmt.Sprintf("change is based on version %d, but no version is in force", e.Base)
	}
	return fmt.Sprintf("change is based on version %d, but version %d (change %q) was rolled by %q",
		e.Base, e.Winner.Version, e.Winner.ChangeID, e.Winner.RolledBy)
}

// DigestError reports content whose digest is not the expected one.
type DigestError struct {
	Want, Got string
}

// Error names both digests.
func (e *DigestError) Error() string {
	return fmt.Sprintf("content has the digest %s, not %s", e.Got, e.Want)
}

// SizeError reports a bundle that is too large for the store.
type SizeError struct {
	// Bytes is the uncompressed size, Compressed the size after gzip.
	Bytes, Compressed int
}

// Error names both sizes and the store's limit.
func (e *SizeError) Error() string {
	return fmt.Sprintf("bundle takes %d bytes, %d compressed; the store's limit is %d",
		e.Bytes, e.Compressed, store.MaxValueBytes)
}
