package bundle

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"fmt"
	"io"
	"regexp"
	"strconv"
	"time"

	"github.com/gravitational/trace"

	"github.com/jacinththread/jacinththread/finding"
	"github.com/jacinththread/jacinththread/store"
)

// Store keys.
const (
	currentKey     = "bundle/current"
	versionPrefix  = "bundle/versions/"
	proposalPrefix = "bundle/proposals/"
)

// maxDecompressedBytes limits the size of a stored value after decompression.
const maxDecompressedBytes = 32 << 20

// gzipMagic starts every compressed value. No JSON text starts with it.
var gzipMagic = []byte{0x1f, 0x8b}

var changeIDRule = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,99}$`)

// Proposal is a change that operators review. Once stored, it is immutable
// except for its approval, which is added once.
type Proposal struct {
	ChangeID string `json:"change_id"`
	// Base is the version that was in force when the change was made; zero if
	// there was none.
	Base uint64 `json:"base"`
	// Digest is the digest of the parsed content.
	Digest     string    `json:"digest"`
	Note       string    `json:"note"`
	ProposedBy string    `json:"proposed_by"`
	ProposedAt time.Time `json:"proposed_at"`
	ApprovedBy string    `json:"approved_by,omitempty"`
	ApprovedAt time.Time `json:"approved_at,omitzero"`
	// Content is the bundle in JSON with comments.
	Content string `json:"content"`
}

// Record is one version. It is immutable once stored. Its existence does not
// mean that it was ever in force: that is so only if bundle/current has named it.
type Record struct {
	Version    uint64    `json:"version"`
	Base       uint64    `json:"base"`
	ChangeID   string    `json:"change_id"`
	Digest     string    `json:"digest"`
	Note       string    `json:"note"`
	ProposedBy string    `json:"proposed_by"`
	ApprovedBy string    `json:"approved_by"`
	RolledBy   string    `json:"rolled_by"`
	RolledAt   time.Time `json:"rolled_at"`
	Content    string    `json:"content"`
}

// Pointer is the value of bundle/current. It identifies the version in force.
type Pointer struct {
	Version  uint64 `json:"version"`
	Base     uint64 `json:"base"`
	ChangeID string `json:"change_id"`
	Digest   string `json:"digest"`
	RolledBy string `json:"rolled_by"`
}

func (r *Record) pointer() Pointer {
	return Pointer{Version: r.Version, Base: r.Base, ChangeID: r.ChangeID, Digest: r.Digest, RolledBy: r.RolledBy}
}

// Activate parses and validates the content and returns it indexed for lookups.
func (r *Record) Activate() (*Active, error) {
	b, err := parseContent(r.Content, r.Digest)
	if err != nil {
		return nil, trace.Wrap(err, "bundle version %d", r.Version)
	}
	return NewActive(r.Version, b), nil
}

// parseContent parses and validates content and verifies its digest.
func parseContent(content, digest string) (*Bundle, error) {
	b, findings := Parse("bundle", []byte(content))
	if err := findings.Err(); err != nil {
		return nil, err
	}
	got, err := Digest(b)
	if err != nil {
		return nil, err
	}
	if got != digest {
		return nil, &DigestError{Want: digest, Got: got}
	}
	return b, nil
}

// Findings validates the content of the proposal.
func (p *Proposal) Findings() finding.List {
	_, findings := Parse(p.ChangeID, []byte(p.Content))
	return findings
}

func versionKey(n uint64) string { return versionPrefix + strconv.FormatUint(n, 10) }

func proposalKey(id string) string { return proposalPrefix + id }

// encodeValue returns v in JSON, compressed if the plain text exceeds the
// store's limit.
func encodeValue(v any) ([]byte, error) {
	plain, err := json.Marshal(v)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if len(plain) <= store.MaxValueBytes {
		return plain, nil
	}
	packed, err := compress(plain)
	if err != nil {
		return nil, err
	}
	if len(packed) > store.MaxValueBytes || len(plain) > maxDecompressedBytes {
		return nil, &SizeError{Bytes: len(plain), Compressed: len(packed)}
	}
	return packed, nil
}

func decodeValue(data []byte, v any) error {
	if bytes.HasPrefix(data, gzipMagic) {
		plain, err := decompress(data)
		if err != nil {
			return err
		}
		data = plain
	}
	return trace.Wrap(json.Unmarshal(data, v))
}

func compress(plain []byte) ([]byte, error) {
	var buf bytes.Buffer
	w := gzip.NewWriter(&buf)
	if _, err := w.Write(plain); err != nil {
		return nil, trace.Wrap(err)
	}
	if err := w.Close(); err != nil {
		return nil, trace.Wrap(err)
	}
	return buf.Bytes(), nil
}

func decompress(packed []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	plain, err := io.ReadAll(io.LimitReader(r, maxDecompressedBytes+1))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if len(plain) > maxDecompressedBytes {
		return nil, fmt.Errorf("value expands to more than %d bytes", maxDecompressedBytes)
	}
	return plain, nil
}
