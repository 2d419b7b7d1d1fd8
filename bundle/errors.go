package bundle

import (
	"errors"
	"fmt"

	"github.com/jacinththread/jacinththread/store"
)

// Errors of the store protocol.
var (
	ErrNoVersion       = errors.New("no bundle version is in force yet")
	ErrVersionNotFound = errors.New("bundle version does not exist")
	ErrHistoryPruned   = errors.New("versions that would tell what became of the change are no longer kept")
	ErrChangeNotFound  = errors.New("change does not exist")
	ErrChangeIDTaken   = errors.New("change id is used by another proposal")
	ErrBadChangeID     = errors.New("change id is not 1 to 100 letters, digits, dots, dashes or underscores")
	ErrLongNote        = fmt.Errorf("note is longer than %d bytes", maxNoteBytes)
	ErrOwnChange       = errors.New("a change must be approved by another operator than its proposer")
	ErrNotApproved     = errors.New("change is not approved")
	ErrNotAnOperator   = errors.New("token belongs to no operator")
)

// ConflictError tells that another change was rolled first.
type ConflictError struct {
	// Base is the version the refused change was made from.
	Base uint64
	// Winner is the version in force.
	Winner Pointer
}

// Error names the operator that won and the version.
func (e *ConflictError) Error() string {
	if e.Winner.Version == 0 {
		return fmt.Sprintf("change is based on version %d, but no version is in force", e.Base)
	}
	return fmt.Sprintf("change is based on version %d, but version %d (change %q) was rolled by %q",
		e.Base, e.Winner.Version, e.Winner.ChangeID, e.Winner.RolledBy)
}

// DigestError tells that content does not have the digest it should have.
type DigestError struct {
	Want, Got string
}

// Error gives both digests.
func (e *DigestError) Error() string {
	return fmt.Sprintf("content has the digest %s, not %s", e.Got, e.Want)
}

// SizeError tells that a bundle is too large for the store.
type SizeError struct {
	// Bytes is the size of the stored form, Compressed its size after gzip.
	Bytes, Compressed int
}

// Error gives the sizes and the limit.
func (e *SizeError) Error() string {
	return fmt.Sprintf("bundle takes %d bytes, %d compressed; the store's limit is %d",
		e.Bytes, e.Compressed, store.MaxValueBytes)
}
