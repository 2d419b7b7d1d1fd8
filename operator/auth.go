package operator

import (
	"context"
	"errors"
	"net/http"
	"strings"

	"github.com/jacinththread/jacinththread/bundle"
)

// authorizeRead returns the operator who sent a read-only request. It checks the
// token against the version in force on this daemon, so that it works during an
// outage of the store.
func (a *api) authorizeRead(r *http.Request) (*bundle.Operator, error) {
	if active := a.cfg.Source.Current(); active != nil {
		return authenticate(active, r)
	}
	return a.authorizeWrite(r)
}

// authorizeWrite returns the operator who sent a request that changes state. It
// checks the token against the version in force in the store, so that a removed
// operator is refused even by a daemon with an older version.
func (a *api) authorizeWrite(r *http.Request) (*bundle.Operator, error) {
	active, err := a.store.InForce(r.Context())
	if err != nil {
		return nil, err
	}
	return authenticate(active, r)
}

// authorizeFirstVersion is like authorizeWrite, but while no version is in force
// it accepts the operators that the proposed content defines.
func (a *api) authorizeFirstVersion(r *http.Request, content string) (*bundle.Operator, error) {
	o, err := a.authorizeWrite(r)
	if !errors.Is(err, bundle.ErrNoVersion) {
		return o, err
	}
	b, findings := bundle.Parse("bundle", []byte(content))
	if err := findings.Err(); err != nil {
		return nil, err
	}
	return authenticate(bundle.NewActive(0, b), r)
}

// authorizeChange returns the operator who sent a request about a stored change.
// While no version is in force, it accepts the operators that the change defines.
func (a *api) authorizeChange(r *http.Request, change string) (*bundle.Operator, error) {
	o, err := a.authorizeWrite(r)
	if !errors.Is(err, bundle.ErrNoVersion) {
		return o, err
	}
	if bearerToken(r) == "" {
		return nil, bundle.ErrNotAnOperator
	}
	p, err := a.proposalOrUnauthorized(r.Context(), change)
	if err != nil {
		return nil, err
	}
	return a.authorizeFirstVersion(r, p.Content)
}

// proposalOrUnauthorized returns a proposal. A missing change yields
// ErrNotAnOperator, so that unauthenticated callers cannot find out which
// changes exist.
func (a *api) proposalOrUnauthorized(ctx context.Context, change string) (*bundle.Proposal, error) {
	p, err := a.store.Proposal(ctx, change)
	if errors.Is(err, bundle.ErrChangeNotFound) || errors.Is(err, bundle.ErrBadChangeID) {
		return nil, bundle.ErrNotAnOperator
	}
	return p, err
}

// authenticate returns the operator that the bearer token of a request belongs to.
func authenticate(active *bundle.Active, r *http.Request) (*bundle.Operator, error) {
	t := bearerToken(r)
	if t == "" {
		return nil, bundle.ErrNotAnOperator
	}
	o := active.OperatorByToken(t)
	if o == nil {
		return nil, bundle.ErrNotAnOperator
	}
	return o, nil
}

// bearerToken returns the bearer token of a request, or an empty string if it
// has none.
func bearerToken(r *http.Request) string {
	const scheme = "Bearer "
	h := r.Header.Get("Authorization")
	if len(h) < len(scheme) || !strings.EqualFold(h[:len(scheme)], scheme) {
		return ""
	}
	return strings.TrimSpace(h[len(scheme):])
}
