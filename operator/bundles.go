package operator

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"

	"github.com/gorilla/mux"

	"github.com/jacinththread/jacinththread/bundle"
	"github.com/jacinththread/jacinththread/finding"
	"github.com/jacinththread/jacinththread/operator/operatorapi"
)

// proposeRequest is the request body of a proposal.
type proposeRequest struct {
	ChangeID string `json:"change_id"`
	Base     uint64 `json:"base"`
	Content  string `json:"content"`
	Note     string `json:"note"`
}

func (a *api) propose(r *http.Request) (response, error) {
	if bearerToken(r) == "" {
		return response{}, bundle.ErrNotAnOperator
	}
	// The body is read only after authorization, except for the first version,
	// whose operators are defined in the body.
	o, err := a.authorizeWrite(r)
	if err != nil && !errors.Is(err, bundle.ErrNoVersion) {
		return response{}, err
	}
	var in proposeRequest
	if err := readJSON(r, &in); err != nil {
		return response{}, err
	}
	if o == nil {
		o, err = a.authorizeFirstVersion(r, in.Content)
	}
	if err != nil {
		return response{}, err
	}
	change := bundle.Change{ID: in.ChangeID, Base: in.Base, Content: in.Content, Note: in.Note}
	p, err := a.store.Propose(r.Context(), change, o.Name)
	if err != nil {
		return response{}, err
	}
	a.cfg.Log.Info("bundle change proposed", "change_id", p.ChangeID, "operator", o.Name, "digest", p.Digest)
	out := operatorapi.Proposed{ChangeID: p.ChangeID, Digest: p.Digest, Findings: finding.List{}}
	return response{status: http.StatusCreated, body: out}, nil
}

func (a *api) review(r *http.Request) (response, error) {
	change := mux.Vars(r)["change"]
	if _, err := a.authorizeChange(r, change); err != nil {
		return response{}, err
	}
	review, err := a.store.Review(r.Context(), change)
	if err != nil {
		return response{}, err
	}
	out := operatorapi.Review{Proposal: *review.Proposal, Findings: finding.List{}, Current: review.Current, Diff: review.Diff}
	out.Findings = append(out.Findings, review.Findings.Sorted()...)
	return ok(out)
}

// approveRequest is the request body of an approval. The digest ties the
// approval to the reviewed content.
type approveRequest struct {
	Digest string `json:"digest"`
}

func (a *api) approve(r *http.Request) (response, error) {
	change := mux.Vars(r)["change"]
	o, err := a.authorizeChange(r, change)
	if err != nil {
		return response{}, err
	}
	var in approveRequest
	if err := readJSON(r, &in); err != nil {
		return response{}, err
	}
	p, err := a.store.Approve(r.Context(), change, in.Digest, o.Name)
	if err != nil {
		return response{}, err
	}
	a.cfg.Log.Info("bundle change approved", "change_id", change, "operator", o.Name, "digest", p.Digest)
	return ok(p)
}

func (a *api) roll(r *http.Request) (response, error) {
	change := mux.Vars(r)["change"]
	o, err := a.authorizeChange(r, change)
	if err != nil {
		return response{}, err
	}
	p, err := a.store.Roll(r.Context(), change, o.Name)
	if err != nil {
		return response{}, err
	}
	a.cfg.Log.Info("bundle change rolled", "change_id", change, "operator", o.Name, "version", p.Version)
	return ok(p)
}

func (a *api) status(r *http.Request) (response, error) {
	_, err := a.authorizeRead(r)
	if errors.Is(err, bundle.ErrNoVersion) {
		// Operators cannot be authenticated before the first version, so the
		// response is empty.
		return ok(operatorapi.Status{Daemons: []operatorapi.DaemonVersion{}})
	}
	if err != nil {
		return response{}, err
	}
	current, err := a.store.Current(r.Context())
	if active := a.cfg.Source.Current(); err != nil && active != nil {
		current, err = bundle.Pointer{Version: active.Version}, nil
	}
	if err != nil {
		return response{}, err
	}
	out := operatorapi.Status{Current: current, Daemons: []operatorapi.DaemonVersion{}}
	for _, d := range a.cfg.View.Daemons() {
		out.Daemons = append(out.Daemons, operatorapi.DaemonVersion{Name: d.Name, Version: a.versionInForceOn(d.Name, d.BundleVersion)})
	}
	return ok(out)
}

// versionInForceOn returns the version in force on a daemon: the version it
// reported or, for this daemon, its own current version.
func (a *api) versionInForceOn(name string, reported uint64) uint64 {
	if active := a.cfg.Source.Current(); active != nil && name == a.cfg.View.Self().Name {
		return active.Version
	}
	return reported
}

func (a *api) history(r *http.Request) (response, error) {
	if _, err := a.authorizeRead(r); err != nil {
		return response{}, err
	}
	records, err := a.store.History(r.Context(), historyLimit)
	if err != nil {
		return response{}, err
	}
	for _, v := range records {
		v.Content = ""
	}
	return ok(operatorapi.History{Versions: records})
}

func (a *api) version(r *http.Request) (response, error) {
	if _, err := a.authorizeRead(r); err != nil {
		return response{}, err
	}
	n, err := strconv.ParseUint(mux.Vars(r)["version"], 10, 64)
	if err != nil {
		return response{}, &badRequestError{err}
	}
	record, err := a.store.InForceVersion(r.Context(), n)
	if err != nil {
		return response{}, err
	}
	return ok(record)
}

// readJSON decodes a JSON request body and rejects unknown fields.
func readJSON(r *http.Request, v any) error {
	d := json.NewDecoder(r.Body)
	d.DisallowUnknownFields()
	err := d.Decode(v)
	var tooLarge *http.MaxBytesError
	if err == nil || errors.As(err, &tooLarge) {
		return err
	}
	return &badRequestError{err}
}
