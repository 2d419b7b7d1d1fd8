package httpcheck

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
)

// ErrEndUnknown means that a body has ended with its connection, so that nobody knows whether it is whole.
var ErrEndUnknown = fmt.Errorf("answer without a length ended with its connection: %w", io.ErrUnexpectedEOF)

// Transport is an http.RoundTripper that fails on malformed responses, with ErrMalformed, and whose bodies end with io.EOF
// only if they are certainly whole. On connections that NewTransport has wrapped, the bytes of each head are checked. On
// others, such as those with TLS, only what net/http has parsed is: a line that is folded and a length beside a transfer
// coding pass there.
type Transport struct {
	Base http.RoundTripper
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	ctx := httptrace.WithClientTrace(req.Context(), &httptrace.ClientTrace{
		GotConn: expectHead, Got1xxResponse: checkInformational,
	})
	res, err := t.Base.RoundTrip(req.WithContext(ctx))
	if err != nil {
		return nil, err
	}
	if err := checkParsed(res); err != nil {
		res.Body.Close()
		return nil, err
	}
	if res.Body != http.NoBody {
		res.Body = &body{ReadCloser: res.Body, response: res}
	}
	return res, nil
}

// CloseIdleConnections closes the idle connections, for http.Client.
func (t *Transport) CloseIdleConnections() {
	if c, ok := t.Base.(interface{ CloseIdleConnections() }); ok {
		c.CloseIdleConnections()
	}
}

func checkInformational(_ int, fields textproto.MIMEHeader) error {
	return checkFields(fields, BadFieldName)
}

// checkParsed checks the head of a final response.
func checkParsed(res *http.Response) error {
	if res.ProtoMajor != 2 && !(res.ProtoMajor == 1 && res.ProtoMinor <= 1) {
		return malformed(BadStatusLine, []byte(res.Proto))
	}
	if err := checkStatus(res.StatusCode); err != nil {
		return err
	}
	return checkFields(res.Header, BadFieldName)
}

// body is the body of a response.
type body struct {
	io.ReadCloser
	response *http.Response
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != io.EOF {
		return n, err
	}
	if endsWithConnection(b.response) {
		return n, ErrEndUnknown
	}
	if err := CheckTrailer(b.response.Trailer); err != nil {
		return n, err
	}
	return n, io.EOF
}

// endsWithConnection reports whether nothing but the end of the connection tells the end of a body.
func endsWithConnection(res *http.Response) bool {
	return res.ProtoMajor == 1 && res.ContentLength < 0 && len(res.TransferEncoding) == 0
}

// ReadAll reads a body to its end. It reports in certain whether the body is certainly whole. Documents that tell their
// end themselves may be used if it isn't.
func ReadAll(r io.Reader) (data []byte, certain bool, err error) {
	data, err = io.ReadAll(r)
	if errors.Is(err, ErrEndUnknown) {
		return data, false, nil
	}
	return data, err == nil, err
}
