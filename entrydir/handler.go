package entrydir

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/jacinththread/jacinththread/membership"
)

// Limits of a request and its response.
const (
	// MaxCount is the largest number of addresses in a response.
	MaxCount = 16
	// DefaultCount is the number of addresses in a response if none is set.
	DefaultCount = 3
	// maxDomainBytes is the maximum length of the domain parameter.
	maxDomainBytes = 128
)

// Directory is an http.Handler that returns the addresses of daemons to connect
// to. It is safe for concurrent use.
type Directory struct {
	view  membership.View
	count int
	ttl   time.Duration

	mu  sync.Mutex
	rng *rand.Rand
}

// response is the JSON body of a successful response.
type response struct {
	Entries []Entry `json:"entries"`
	// TTLMs is how long the caller may cache the response, in milliseconds.
	TTLMs int64 `json:"ttl_ms"`
}

// New returns a directory whose responses have count addresses, at most MaxCount,
// and may be cached for ttl. A count of zero or less means DefaultCount.
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

// Entries returns the addresses for a caller in the given failure domain, which
// may be empty or unknown.
func (d *Directory) Entries(domain string) []Entry {
	daemons := d.view.Daemons()
	d.mu.Lock()
	defer d.mu.Unlock()
	return Order(daemons, domain, d.count, d.rng)
}

// ServeHTTP serves GET /v1/entries?domain=NAME.
func (d *Directory) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	domain := r.URL.Query().Get("domain")
	if len(domain) > maxDomainBytes {
		http.Error(w, `{"error":{"code":"bad_domain","message":"domain is too long"}}`, http.StatusBadRequest)
		return
	}
	body, err := json.Marshal(response{Entries: d.Entries(domain), TTLMs: d.ttl.Milliseconds()})
	if err != nil {
		http.Error(w, `{"error":{"code":"internal","message":"answer was not encoded"}}`, http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "no-store")
	// A write error means that the caller has disconnected.
	_, _ = w.Write(append(body, '\n'))
}
