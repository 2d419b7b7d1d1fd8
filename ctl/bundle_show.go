package ctl

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"github.com/jacinththread/jacinththread/bundle"
	"github.com/jacinththread/jacinththread/ctl/client"
	"github.com/jacinththread/jacinththread/operator/operatorapi"
)

type statusCommand struct{ runnable }

func (*statusCommand) run(ctx context.Context, a *app) error {
	return callOperator(ctx, a, methodCall((*client.Operator).Status), func(s operatorapi.Status) error {
		if err := a.printFields("Version in force", s.Current.Version, "Change", s.Current.ChangeID,
			"Rolled by", s.Current.RolledBy, "Digest", s.Current.Digest); err != nil {
			return err
		}
		fmt.Fprintln(a.Out)
		t := newTable("DAEMON", "VERSION", "STATE")
		for _, d := range s.Daemons {
			state := "current"
			if d.Version != s.Current.Version {
				state = "behind"
			}
			t.add(d.Name, d.Version, state)
		}
		return a.printTable(t)
	})
}

// methodCall adapts a method expression of Operator to the argument order of
// callOperator.
func methodCall(call func(*client.Operator, context.Context) (client.Document, error)) func(context.Context, *client.Operator) (client.Document, error) {
	return func(ctx context.Context, o *client.Operator) (client.Document, error) { return call(o, ctx) }
}

type historyCommand struct{ runnable }

func (*historyCommand) run(ctx context.Context, a *app) error {
	return callOperator(ctx, a, methodCall((*client.Operator).History), func(h operatorapi.History) error {
		t := newTable("VERSION", "BASE", "CHANGE", "PROPOSED BY", "APPROVED BY", "ROLLED BY", "ROLLED AT", "NOTE")
		for _, r := range h.Versions {
			t.add(r.Version, r.Base, r.ChangeID, r.ProposedBy, r.ApprovedBy, r.RolledBy, formatTime(r.RolledAt), r.Note)
		}
		return a.printTable(t)
	})
}

type diffCommand struct {
	runnable
	Args struct {
		From string `positional-arg-name:"FROM" required:"yes" description:"Version number or change id"`
		To   string `positional-arg-name:"TO" description:"Version number or change id; the version in force without it"`
	} `positional-args:"yes"`
}

// diffResult is the output of diff with --json.
type diffResult struct {
	From string `json:"from"`
	To   string `json:"to"`
	Diff string `json:"diff"`
}

func (c *diffCommand) run(ctx context.Context, a *app) error {
	o, err := a.operator()
	if err != nil {
		return err
	}
	ctx, cancel := a.withTimeout(ctx)
	defer cancel()
	if c.Args.To == "" {
		version, err := versionInForce(ctx, o)
		if err != nil {
			return err
		}
		c.Args.To = strconv.FormatUint(version, 10)
	}
	from, err := bundleContent(ctx, o, c.Args.From)
	if err != nil {
		return err
	}
	to, err := bundleContent(ctx, o, c.Args.To)
	if err != nil {
		return err
	}
	result := diffResult{From: c.Args.From, To: c.Args.To, Diff: bundle.Diff(from, to)}
	if a.JSON {
		return a.printJSON(result)
	}
	if result.Diff == "" {
		fmt.Fprintln(a.Out, "no difference")
		return nil
	}
	fmt.Fprintf(a.Out, "--- %s\n+++ %s\n%s", result.From, result.To, result.Diff)
	return nil
}

// bundleContent returns the content of a version, given by its number, or of a
// proposal, given by its change id.
func bundleContent(ctx context.Context, o *client.Operator, name string) (string, error) {
	version, err := strconv.ParseUint(name, 10, 64)
	if err == nil {
		doc, err := o.Version(ctx, version)
		if err != nil {
			return "", err
		}
		record, err := decode[bundle.Record](doc)
		return record.Content, err
	}
	doc, err := o.Review(ctx, name)
	if err != nil {
		return "", err
	}
	review, err := decode[operatorapi.Review](doc)
	return review.Proposal.Content, err
}

func formatTime(t time.Time) string {
	if t.IsZero() {
		return ""
	}
	return t.UTC().Format(time.RFC3339)
}
