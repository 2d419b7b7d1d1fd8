package quarantine

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/jacinththread/jacinththread/backend"
)

// Kind is what requests with the same subject have in common.
type Kind uint8

// Kinds of subjects.
const (
	// PromptPart is a part of the prompt. Its hash is that of the part's ID.
	PromptPart Kind = 1
	// WholeRequest is all that decides what a request does: customer, target and body. See
	// RequestSubject.
	WholeRequest Kind = 2
)

// Subject is something that requests have in common and that may crash servers.
type Subject struct {
	Kind Kind
	Hash uint64
}

// RequestSubject returns the subject of requests with the same customer, target (path and query) and body.
func RequestSubject(customer, target string, body []byte) Subject {
	var d xxhash.Digest
	d.Reset()
	for _, s := range []string{customer, target} {
		d.WriteString(s)
		d.Write([]byte{0})
	}
	d.Write(body)
	return Subject{Kind: WholeRequest, Hash: d.Sum64()}
}

// String returns the subject's kind and hash for logs.
func (s Subject) String() string { return fmt.Sprintf("%d/%016x", s.Kind, s.Hash) }

// Software is the software of a backend server.
type Software struct {
	Service string
	Version string
}

// SoftwareOf returns the software of a server.
func SoftwareOf(s *backend.Server) Software { return Software{Service: s.Service, Version: s.Version} }

// Request is what decides whether a request is withheld.
type Request struct {
	// Subjects are those of the request. Only the first maxSubjects count.
	Subjects []Subject
	// Customer is the name of the caller's customer, or empty.
	Customer string
}

// maxSubjects bounds the subjects of one request that are recorded.
const maxSubjects = 64

func (r *Request) subjects() []Subject { return r.Subjects[:min(maxSubjects, len(r.Subjects))] }

// processTime is the time within which crashes of one server without a known start are the same.
const processTime = 2 * time.Second

// NewCrash returns the crash of a server whose processes have no identity. Two crashes of such a server
// are told apart by their times.
func NewCrash(server string, s Software, customer string, at time.Time) Crash {
	return Crash{Server: backend.Instance{ID: server}, Software: s, Customer: customer, At: at}
}

// same reports whether two crashes are of the same process.
func (c Crash) same(other Crash) bool {
	if c.Server != other.Server {
		return false
	}
	return c.Server.Started != 0 || c.At.Sub(other.At).Abs() < processTime
}

// Crash is the end of a server's process before it had answered a request.
type Crash struct {
	Server   backend.Instance
	Software Software
	// Customer is the customer of the request.
	Customer string
	At       time.Time
	// Answered is set once the software has answered another request with the same subject. The
	// crash then has another cause.
	Answered bool
}
