package standinplatform

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gorilla/mux"

	"github.com/jacinththread/jacinththread/store"
)

const (
	maxWatchWait = time.Minute
	// maxAdminBodyBytes limits the size of the body of an admin request.
	maxAdminBodyBytes = 16 << 20
)

func (s *Standin) list(w http.ResponseWriter, r *http.Request) {
	entries, err := s.store.List(r.Context(), r.URL.Query().Get("prefix"))
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, entries)
}

func (s *Standin) hosts(w http.ResponseWriter, r *http.Request) {
	hosts, err := s.store.Hosts(r.Context())
	if err != nil {
		writeError(w, err)
		return
	}
	if hosts == nil {
		hosts = []store.Host{}
	}
	tag, err := etagOf(hosts)
	if err != nil {
		writeError(w, err)
		return
	}
	w.Header().Set("ETag", tag)
	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	writeJSON(w, hosts)
}

// etagOf returns the entity tag of a host list.
func etagOf(hosts []store.Host) (string, error) {
	body, err := json.Marshal(hosts)
	if err != nil {
		return "", err
	}
	return strconv.Quote(strconv.FormatUint(xxhash.Sum64(body), 16)), nil
}

func (s *Standin) get(w http.ResponseWriter, r *http.Request) {
	key, ok := keyOf(w, r)
	if !ok {
		return
	}
	if r.URL.Query().Has("after") {
		s.watch(w, r, key)
		return
	}
	e, err := s.store.Get(r.Context(), key)
	if err != nil {
		writeError(w, err)
		return
	}
	writeEntry(w, e)
}

func (s *Standin) watch(w http.ResponseWriter, r *http.Request, key string) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		writeErrorResponse(w, http.StatusBadRequest, "bad_request", "after is not a revision")
		return
	}
	waitMs, err := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	if err != nil || waitMs < 0 {
		writeErrorResponse(w, http.StatusBadRequest, "bad_request", "wait_ms is not a number of milliseconds")
		return
	}
	wait := min(time.Duration(waitMs)*time.Millisecond, maxWatchWait)
	ctx, cancel := context.WithTimeout(r.Context(), wait)
	defer cancel()
	e, err := s.store.Watch(ctx, key, store.Revision(after))
	switch {
	case errors.Is(err, context.DeadlineExceeded):
		w.WriteHeader(http.StatusNotModified)
	case err != nil:
		writeError(w, err)
	default:
		writeEntry(w, e)
	}
}

func (s *Standin) put(w http.ResponseWriter, r *http.Request) {
	key, ok := keyOf(w, r)
	if !ok {
		return
	}
	value, err := io.ReadAll(io.LimitReader(r.Body, store.MaxValueBytes+1))
	if err != nil {
		writeErrorResponse(w, http.StatusBadRequest, "bad_request", "body was not received whole")
		return
	}
	if r.Header.Get("If-None-Match") == "*" {
		rev, err := s.store.Create(detachedContext(r), key, value)
		writeRevision(w, http.StatusCreated, rev, err)
		return
	}
	rev, ok := expectedRevision(w, r)
	if !ok {
		return
	}
	rev, err = s.store.CompareAndSwap(detachedContext(r), key, rev, value)
	writeRevision(w, http.StatusOK, rev, err)
}

func (s *Standin) delete(w http.ResponseWriter, r *http.Request) {
	key, ok := keyOf(w, r)
	if !ok {
		return
	}
	rev, ok := expectedRevision(w, r)
	if !ok {
		return
	}
	err := s.store.Delete(detachedContext(r), key, rev)
	writeRevision(w, http.StatusOK, rev, err)
}

func (s *Standin) adminHosts(w http.ResponseWriter, r *http.Request) {
	var hosts []store.Host
	if decodeAdminBody(w, r, &hosts) {
		s.SetHosts(hosts)
		w.WriteHeader(http.StatusNoContent)
	}
}

func (s *Standin) adminFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if decodeAdminBody(w, r, &f) {
		s.SetFaults(f)
		w.WriteHeader(http.StatusNoContent)
	}
}

func decodeAdminBody(w http.ResponseWriter, r *http.Request, v any) bool {
	d := json.NewDecoder(io.LimitReader(r.Body, maxAdminBodyBytes))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		writeErrorResponse(w, http.StatusBadRequest, "bad_request", err.Error())
		return false
	}
	return true
}

// detachedContext returns a context that is not canceled when the client
// disconnects: a write that was received completely takes effect.
func detachedContext(r *http.Request) context.Context {
	return context.WithoutCancel(r.Context())
}

func keyOf(w http.ResponseWriter, r *http.Request) (string, bool) {
	key, err := url.PathUnescape(mux.Vars(r)["key"])
	if err != nil {
		writeErrorResponse(w, http.StatusBadRequest, "bad_request", "key is not escaped correctly")
		return "", false
	}
	return key, true
}

func expectedRevision(w http.ResponseWriter, r *http.Request) (store.Revision, bool) {
	tag := strings.Trim(r.Header.Get("If-Match"), `"`)
	rev, err := strconv.ParseUint(tag, 10, 64)
	if err != nil {
		writeErrorResponse(w, http.StatusPreconditionRequired, "bad_request", "If-Match with a revision is required")
		return 0, false
	}
	return store.Revision(rev), true
}

func writeEntry(w http.ResponseWriter, e store.Entry) {
	w.Header().Set("ETag", strconv.Quote(strconv.FormatUint(uint64(e.Revision), 10)))
	w.Header().Set("Content-Type", "application/octet-stream")
	if e.Deleted {
		w.Header().Set("Store-Deleted", "true")
	}
	_, _ = w.Write(e.Value)
}

func writeRevision(w http.ResponseWriter, status int, rev store.Revision, err error) {
	if err != nil {
		writeError(w, err)
		return
	}
	w.Header().Set("ETag", strconv.Quote(strconv.FormatUint(uint64(rev), 10)))
	w.WriteHeader(status)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func writeError(w http.ResponseWriter, err error) {
	switch {
	case errors.Is(err, store.ErrOutcomeUnknown):
		// Closes the connection without a response, so that the client cannot know
		// whether the write took effect.
		panic(http.ErrAbortHandler)
	case errors.Is(err, store.ErrNotFound):
		writeErrorResponse(w, http.StatusNotFound, "not_found", err.Error())
	case errors.Is(err, store.ErrExists), errors.Is(err, store.ErrConflict):
		writeErrorResponse(w, http.StatusPreconditionFailed, "conflict", err.Error())
	case errors.Is(err, store.ErrTooLarge):
		writeErrorResponse(w, http.StatusRequestEntityTooLarge, "too_large", err.Error())
	default:
		writeErrorResponse(w, http.StatusServiceUnavailable, "unavailable", err.Error())
	}
}

// errorResponse is the body of every error response.
type errorResponse struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}

func writeErrorResponse(w http.ResponseWriter, status int, code, message string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(errorResponse{Error: errorDetail{Code: code, Message: message}})
}
