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

// Entry is an address that callers may use.
type Entry struct {
	Name   string `json:"name"`
	Addr   string `json:"addr"`
	Domain string `json:"domain"`
}

// Entries is the answer to GET /v1/entries.
type Entries struct {
	Entries []Entry `json:"entries"`
	// TTLMs is how long the answer may be kept, in milliseconds.
	TTLMs int64 `json:"ttl_ms"`
}

// Directory knows which addresses to use. It keeps an answer as long as the
// answer allows and is safe for concurrent use.
type Directory struct {
	http *http.Client
	// urls are the base addresses asked for entries.
	urls []string
	// spread makes successive requests start at different addresses.
	spread bool

	mu      sync.Mutex
	entries []Entry
	expires time.Time
	next    int
}

// NewDirectory returns a directory that asks the given base addresses, such
// as http://10.0.0.1:80, in their order. With spread, successive requests
// start at different entries, as requests of many callers would.
func NewDirectory(hc *http.Client, urls []string, spread bool) *Directory {
	return &Directory{http: hc, urls: urls, spread: spread}
}

// Ask returns the entries from the first base address that answers.
func (d *Directory) Ask(ctx context.Context) (*Entries, error) {
	var last error
	for _, base := range d.urls {
		entries, err := d.askOne(ctx, base)
		if err == nil {
			return entries, nil
		}
		if !notConnected(err) {
			return nil, trace.Wrap(err)
		}
		last = err
	}
	return nil, &UnreachableError{Addrs: d.urls, Err: last}
}

func (d *Directory) askOne(ctx context.Context, base string) (*Entries, error) {
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
		return nil, refusal(res)
	}
	var entries Entries
	if err := json.NewDecoder(res.Body).Decode(&entries); err != nil {
		return nil, err
	}
	if len(entries.Entries) == 0 {
		return nil, errors.New("answer of /v1/entries lists no entries")
	}
	return &entries, nil
}

// Addrs returns the addresses to try for one request, in order.
func (d *Directory) Addrs(ctx context.Context) ([]string, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.entries) == 0 || !time.Now().Before(d.expires) {
		answer, err := d.Ask(ctx)
		if err != nil {
			return nil, err
		}
		d.entries = answer.Entries
		d.expires = time.Now().Add(time.Duration(answer.TTLMs) * time.Millisecond)
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

// Failed drops an address that could not be connected to until the directory
// asks again.
func (d *Directory) Failed(addr string) {
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
