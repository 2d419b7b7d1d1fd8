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
	// maxAdminBytes bounds the body of an admin call.
	maxAdminBytes = 16 << 20
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
	tag, err := tagOf(hosts)
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

// tagOf returns the entity tag of a host list.
func tagOf(hosts []store.Host) (string, error) {
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
		writeRefusal(w, http.StatusBadRequest, "bad_request", "after is not a revision")
		return
	}
	waitMs, err := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	if err != nil || waitMs < 0 {
		writeRefusal(w, http.StatusBadRequest, "bad_request", "wait_ms is not a number of milliseconds")
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
		writeRefusal(w, http.StatusBadRequest, "bad_request", "body was not received whole")
		return
	}
	if r.Header.Get("If-None-Match") == "*" {
		rev, err := s.store.Create(detached(r), key, value)
		writeRevision(w, http.StatusCreated, rev, err)
		return
	}
	rev, ok := expected(w, r)
	if !ok {
		return
	}
	rev, err = s.store.CompareAndSwap(detached(r), key, rev, value)
	writeRevision(w, http.StatusOK, rev, err)
}

func (s *Standin) delete(w http.ResponseWriter, r *http.Request) {
	key, ok := keyOf(w, r)
	if !ok {
		return
	}
	rev, ok := expected(w, r)
	if !ok {
		return
	}
	err := s.store.Delete(detached(r), key, rev)
	writeRevision(w, http.StatusOK, rev, err)
}

func (s *Standin) adminHosts(w http.ResponseWriter, r *http.Request) {
	var hosts []store.Host
	if readAdmin(w, r, &hosts) {
		s.SetHosts(hosts)
		w.WriteHeader(http.StatusNoContent)
	}
}

func (s *Standin) adminFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if readAdmin(w, r, &f) {
		s.SetFaults(f)
		w.WriteHeader(http.StatusNoContent)
	}
}

func readAdmin(w http.ResponseWriter, r *http.Request, v any) bool {
	d := json.NewDecoder(io.LimitReader(r.Body, maxAdminBytes))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		writeRefusal(w, http.StatusBadRequest, "bad_request", err.Error())
		return false
	}
	return true
}

// detached returns a context that outlives the client's connection: a write
// that was received takes effect.
func detached(r *http.Request) context.Context {
	return context.WithoutCancel(r.Context())
}

func keyOf(w http.ResponseWriter, r *http.Request) (string, bool) {
	key, err := url.PathUnescape(mux.Vars(r)["key"])
	if err != nil {
		writeRefusal(w, http.StatusBadRequest, "bad_request", "key is not escaped correctly")
		return "", false
	}
	return key, true
}

func expected(w http.ResponseWriter, r *http.Request) (store.Revision, bool) {
	tag := strings.Trim(r.Header.Get("If-Match"), `"`)
	rev, err := strconv.ParseUint(tag, 10, 64)
	if err != nil {
		writeRefusal(w, http.StatusPreconditionRequired, "bad_request", "If-Match with a revision is required")
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
		// Breaks the connection, as a lost reply does.
		panic(http.ErrAbortHandler)
	case errors.Is(err, store.ErrNotFound):
		writeRefusal(w, http.StatusNotFound, "not_found", err.Error())
	case errors.Is(err, store.ErrExists), errors.Is(err, store.ErrConflict):
		writeRefusal(w, http.StatusPreconditionFailed, "conflict", err.Error())
	case errors.Is(err, store.ErrTooLarge):
		writeRefusal(w, http.StatusRequestEntityTooLarge, "too_large", err.Error())
	default:
		writeRefusal(w, http.StatusServiceUnavailable, "unavailable", err.Error())
	}
}

// refusal is the body of every answer that is not a success.
type refusal struct {
	Error refusalError `json:"error"`
}

type refusalError struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}

func writeRefusal(w http.ResponseWriter, status int, code, message string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(refusal{Error: refusalError{Code: code, Message: message}})
}
