package h1

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"

	"github.com/pkg/errors"
)

// maxInformational bounds the informational responses before an answer.
const maxInformational = 8

// strictTransport is an http.Transport that refuses broken answers.
type strictTransport struct{ base *http.Transport }

// NewTransport returns a transport that refuses answers whose heads or trailers break the rules of
// HTTP or exceed maxHeadBytes, and that reports a reset as an error also while the request is being
// written. The base must not be used otherwise.
func NewTransport(base *http.Transport) http.RoundTripper {
	dial := base.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	base.MaxResponseHeaderBytes = maxHeadBytes
	base.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		raw, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &duplexConn{Conn: raw}, nil
	}
	return &strictTransport{base}
}

// RoundTrip sends the request and returns the response once its header has arrived.
func (t *strictTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	informational := 0
	trace := &httptrace.ClientTrace{Got1xxResponse: func(status int, header textproto.MIMEHeader) error {
		if informational++; informational > maxInformational {
			return errNoAnswer
		}
		return checkHead(status, http.Header(header))
	}}
	response, err := t.base.RoundTrip(request.WithContext(httptrace.WithClientTrace(request.Context(), trace)))
	if err != nil {
		return nil, err
	}
	if err := checkHead(response.StatusCode, response.Header); err != nil {
		_ = response.Body.Close()
		return nil, errors.Wrap(err, "read response")
	}
	response.Body = &checkedBody{response.Body, response}
	return response, nil
}

// checkedBody is the body of a response whose trailer is checked.
type checkedBody struct {
	io.ReadCloser
	response *http.Response
}

// Read reads from the body. io.EOF means that it is complete, as far as its framing can show.
func (b *checkedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	return n, endOfBody(b.response, err)
}
