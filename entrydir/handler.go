package entrydir

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/jacinththread/jacinththread/membership"
)

// Bounds of an answer.
const (
	// MaxCount is the largest number of addresses in an answer.
	MaxCount = 16
	// DefaultCount is the number of addresses if none is set.
	DefaultCount = 3
	// maxDomainBytes bounds the domain in a query.
	maxDomainBytes = 128
)

// Directory answers callers that ask which daemons to connect to. It is an
// http.Handler.
type Directory struct {
	view  membership.View
	count int
	ttl   time.Duration

	mu  sync.Mutex
	rng *rand.Rand
}

// answer is the body of an entry answer.
type answer struct {
	Entries []Entry `json:"entries"`
	// TTLMs is how long the caller may keep the answer, in milliseconds.
	TTLMs int64 `json:"ttl_ms"`
}

// New returns a directory that gives count addresses to keep for ttl.
func New(view membership.View, count int, ttl time.Duration) *Directory {
	if count <= 0 {
		count = DefaultCount
	}
	return &Directory{
		view:  view,
		count: min(count, MaxCount),
		ttl:   ttl,
		rng:   rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
}

// Entries returns the addresses for a caller in a failure domain, which may be
// empty or unknown.
func (d *Directory) Entries(domain string) []Entry {
	daemons := d.view.Daemons()
	d.mu.Lock()
	defer d.mu.Unlock()
	return Order(daemons, domain, d.count, d.rng)
}

// ServeHTTP answers GET /v1/entries?domain=NAME.
func (d *Directory) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	domain := r.URL.Query().Get("domain")
	if len(domain) > maxDomainBytes {
		http.Error(w, `{"error":{"code":"bad_domain","message":"domain is too long"}}`, http.StatusBadRequest)
		return
	}
	body, err := json.Marshal(answer{Entries: d.Entries(domain), TTLMs: d.ttl.Milliseconds()})
	if err != nil {
		http.Error(w, `{"error":{"code":"internal","message":"answer was not encoded"}}`, http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "no-store")
	// The caller is gone if this fails.
	_, _ = w.Write(append(body, '\n'))
}
