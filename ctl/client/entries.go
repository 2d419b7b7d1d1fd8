package client

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/gravitational/trace"
)

// Entry is an entry daemon that callers may send requests to.
type Entry struct {
	Name   string `json:"name"`
	Addr   string `json:"addr"`
	Domain string `json:"domain"`
}

// Entries is the response to GET /v1/entries.
type Entries struct {
	Entries []Entry `json:"entries"`
	// TTLMs is how long the list may be cached, in milliseconds.
	TTLMs int64 `json:"ttl_ms"`
}

// Directory looks up the addresses of entry daemons and caches them for the TTL
// of the response. It is safe for concurrent use.
type Directory struct {
	http *http.Client
	// urls are the base URLs to request the entries from, tried in order.
	urls []string
	// spread rotates the order of the addresses from request to request.
	spread bool

	mu      sync.Mutex
	entries []Entry
	expires time.Time
	next    int
}

// NewDirectory returns a Directory that requests the entries from the given base
// URLs, such as http://10.0.0.1:80, in that order. With spread, successive
// requests start at different entries, as the requests of many callers would.
func NewDirectory(hc *http.Client, urls []string, spread bool) *Directory {
	return &Directory{http: hc, urls: urls, spread: spread}
}

// FetchEntries returns the entries from the first base URL that can be connected
// to. It bypasses the cache.
func (d *Directory) FetchEntries(ctx context.Context) (*Entries, error) {
	var last error
	for _, base := range d.urls {
		entries, err := d.entriesFrom(ctx, base)
		if err == nil {
			return entries, nil
		}
		if !isDialError(err) {
			return nil, trace.Wrap(err)
		}
		last = err
	}
	return nil, &UnreachableError{Addrs: d.urls, Err: last}
}

func (d *Directory) entriesFrom(ctx context.Context, base string) (*Entries, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, strings.TrimRight(base, "/")+"/v1/entries", nil)
	if err != nil {
		return nil, err
	}
	res, err := d.http.Do(req)
	if err != nil {
		return nil, err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return nil, errorFromResponse(res)
	}
	var entries Entries
	if err := json.NewDecoder(res.Body).Decode(&entries); err != nil {
		return nil, err
	}
	if len(entries.Entries) == 0 {
		return nil, errors.New("response of /v1/entries has no entries")
	}
	return &entries, nil
}

// Addrs returns the addresses to try for one request, in order.
func (d *Directory) Addrs(ctx context.Context) ([]string, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.entries) == 0 || !time.Now().Before(d.expires) {
		response, err := d.FetchEntries(ctx)
		if err != nil {
			return nil, err
		}
		d.entries = response.Entries
		d.expires = time.Now().Add(time.Duration(response.TTLMs) * time.Millisecond)
	}
	start := 0
	if d.spread {
		start = d.next
		d.next++
	}
	addrs := make([]string, len(d.entries))
	for i := range addrs {
		addrs[i] = d.entries[(start+i)%len(d.entries)].Addr
	}
	return addrs, nil
}

// Remove drops an address that could not be connected to from the cached
// entries. It is used again if the next refresh lists it.
func (d *Directory) Remove(addr string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var kept []Entry
	for _, e := range d.entries {
		if e.Addr != addr {
			kept = append(kept, e)
		}
	}
	d.entries = kept
}
