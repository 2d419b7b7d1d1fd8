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

// Operator is a client for the operator API of one daemon.
type Operator struct {
	http        *http.Client
	base, token string
}

// NewOperator returns an Operator for a base URL, such as http://10.0.0.1:82,
// that authenticates with token.
func NewOperator(hc *http.Client, base, token string) *Operator {
	return &Operator{http: hc, base: strings.TrimRight(base, "/"), token: token}
}

// Document is the JSON body of a response, as the daemon sent it.
type Document = json.RawMessage

// Propose stores a change for review. It is idempotent for the same change id
// and content.
func (o *Operator) Propose(ctx context.Context, p Proposal) (Document, error) {
	return o.do(ctx, http.MethodPost, "/v1/bundle/proposals", p)
}

// Review returns a proposal with its findings and its diff.
func (o *Operator) Review(ctx context.Context, changeID string) (Document, error) {
	return o.do(ctx, http.MethodGet, proposalPath(changeID), nil)
}

// Approve approves a change if its content has the digest.
func (o *Operator) Approve(ctx context.Context, changeID, digest string) (Document, error) {
	return o.do(ctx, http.MethodPost, proposalPath(changeID)+"/approve", approval{Digest: digest})
}

// Roll puts an approved change in force. A retry returns the same version.
func (o *Operator) Roll(ctx context.Context, changeID string) (Document, error) {
	return o.do(ctx, http.MethodPost, proposalPath(changeID)+"/roll", nil)
}

// Status returns the version in force and the version of each daemon.
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

// List returns the list with the given name: members, servers or queues.
func (o *Operator) List(ctx context.Context, name string) (Document, error) {
	return o.do(ctx, http.MethodGet, "/v1/"+name, nil)
}

// Fetch returns the document at a URL path.
func (o *Operator) Fetch(ctx context.Context, path string) (Document, error) {
	return o.do(ctx, http.MethodGet, path, nil)
}

func proposalPath(changeID string) string {
	return "/v1/bundle/proposals/" + url.PathEscape(changeID)
}

// Proposal is the request body of Propose.
type Proposal struct {
	ChangeID string `json:"change_id"`
	// Base is the version that the content is based on; zero for the first.
	Base    uint64 `json:"base"`
	Content string `json:"content"`
	Note    string `json:"note"`
}

type approval struct {
	Digest string `json:"digest"`
}

// do sends one request and returns the body of a successful response.
func (o *Operator) do(ctx context.Context, method, path string, in any) (Document, error) {
	req, err := o.request(ctx, method, path, in)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	res, err := o.http.Do(req)
	if err != nil {
		if isDialError(err) {
			return nil, &UnreachableError{Addrs: []string{o.base}, Err: err}
		}
		return nil, trace.Wrap(err)
	}
	defer res.Body.Close()
	if res.StatusCode >= http.StatusBadRequest {
		return nil, errorFromResponse(res)
	}
	data, err := io.ReadAll(res.Body)
	if err != nil {
		return nil, trace.Wrap(ErrIncomplete, "%v", err)
	}
	if !json.Valid(data) {
		return nil, trace.BadParameter("response of %s is not JSON", path)
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
