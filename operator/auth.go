package operator

import (
	"context"
	"errors"
	"net/http"
	"strings"

	"github.com/jacinththread/jacinththread/bundle"
)

// reader returns the operator that sent a request which changes nothing. It
// works during an outage of the store.
func (a *api) reader(r *http.Request) (*bundle.Operator, error) {
	if active := a.cfg.Source.Current(); active != nil {
		return operatorOf(active, r)
	}
	return a.writer(r)
}

// writer returns the operator that sent a request, by the version that the
// store says is in force, so that a removed operator changes nothing even at a
// daemon that is behind.
func (a *api) writer(r *http.Request) (*bundle.Operator, error) {
	active, err := a.store.InForce(r.Context())
	if err != nil {
		return nil, err
	}
	return operatorOf(active, r)
}

// firstWriter is like writer, but while no version is in force it accepts the
// operators of the proposed content itself.
func (a *api) firstWriter(r *http.Request, content string) (*bundle.Operator, error) {
	o, err := a.writer(r)
	if !errors.Is(err, bundle.ErrNoVersion) {
		return o, err
	}
	b, findings := bundle.Parse("bundle", []byte(content))
	if err := findings.Err(); err != nil {
		return nil, err
	}
	return operatorOf(bundle.NewActive(0, b), r)
}

// writerOf returns the operator that acts on a stored change.
func (a *api) writerOf(r *http.Request, change string) (*bundle.Operator, error) {
	o, err := a.writer(r)
	if !errors.Is(err, bundle.ErrNoVersion) {
		return o, err
	}
	if token(r) == "" {
		return nil, bundle.ErrNotAnOperator
	}
	p, err := a.proposal(r.Context(), change)
	if err != nil {
		return nil, err
	}
	return a.firstWriter(r, p.Content)
}

// proposal hides from strangers whether a change exists.
func (a *api) proposal(ctx context.Context, change string) (*bundle.Proposal, error) {
	p, err := a.store.Proposal(ctx, change)
	if errors.Is(err, bundle.ErrChangeNotFound) || errors.Is(err, bundle.ErrBadChangeID) {
		return nil, bundle.ErrNotAnOperator
	}
	return p, err
}

func operatorOf(active *bundle.Active, r *http.Request) (*bundle.Operator, error) {
	t := token(r)
	if t == "" {
		return nil, bundle.ErrNotAnOperator
	}
	o := active.OperatorByToken(t)
	if o == nil {
		return nil, bundle.ErrNotAnOperator
	}
	return o, nil
}

// token returns the bearer token of a request, or an empty string.
func token(r *http.Request) string {
	const scheme = "Bearer "
	h := r.Header.Get("Authorization")
	if len(h) < len(scheme) || !strings.EqualFold(h[:len(scheme)], scheme) {
		return ""
	}
	return strings.TrimSpace(h[len(scheme):])
}
