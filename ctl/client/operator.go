package client

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"github.com/gravitational/trace"
)

// Operator speaks with the operators' interface of one daemon.
type Operator struct {
	http        *http.Client
	base, token string
}

// NewOperator returns an Operator for a base address, such as
// http://10.0.0.1:82.
func NewOperator(hc *http.Client, base, token string) *Operator {
	return &Operator{http: hc, base: strings.TrimRight(base, "/"), token: token}
}

// Document is an answer as the daemon sent it.
type Document = json.RawMessage

// Propose stores a change for review. A repeat with the same change id and
// content is the same proposal.
func (o *Operator) Propose(ctx context.Context, p Proposal) (Document, error) {
	return o.do(ctx, http.MethodPost, "/v1/bundle/proposals", p)
}

// Review returns a proposal with its findings.
func (o *Operator) Review(ctx context.Context, changeID string) (Document, error) {
	return o.do(ctx, http.MethodGet, proposalPath(changeID), nil)
}

// Approve accepts the content with the digest.
func (o *Operator) Approve(ctx context.Context, changeID, digest string) (Document, error) {
	return o.do(ctx, http.MethodPost, proposalPath(changeID)+"/approve", approval{Digest: digest})
}

// Roll puts an approved change in force. A repeat returns the same version.
func (o *Operator) Roll(ctx context.Context, changeID string) (Document, error) {
	return o.do(ctx, http.MethodPost, proposalPath(changeID)+"/roll", nil)
}

// Status returns which version is in force on the daemons.
func (o *Operator) Status(ctx context.Context) (Document, error) {
	return o.do(ctx, http.MethodGet, "/v1/bundle/status", nil)
}

// History returns the versions that were in force.
func (o *Operator) History(ctx context.Context) (Document, error) {
	return o.do(ctx, http.MethodGet, "/v1/bundle/history", nil)
}

// Version returns the record of a version with its content.
func (o *Operator) Version(ctx context.Context, version uint64) (Document, error) {
	return o.do(ctx, http.MethodGet, "/v1/bundle/versions/"+strconv.FormatUint(version, 10), nil)
}

// List returns one of the lists members, servers and queues.
func (o *Operator) List(ctx context.Context, name string) (Document, error) {
	return o.do(ctx, http.MethodGet, "/v1/"+name, nil)
}

func proposalPath(changeID string) string {
	return "/v1/bundle/proposals/" + url.PathEscape(changeID)
}

// Proposal is the body of a proposal.
type Proposal struct {
	ChangeID string `json:"change_id"`
	// Base is the version the content was made from; zero for the first.
	Base    uint64 `json:"base"`
	Content string `json:"content"`
	Note    string `json:"note"`
}

type approval struct {
	Digest string `json:"digest"`
}

// do sends one request and returns the body of a success.
func (o *Operator) do(ctx context.Context, method, path string, in any) (Document, error) {
	req, err := o.request(ctx, method, path, in)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	res, err := o.http.Do(req)
	if err != nil {
		if notConnected(err) {
			return nil, &UnreachableError{Addrs: []string{o.base}, Err: err}
		}
		return nil, trace.Wrap(err)
	}
	defer res.Body.Close()
	if res.StatusCode >= http.StatusBadRequest {
		return nil, refusal(res)
	}
	data, err := io.ReadAll(res.Body)
	if err != nil {
		return nil, trace.Wrap(ErrCut, "%v", err)
	}
	if !json.Valid(data) {
		return nil, trace.BadParameter("answer of %s is not JSON", path)
	}
	return data, nil
}

func (o *Operator) request(ctx context.Context, method, path string, in any) (*http.Request, error) {
	var body io.Reader
	if in != nil {
		data, err := json.Marshal(in)
		if err != nil {
			return nil, err
		}
		body = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, method, o.base+path, body)
	if err != nil {
		return nil, err
	}
	setHeader(req, "Authorization", bearer(o.token))
	if in != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	return req, nil
}
