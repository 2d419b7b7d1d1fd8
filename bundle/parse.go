package bundle

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"

	"github.com/jacinththread/jacinththread/finding"
	"github.com/jacinththread/jacinththread/jsonc"
)

// Parse decodes and checks a bundle in JSON with comments. All findings are
// returned together; with findings, the bundle must not be put in force. The
// bundle is never nil.
func Parse(file string, data []byte) (*Bundle, finding.List) {
	b := &Bundle{}
	doc, findings := jsonc.Decode(file, data, b)
	if len(findings) > 0 && !doc.Has("") {
		return b, findings
	}
	return b, findings.Merge(check(doc, b))
}

// Canonical returns the encoding that Digest is taken of. It does not depend
// on comments, layout or the order of fields.
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

// normalized returns a copy in which absent and empty lists are the same.
func normalized(b *Bundle) *Bundle {
	n := *b
	n.Classes = list(b.Classes)
	n.Customers = list(b.Customers)
	for i := range n.Customers {
		n.Customers[i].TokenDigests = list(n.Customers[i].TokenDigests)
		n.Customers[i].Classes = list(n.Customers[i].Classes)
	}
	n.Owners = list(b.Owners)
	for i := range n.Owners {
		n.Owners[i].Servers = list(n.Owners[i].Servers)
	}
	n.Services = list(b.Services)
	for i := range n.Services {
		n.Services[i].SafeMethods = list(n.Services[i].SafeMethods)
	}
	n.Pools = list(b.Pools)
	for i := range n.Pools {
		n.Pools[i].Models = list(n.Pools[i].Models)
		n.Pools[i].Servers = list(n.Pools[i].Servers)
	}
	n.Operators = list(b.Operators)
	for i := range n.Operators {
		n.Operators[i].TokenDigests = list(n.Operators[i].TokenDigests)
	}
	return &n
}

// list returns a copy that is not nil.
func list[T any](s []T) []T {
	return append([]T{}, s...)
}
