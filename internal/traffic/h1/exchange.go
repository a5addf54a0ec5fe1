package h1

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// ErrUnrelatedResponse means that the connection carried only responses to other
// requests.
var ErrUnrelatedResponse = errors.New("responses on the connection belong to other requests")

// Response is a response whose header has arrived; its body is read from the
// connection. It must be closed.
type Response struct {
	Status int
	Header http.Header
	Reused bool // the connection had carried earlier calls
	// CloseDelimited responses have no stated length and end with their connection.
	CloseDelimited bool

	response       *http.Response
	conn           *conn
	call           *Call
	requestWritten *atomic.Bool // the complete request has been written
	stopCancel     func() bool  // detaches the connection from the call's context
	bodyRead       bool         // to its end
	closed         atomic.Bool
}

// Do sends the call and returns the response once its header has arrived. Errors
// are of type *CallError. The connection is closed when ctx ends.
func (c *Client) Do(ctx context.Context, call *Call) (*Response, error) {
	conn, err := c.connect(ctx, call)
	if err != nil {
		return nil, err
	}
	reused := conn.used
	conn.carry(call.ID)
	stopCancel := context.AfterFunc(ctx, conn.abort)
	_ = conn.SetDeadline(call.Deadline)
	requestWritten, err := conn.send(call)
	if err == nil {
		conn.patience = headerPatience(call)
		var response *Response
		response, err = c.readHeader(conn, call)
		if conn.patience.abandoned {
			// The parser may have gone on with what had arrived.
			err = errors.Wrap(os.ErrDeadlineExceeded, "await response")
		}
		conn.patience = patience{}
		if err == nil {
			_ = conn.SetReadDeadline(call.Deadline)
			response.call = call
			response.requestWritten, response.stopCancel, response.Reused = requestWritten, stopCancel, reused
			return response, nil
		}
	}
	stopCancel()
	conn.head.release()
	conn.abort()
	conn.pool.discard(conn)
	return nil, &CallError{Sent: true, TimedOut: isTimeout(err), Reused: reused, Err: err}
}

// headerPatience returns the patience for the response header.
func headerPatience(call *Call) patience {
	extend := call.OnSilence
	if extend == nil {
		extend = func() time.Duration { return 0 }
	}
	return patience{deadline: call.Deadline, until: call.HeaderDeadline, extend: extend}
}

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

// send writes the request; the flag that it returns is set once all of it is
// written. A body that may not fit the socket buffers is written by another
// goroutine, since the server may respond without reading it.
func (c *conn) send(call *Call) (*atomic.Bool, error) {
	var header bytes.Buffer
	header.Grow(512 + min(len(call.Body), inlineBodyBytes))
	header.WriteString(call.Method + " " + call.Target + " HTTP/1.1\r\nHost: " + call.Host + "\r\n")
	if len(call.Body) > 0 || (call.Method != http.MethodGet && call.Method != http.MethodHead) {
		header.WriteString("Content-Length: " + strconv.Itoa(len(call.Body)) + "\r\n")
	}
	if err := call.Header.Write(&header); err != nil {
		return nil, errors.Wrap(err, "write header")
	}
	header.WriteString("\r\n")
	var requestWritten atomic.Bool
	if len(call.Body) <= inlineBodyBytes {
		header.Write(call.Body)
		requestWritten.Store(true)
		_, err := c.Write(header.Bytes())
		return &requestWritten, errors.Wrap(err, "write request")
	}
	if len(call.Body) > receiveBufferBytes {
		c.limitUnread(max(time.Until(call.Deadline), unackedTimeout))
		c.longBody = true
	}
	buffers := net.Buffers{header.Bytes(), call.Body}
	go func() {
		// Read returns the error, if the connection was broken off.
		if err := c.writeBuffers(buffers); err == nil {
			requestWritten.Store(true)
		}
	}()
	return &requestWritten, nil
}

// readHeader reads response headers until one belongs to the call: a server may
// send a late second response to an earlier request.
func (c *Client) readHeader(conn *conn, call *Call) (*Response, error) {
	request := &http.Request{Method: call.Method}
	conn.allowance = allowance{}
	conn.allowance.allow(maxHeadBytes)
	defer func() { conn.allowance = allowance{} }()
	for unrelated := 0; unrelated < maxResponsesRead; {
		conn.head.begin()
		response, err := readHead(conn.reader, request) //nolint:bodyclose // Response.Close ends the exchange; the body has nothing to close.
		if err != nil {
			return nil, errors.Wrap(err, "read response")
		}
		if c.requestID(response.Header) == call.ID {
			return &Response{
				Status:         response.StatusCode,
				Header:         response.Header,
				CloseDelimited: response.ContentLength < 0 && len(response.TransferEncoding) == 0,
				response:       response,
				conn:           conn,
			}, nil
		}
		unrelated++
		if response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
			break
		}
		conn.allowance.allow(maxDiscardedBytes)
		_, err = io.Copy(io.Discard, response.Body)
		if err == nil {
			err = checkNames(response.Trailer)
		}
		if err != nil {
			return nil, errors.Wrap(err, "discard unrelated response")
		}
	}
	return nil, ErrUnrelatedResponse
}

// LimitSilence makes reads of the body call Call.OnSilence after the given time, unless the
// limit is set anew before. Only the caller can tell which bytes end the silence. The reads
// fail with os.ErrDeadlineExceeded once OnSilence returns 0.
func (r *Response) LimitSilence(longest time.Duration) {
	r.conn.patience = patience{deadline: r.call.Deadline, until: time.Now().Add(longest), extend: r.call.OnSilence}
}

// Read reads the body. io.EOF means that the body is complete, as far as its
// framing can show.
func (r *Response) Read(p []byte) (int, error) {
	n, err := r.response.Body.Read(p)
	err = endOfBody(r.response, err)
	if errors.Is(err, io.EOF) {
		r.bodyRead = true
	}
	return n, err
}

// HeadMemory returns the bytes that are counted for the header until the response is closed.
func (r *Response) HeadMemory() int64 { return r.conn.head.held }

// Close ends the exchange. The connection returns to the pool if the complete
// request was written and the complete response was read. Otherwise the connection is
// closed, so that the server can cancel its work. Further calls have no effect.
func (r *Response) Close() {
	if !r.closed.CompareAndSwap(false, true) {
		return
	}
	stopped := r.stopCancel()
	c := r.conn
	c.head.release()
	c.patience = patience{}
	if !r.bodyRead || !r.requestWritten.Load() {
		c.abort()
	}
	if !stopped || !r.bodyRead || r.CloseDelimited || !r.requestWritten.Load() || r.response.Close || c.reader.Buffered() > 0 {
		c.pool.discard(c)
		return
	}
	if c.longBody {
		c.limitUnread(unackedTimeout)
		c.longBody = false
	}
	_ = c.SetDeadline(time.Time{})
	c.keepAlive = keepAliveTimeout(r.Header)
	c.pool.put(c, time.Now())
}

// keepAliveTimeout returns the timeout that the Keep-Alive header states for idle
// connections, or 0 if there is none. A stated 0 counts as 1 s.
func keepAliveTimeout(h http.Header) time.Duration {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		seconds, err := strconv.Atoi(value)
		if strings.EqualFold(name, "timeout") && err == nil && seconds >= 0 {
			return time.Duration(max(seconds, 1)) * time.Second
		}
	}
	return 0
}
