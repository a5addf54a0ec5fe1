package h1

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// ErrUnrelatedResponse says that the connection carried answers of other requests only.
var ErrUnrelatedResponse = errors.New("answers belong to other requests")

// Response is a server's answer whose head has arrived. It must be closed.
type Response struct {
	Status int
	Header http.Header
	Reused bool
	// CloseDelimited answers have no length and end with their connection.
	CloseDelimited bool

	response *http.Response
	conn     *conn
	written  *atomic.Bool // the whole request has been written
	stop     func() bool
	ended    bool
	closed   atomic.Bool
}

// Do sends the call and returns the answer once its head has arrived. Every
// error is a *Failure. The connection is closed when the context ends.
func (c *Client) Do(ctx context.Context, call *Call) (*Response, error) {
	conn, err := c.connect(ctx, call)
	if err != nil {
		return nil, err
	}
	reused := conn.used
	conn.used = true
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	_ = conn.SetDeadline(call.Deadline)
	written, err := conn.send(call)
	if err == nil {
		_ = conn.SetReadDeadline(call.HeaderDeadline)
		var answer *Response
		answer, err = c.readHead(conn, call)
		if err == nil {
			_ = conn.SetReadDeadline(call.Deadline)
			answer.written, answer.stop, answer.Reused = written, stop, reused
			return answer, nil
		}
	}
	stop()
	conn.pool.discard(conn)
	var timeout net.Error
	silent := errors.As(err, &timeout) && timeout.Timeout()
	return nil, &CallError{Sent: true, TimedOut: silent, Reused: reused, Err: err}
}

// send writes the request. A body that may not fit the socket buffers is
// written by another goroutine, since the server may answer without reading it.
func (c *conn) send(call *Call) (*atomic.Bool, error) {
	var head bytes.Buffer
	head.Grow(512 + min(len(call.Body), inlineBodyBytes))
	head.WriteString(call.Method + " " + call.Target + " HTTP/1.1\r\nHost: " + call.Host + "\r\n")
	if len(call.Body) > 0 || (call.Method != http.MethodGet && call.Method != http.MethodHead) {
		head.WriteString("Content-Length: " + strconv.Itoa(len(call.Body)) + "\r\n")
	}
	if err := call.Header.Write(&head); err != nil {
		return nil, errors.Wrap(err, "write header")
	}
	head.WriteString("\r\n")
	var written atomic.Bool
	if len(call.Body) <= inlineBodyBytes {
		head.Write(call.Body)
		written.Store(true)
		_, err := c.Write(head.Bytes())
		return &written, errors.Wrap(err, "write request")
	}
	buffers := net.Buffers{head.Bytes(), call.Body}
	go func() {
		// A failure shows when the answer is read.
		if _, err := buffers.WriteTo(c.Conn); err == nil {
			written.Store(true)
		}
	}()
	return &written, nil
}

// readHead reads heads until one belongs to the call. A server may send a
// second answer to an earlier request late.
func (c *Client) readHead(conn *conn, call *Call) (*Response, error) {
	request := &http.Request{Method: call.Method}
	for range foreignAnswers {
		response, err := http.ReadResponse(conn.reader, request) //nolint:bodyclose // Answer.Close ends the exchange; the body has nothing to close.
		if err != nil {
			return nil, errors.Wrap(err, "read answer")
		}
		if response.StatusCode >= 100 && response.StatusCode < 200 {
			continue
		}
		if c.identify(response.Header) == call.ID {
			return &Response{
				Status:         response.StatusCode,
				Header:         response.Header,
				CloseDelimited: response.ContentLength < 0 && len(response.TransferEncoding) == 0,
				response:       response,
				conn:           conn,
			}, nil
		}
		if response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
			break
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			return nil, errors.Wrap(err, "pass over another answer")
		}
	}
	return nil, ErrUnrelatedResponse
}

// SetReadDeadline bounds the next reads.
func (a *Response) SetReadDeadline(t time.Time) { _ = a.conn.SetReadDeadline(t) }

// Read reads the body. io.EOF means that the body is complete, as far as its
// framing can tell.
func (a *Response) Read(p []byte) (int, error) {
	n, err := a.response.Body.Read(p)
	if err == io.EOF {
		a.ended = true
	}
	return n, err
}

// Close ends the exchange. The connection is kept for other calls where the
// whole answer was read and the whole request was written; else it is closed,
// by which the server learns that its work isn't wanted.
func (a *Response) Close() {
	if !a.closed.CompareAndSwap(false, true) {
		return
	}
	stopped := a.stop()
	c := a.conn
	if !stopped || !a.ended || a.CloseDelimited || !a.written.Load() || a.response.Close || c.reader.Buffered() > 0 {
		c.pool.discard(c)
		return
	}
	_ = c.SetDeadline(time.Time{})
	c.keep = statedKeepAlive(a.Header)
	c.pool.put(c, time.Now())
}

// statedKeepAlive returns for how long the server keeps an idle connection, or 0
// where it doesn't say.
func statedKeepAlive(h http.Header) time.Duration {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		seconds, err := strconv.Atoi(value)
		if strings.EqualFold(name, "timeout") && err == nil && seconds >= 0 {
			return time.Duration(max(seconds, 1)) * time.Second
		}
	}
	return 0
}
