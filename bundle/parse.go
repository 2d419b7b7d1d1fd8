package bundle

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"

	"github.com/jacinththread/jacinththread/finding"
	"github.com/jacinththread/jacinththread/jsonc"
)

// Parse decodes and validates a bundle in JSON with comments. It reports all
// findings at once. A bundle with findings must not be put in force. The
// returned bundle is never nil.
func Parse(file string, data []byte) (*Bundle, finding.List) {
	b := &Bundle{}
	doc, findings := jsonc.Decode(file, data, b)
	if len(findings) > 0 && !doc.Has("") {
		return b, findings
	}
	return b, findings.Merge(check(doc, b))
}

// Canonical returns the encoding that Digest hashes. It does not depend on
// comments, whitespace or the order of fields in the source text.
func Canonical(b *Bundle) ([]byte, error) {
	return json.Marshal(normalized(b))
}

// Digest returns the SHA-256 of the canonical encoding, in hex.
func Digest(b *Bundle) (string, error) {
	data, err := Canonical(b)
	if err != nil {
		return "", err
	}
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:]), nil
}

// normalized returns a copy in which absent lists are empty, so that both have
// the same encoding.
func normalized(b *Bundle) *Bundle {
	n := *b
	n.Classes = nonNilCopy(b.Classes)
	n.Customers = nonNilCopy(b.Customers)
	for i := range n.Customers {
		n.Customers[i].TokenDigests = nonNilCopy(n.Customers[i].TokenDigests)
		n.Customers[i].Classes = nonNilCopy(n.Customers[i].Classes)
	}
	n.Owners = nonNilCopy(b.Owners)
	for i := range n.Owners {
		n.Owners[i].Servers = nonNilCopy(n.Owners[i].Servers)
	}
	n.Services = nonNilCopy(b.Services)
	for i := range n.Services {
		n.Services[i].SafeMethods = nonNilCopy(n.Services[i].SafeMethods)
	}
	n.Pools = nonNilCopy(b.Pools)
	for i := range n.Pools {
		n.Pools[i].Models = nonNilCopy(n.Pools[i].Models)
		n.Pools[i].Servers = nonNilCopy(n.Pools[i].Servers)
	}
	n.Operators = nonNilCopy(b.Operators)
	for i := range n.Operators {
		n.Operators[i].TokenDigests = nonNilCopy(n.Operators[i].TokenDigests)
	}
	return &n
}

// nonNilCopy returns a copy of s, empty instead of nil.
func nonNilCopy[T any](s []T) []T {
	return append([]T{}, s...)
}
