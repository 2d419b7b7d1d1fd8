package httpstore

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sync"

	"github.com/jacinththread/jacinththread/store"
)

// hostsCache holds the last host list and its entity tag, so that an unchanged
// list is not transferred again.
type hostsCache struct {
	mu    sync.Mutex
	tag   string
	hosts []store.Host
}

// condition returns the header that requests the list only if it has changed.
func (h *hostsCache) condition() condition {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.tag == "" {
		return condition{}
	}
	return condition{header: "If-None-Match", value: h.tag}
}

// update stores the list of a response and returns it. For a response with
// status 304 it returns the cached list.
func (h *hostsCache) update(r response) ([]store.Host, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if r.Status != http.StatusNotModified {
		var hosts []store.Host
		if err := json.Unmarshal(r.Body, &hosts); err != nil {
			return nil, fmt.Errorf("%w: malformed response: %w", store.ErrUnavailable, err)
		}
		h.tag, h.hosts = r.Header.Get("ETag"), hosts
	}
	return slices.Clone(h.hosts), nil
}

// Hosts implements store.HostList. It returns the cached list if the entity tag
// has not changed.
func (c *Client) Hosts(ctx context.Context) ([]store.Host, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	r, err := c.readIf(ctx, c.base.JoinPath("v1", "hosts"), c.lastHosts.condition())
	if err != nil {
		return nil, err
	}
	hosts, err := c.lastHosts.update(r)
	if err != nil {
		c.failures.Inc(1)
	}
	return hosts, err
}
