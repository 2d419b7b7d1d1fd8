package ctl

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"strconv"

	"github.com/google/uuid"
	"github.com/gravitational/trace"

	"github.com/jacinththread/jacinththread/bundle"
	"github.com/jacinththread/jacinththread/ctl/client"
	"github.com/jacinththread/jacinththread/operator/operatorapi"
)

// operator returns a client for the operator API.
func (a *app) operator() (*client.Operator, error) {
	token, err := a.token()
	if err != nil {
		return nil, err
	}
	return client.NewOperator(a.http, a.OperatorURL, token), nil
}

// callOperator makes one call to the operator API and prints the response: the
// JSON document itself with --json, otherwise the output of show.
func callOperator[T any](ctx context.Context, a *app, call func(context.Context, *client.Operator) (client.Document, error), show func(T) error) error {
	o, err := a.operator()
	if err != nil {
		return err
	}
	ctx, cancel := a.withTimeout(ctx)
	defer cancel()
	doc, err := call(ctx, o)
	if err != nil {
		return err
	}
	return showDocument(a, doc, show)
}

// showDocument prints a response, as JSON or by show.
func showDocument[T any](a *app, doc client.Document, show func(T) error) error {
	if a.JSON {
		return a.printJSON(doc)
	}
	response, err := decode[T](doc)
	if err != nil {
		return err
	}
	return show(response)
}

func decode[T any](doc client.Document) (T, error) {
	var v T
	err := json.Unmarshal(doc, &v)
	return v, trace.Wrap(err, "decoding the daemon's response")
}

// changeArg is the positional argument of commands that act on a change.
type changeArg struct {
	ChangeID string `positional-arg-name:"CHANGE-ID" description:"Id of the proposed change"`
}

type proposeCommand struct {
	runnable
	Base     string `long:"base" value-name:"N" description:"Version the file was made from; the version in force without it"`
	ChangeID string `long:"change-id" value-name:"ID" description:"Id of the change; repeat it to repeat a proposal whose answer was lost"`
	Note     string `long:"note" value-name:"TEXT" description:"Reason for the change, shown to reviewers"`
	Args     struct {
		File string `positional-arg-name:"FILE" description:"Bundle, JSON with comments"`
	} `positional-args:"yes" required:"yes"`
}

func (c *proposeCommand) run(ctx context.Context, a *app) error {
	data, err := os.ReadFile(c.Args.File)
	if err != nil {
		return &usageError{err.Error()}
	}
	if _, findings := bundle.Parse(c.Args.File, data); len(findings) > 0 {
		return findings.Err()
	}
	if c.ChangeID == "" {
		c.ChangeID = "change-" + uuid.NewString()
	}
	propose := func(ctx context.Context, o *client.Operator) (client.Document, error) {
		base, err := c.base(ctx, o)
		if err != nil {
			return nil, err
		}
		return o.Propose(ctx, client.Proposal{
			ChangeID: c.ChangeID, Base: base, Content: string(data), Note: c.Note,
		})
	}
	err = callOperator(ctx, a, propose, func(p operatorapi.Proposed) error {
		return a.printFields("Change", p.ChangeID, "Digest", p.Digest)
	})
	if mayHaveTakenEffect(err) {
		fmt.Fprintf(a.Err, "the proposal may have been stored; to retry it, use --change-id %s\n", c.ChangeID)
	}
	return err
}

// mayHaveTakenEffect reports whether a failed call may still have taken effect:
// its response was lost, or the daemon returned a server error and does not know
// the outcome itself.
func mayHaveTakenEffect(err error) bool {
	var usage *usageError
	var refused *client.RefusedError
	var unreachable *client.UnreachableError
	switch {
	case err == nil, errors.As(err, &usage), errors.As(err, &unreachable):
		return false
	case errors.As(err, &refused):
		return refused.Status >= http.StatusInternalServerError
	}
	return true
}

// base returns the version that the change is based on.
func (c *proposeCommand) base(ctx context.Context, o *client.Operator) (uint64, error) {
	if c.Base == "" {
		return versionInForce(ctx, o)
	}
	n, err := strconv.ParseUint(c.Base, 10, 64)
	if err != nil {
		return 0, &usageError{fmt.Sprintf("base %q is not a version number", c.Base)}
	}
	return n, nil
}

// versionInForce returns the version in force, or zero if there is none yet.
func versionInForce(ctx context.Context, o *client.Operator) (uint64, error) {
	doc, err := o.Status(ctx)
	if err != nil {
		return 0, err
	}
	status, err := decode[operatorapi.Status](doc)
	return status.Current.Version, err
}

type reviewCommand struct {
	runnable
	Args changeArg `positional-args:"yes" required:"yes"`
}

func (c *reviewCommand) run(ctx context.Context, a *app) error {
	review := func(ctx context.Context, o *client.Operator) (client.Document, error) {
		return o.Review(ctx, c.Args.ChangeID)
	}
	return callOperator(ctx, a, review, a.printReview)
}

func (a *app) printReview(r operatorapi.Review) error {
	p := r.Proposal
	if err := a.printFields("Change", p.ChangeID, "Base version", p.Base, "Version in force", r.Current.Version,
		"Proposed by", p.ProposedBy, "Proposed at", formatTime(p.ProposedAt), "Approved by", p.ApprovedBy,
		"Note", p.Note, "Digest", p.Digest, "Findings", len(r.Findings)); err != nil {
		return err
	}
	for _, f := range r.Findings {
		fmt.Fprintf(a.Out, "  %s\n", f)
	}
	if r.Diff == "" {
		return nil
	}
	_, err := fmt.Fprintf(a.Out, "\n%s", r.Diff)
	return err
}

type approveCommand struct {
	runnable
	Digest string    `long:"digest" required:"yes" value-name:"DIGEST" description:"Digest that the review showed"`
	Args   changeArg `positional-args:"yes" required:"yes"`
}

func (c *approveCommand) run(ctx context.Context, a *app) error {
	approve := func(ctx context.Context, o *client.Operator) (client.Document, error) {
		return o.Approve(ctx, c.Args.ChangeID, c.Digest)
	}
	return callOperator(ctx, a, approve, func(p bundle.Proposal) error {
		return a.printFields("Change", p.ChangeID, "Approved by", p.ApprovedBy, "Digest", p.Digest)
	})
}

type rollCommand struct {
	runnable
	Args changeArg `positional-args:"yes" required:"yes"`
}

func (c *rollCommand) run(ctx context.Context, a *app) error {
	roll := func(ctx context.Context, o *client.Operator) (client.Document, error) {
		return o.Roll(ctx, c.Args.ChangeID)
	}
	return callOperator(ctx, a, roll, func(p bundle.Pointer) error {
		return a.printFields("Version", p.Version, "Change", p.ChangeID, "Rolled by", p.RolledBy, "Digest", p.Digest)
	})
}
