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

// proposeRequest is the body of a proposal.
type proposeRequest struct {
	ChangeID string `json:"change_id"`
	Base     uint64 `json:"base"`
	Content  string `json:"content"`
	Note     string `json:"note"`
}

func (a *api) propose(r *http.Request) (reply, error) {
	if token(r) == "" {
		return reply{}, bundle.ErrNotAnOperator
	}
	// Only the first version is read before its sender is known.
	o, err := a.writer(r)
	if err != nil && !errors.Is(err, bundle.ErrNoVersion) {
		return reply{}, err
	}
	var in proposeRequest
	if err := readJSON(r, &in); err != nil {
		return reply{}, err
	}
	if o == nil {
		o, err = a.firstWriter(r, in.Content)
	}
	if err != nil {
		return reply{}, err
	}
	change := bundle.Change{ID: in.ChangeID, Base: in.Base, Content: in.Content, Note: in.Note}
	p, err := a.store.Propose(r.Context(), change, o.Name)
	if err != nil {
		return reply{}, err
	}
	a.cfg.Log.Info("bundle change proposed", "change_id", p.ChangeID, "operator", o.Name, "digest", p.Digest)
	out := operatorapi.Proposed{ChangeID: p.ChangeID, Digest: p.Digest, Findings: finding.List{}}
	return reply{status: http.StatusCreated, body: out}, nil
}

func (a *api) review(r *http.Request) (reply, error) {
	change := mux.Vars(r)["change"]
	if _, err := a.writerOf(r, change); err != nil {
		return reply{}, err
	}
	review, err := a.store.Review(r.Context(), change)
	if err != nil {
		return reply{}, err
	}
	out := operatorapi.Review{Proposal: *review.Proposal, Findings: finding.List{}, Current: review.Current, Diff: review.Diff}
	out.Findings = append(out.Findings, review.Findings.Sorted()...)
	return ok(out)
}

// approveRequest binds an approval to the content that was reviewed.
type approveRequest struct {
	Digest string `json:"digest"`
}

func (a *api) approve(r *http.Request) (reply, error) {
	change := mux.Vars(r)["change"]
	o, err := a.writerOf(r, change)
	if err != nil {
		return reply{}, err
	}
	var in approveRequest
	if err := readJSON(r, &in); err != nil {
		return reply{}, err
	}
	p, err := a.store.Approve(r.Context(), change, in.Digest, o.Name)
	if err != nil {
		return reply{}, err
	}
	a.cfg.Log.Info("bundle change approved", "change_id", change, "operator", o.Name, "digest", p.Digest)
	return ok(p)
}

func (a *api) roll(r *http.Request) (reply, error) {
	change := mux.Vars(r)["change"]
	o, err := a.writerOf(r, change)
	if err != nil {
		return reply{}, err
	}
	p, err := a.store.Roll(r.Context(), change, o.Name)
	if err != nil {
		return reply{}, err
	}
	a.cfg.Log.Info("bundle change rolled", "change_id", change, "operator", o.Name, "version", p.Version)
	return ok(p)
}

func (a *api) status(r *http.Request) (reply, error) {
	_, err := a.reader(r)
	if errors.Is(err, bundle.ErrNoVersion) {
		// Nobody can be known before the first version, and nothing is told.
		return ok(operatorapi.Status{Daemons: []operatorapi.DaemonVersion{}})
	}
	if err != nil {
		return reply{}, err
	}
	current, err := a.store.Current(r.Context())
	if active := a.cfg.Source.Current(); err != nil && active != nil {
		current, err = bundle.Pointer{Version: active.Version}, nil
	}
	if err != nil {
		return reply{}, err
	}
	out := operatorapi.Status{Current: current, Daemons: []operatorapi.DaemonVersion{}}
	for _, d := range a.cfg.View.Daemons() {
		out.Daemons = append(out.Daemons, operatorapi.DaemonVersion{Name: d.Name, Version: a.versionOn(d.Name, d.BundleVersion)})
	}
	return ok(out)
}

// versionOn returns what a daemon has in force; the local one is known best.
func (a *api) versionOn(name string, reported uint64) uint64 {
	if active := a.cfg.Source.Current(); active != nil && name == a.cfg.View.Self().Name {
		return active.Version
	}
	return reported
}

func (a *api) history(r *http.Request) (reply, error) {
	if _, err := a.reader(r); err != nil {
		return reply{}, err
	}
	records, err := a.store.History(r.Context(), historyLimit)
	if err != nil {
		return reply{}, err
	}
	for _, v := range records {
		v.Content = ""
	}
	return ok(operatorapi.History{Versions: records})
}

func (a *api) version(r *http.Request) (reply, error) {
	if _, err := a.reader(r); err != nil {
		return reply{}, err
	}
	n, err := strconv.ParseUint(mux.Vars(r)["version"], 10, 64)
	if err != nil {
		return reply{}, &badRequest{err}
	}
	record, err := a.store.InForceVersion(r.Context(), n)
	if err != nil {
		return reply{}, err
	}
	return ok(record)
}

// readJSON decodes a body that holds one JSON object with known fields.
func readJSON(r *http.Request, v any) error {
	d := json.NewDecoder(r.Body)
	d.DisallowUnknownFields()
	err := d.Decode(v)
	var tooLarge *http.MaxBytesError
	if err == nil || errors.As(err, &tooLarge) {
		return err
	}
	return &badRequest{err}
}
