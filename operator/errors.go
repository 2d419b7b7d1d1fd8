package operator

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"

	"github.com/jacinththread/jacinththread/bundle"
	"github.com/jacinththread/jacinththread/finding"
	"github.com/jacinththread/jacinththread/store"
)

var (
	errPathNotFound     = errors.New("path does not exist")
	errMethodNotAllowed = errors.New("path does not take this method")
)

// badRequestError reports a malformed request.
type badRequestError struct {
	err error
}

// Error implements error.
func (e *badRequestError) Error() string { return e.err.Error() }

// errorBody is the JSON body of all error responses.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Code    string `json:"code"`
	Message string `json:"message"`
	// Findings lists the errors of a bundle.
	Findings finding.List `json:"findings,omitempty"`
	// Winner is the version in force, if another change was rolled first.
	Winner *bundle.Pointer `json:"winner,omitempty"`
}

// errorMapping maps a sentinel error to the status and code of the response.
type errorMapping struct {
	err    error
	status int
	code   string
}

// errorMappings is searched in order. ErrOutcomeUnknown precedes ErrUnavailable
// because an error may wrap both.
var errorMappings = []errorMapping{
	{errPathNotFound, http.StatusNotFound, "not_found"},
	{errMethodNotAllowed, http.StatusMethodNotAllowed, "method_not_allowed"},
	{bundle.ErrNotAnOperator, http.StatusUnauthorized, "unauthorized"},
	{bundle.ErrBadChangeID, http.StatusBadRequest, "bad_change_id"},
	{bundle.ErrNoteTooLong, http.StatusBadRequest, "note_too_long"},
	{bundle.ErrChangeNotFound, http.StatusNotFound, "change_not_found"},
	{bundle.ErrVersionNotFound, http.StatusNotFound, "version_not_found"},
	{bundle.ErrChangeIDTaken, http.StatusConflict, "change_id_taken"},
	{bundle.ErrNotApproved, http.StatusConflict, "not_approved"},
	{bundle.ErrSelfApproval, http.StatusForbidden, "own_change"},
	{bundle.ErrHistoryPruned, http.StatusGone, "history_pruned"},
	{bundle.ErrNoVersion, http.StatusServiceUnavailable, "no_version"},
	{store.ErrOutcomeUnknown, http.StatusServiceUnavailable, "outcome_unknown"},
	{store.ErrUnavailable, http.StatusServiceUnavailable, "store_unavailable"},
	{context.DeadlineExceeded, http.StatusServiceUnavailable, "store_unavailable"},
}

// errorResponse returns the HTTP status and the body for an error.
func errorResponse(err error) (int, errorDetail) {
	d := errorDetail{Message: err.Error()}
	var (
		bad      *badRequestError
		tooLarge *http.MaxBytesError
		found    *finding.Error
		conflict *bundle.ConflictError
		digest   *bundle.DigestError
		size     *bundle.SizeError
	)
	switch {
	case errors.As(err, &tooLarge):
		d.Code = "body_too_large"
		return http.StatusRequestEntityTooLarge, d
	case errors.As(err, &bad):
		d.Code = "bad_request"
		return http.StatusBadRequest, d
	case errors.As(err, &found):
		d.Code, d.Findings = "findings", found.Findings.Sorted()
		d.Message = "the bundle has findings"
		return http.StatusUnprocessableEntity, d
	case errors.As(err, &conflict):
		d.Code, d.Winner = "stale_base", &conflict.Winner
		return http.StatusConflict, d
	case errors.As(err, &digest):
		d.Code = "digest_mismatch"
		return http.StatusConflict, d
	case errors.As(err, &size):
		d.Code = "bundle_too_large"
		return http.StatusRequestEntityTooLarge, d
	}
	for _, k := range errorMappings {
		if errors.Is(err, k.err) {
			d.Code = k.code
			return k.status, d
		}
	}
	d.Code = "internal"
	return http.StatusInternalServerError, d
}

func (a *api) writeError(w http.ResponseWriter, r *http.Request, err error) {
	status, detail := errorResponse(err)
	if status == http.StatusInternalServerError {
		a.cfg.Log.Error("operator call failed", "path", r.URL.Path, "err", err)
	}
	if status == http.StatusUnauthorized {
		w.Header().Set("WWW-Authenticate", "Bearer")
	}
	writeJSON(w, status, errorBody{Error: detail})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "no-store")
	w.WriteHeader(status)
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	_ = e.Encode(body)
}
