package h1

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
)

const headerID = "X-Call"

// patience only ends a test that hangs.
const patience = 10 * time.Second

// scriptedServer answers each connection by the script, which gets the number of
// the connection from 1.
func scriptedServer(t *testing.T, script func(number int, conn net.Conn, r *bufio.Reader)) (string, *atomic.Int32) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	var conns atomic.Int32
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			number := int(conns.Add(1))
			go func() {
				defer func() { _ = conn.Close() }()
				script(number, conn, bufio.NewReader(conn))
			}()
		}
	}()
	t.Cleanup(func() { _ = listener.Close() })
	return listener.Addr().String(), &conns
}

// readRequest reads one request with its body and returns its id.
func readRequest(r *bufio.Reader) (string, error) {
	request, err := http.ReadRequest(r)
	if err != nil {
		return "", err
	}
	_, err = io.Copy(io.Discard, request.Body)
	return request.Header.Get(headerID), err
}

func write(conn net.Conn, text string) { _, _ = io.WriteString(conn, text) }

func answer(id, body string) string {
	return "HTTP/1.1 200 OK\r\n" + headerID + ": " + id + "\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
}

func newClient() *Client {
	return NewClient(func(h http.Header) string { return h.Get(headerID) })
}

func newCall(address, id string) *Call {
	return &Call{
		Address: address, Method: http.MethodPost, Target: "/a?b=c", Host: "desk.example",
		Header: http.Header{headerID: {id}}, ID: id,
		HeaderDeadline: time.Now().Add(patience), Deadline: time.Now().Add(patience),
	}
}

// call makes a call and returns the body of its answer.
func call(t *testing.T, c *Client, k *Call) (string, error) {
	t.Helper()
	a, err := c.Do(t.Context(), k)
	if err != nil {
		return "", err
	}
	defer a.Close()
	body, err := io.ReadAll(a)
	return string(body), err
}

// TestAnswers has servers that answer in every way that a sound or a faulty one may.
func TestAnswers(t *testing.T) {
	cases := map[string]struct {
		script   func(number int, conn net.Conn, r *bufio.Reader)
		body     string
		err      string
		nextConn int32 // connections after a second call
	}{
		"with a length": {
			func(_ int, conn net.Conn, r *bufio.Reader) {
				for {
					id, err := readRequest(r)
					if err != nil {
						return
					}
					write(conn, answer(id, "whole"))
				}
			}, "whole", "", 1,
		},
		"an answer to an earlier call first": {
			func(_ int, conn net.Conn, r *bufio.Reader) {
				for {
					id, err := readRequest(r)
					if err != nil {
						return
					}
					write(conn, answer("other", "not yours")+answer(id, "yours"))
				}
			}, "yours", "", 1,
		},
		"only answers to other calls": {
			func(_ int, conn net.Conn, r *bufio.Reader) {
				_, _ = readRequest(r)
				write(conn, strings.Repeat(answer("other", "not yours"), 4))
			}, "", "answers belong to other requests", 0,
		},
		"bytes after the answer": {
			func(_ int, conn net.Conn, r *bufio.Reader) {
				for {
					id, err := readRequest(r)
					if err != nil {
						return
					}
					write(conn, answer(id, "whole")+answer(id, "again"))
				}
			}, "whole", "", 2,
		},
		"no length, ends with the connection": {
			func(_ int, conn net.Conn, r *bufio.Reader) {
				id, _ := readRequest(r)
				write(conn, "HTTP/1.1 200 OK\r\n"+headerID+": "+id+"\r\n\r\nwhole")
			}, "whole", "", 2,
		},
		"no length, reset on the way": {
			func(_ int, conn net.Conn, r *bufio.Reader) {
				id, _ := readRequest(r)
				write(conn, "HTTP/1.1 200 OK\r\n"+headerID+": "+id+"\r\n\r\nhal")
				time.Sleep(50 * time.Millisecond) // lets the bytes arrive before the reset
				if tcp, ok := conn.(*net.TCPConn); ok {
					_ = tcp.SetLinger(0)
				}
			}, "hal", "reset", 0,
		},
		"shorter than it says": {
			func(_ int, conn net.Conn, r *bufio.Reader) {
				id, _ := readRequest(r)
				write(conn, strings.Replace(answer(id, "whole"), "whole", "wh", 1))
			}, "wh", "unexpected EOF", 0,
		},
		"no answer in the protocol": {
			func(_ int, conn net.Conn, r *bufio.Reader) {
				_, _ = readRequest(r)
				write(conn, "rubbish\r\n\r\n")
			}, "", "malformed", 0,
		},
		"closes without an answer": {
			func(_ int, _ net.Conn, r *bufio.Reader) { _, _ = readRequest(r) }, "", "EOF", 0,
		},
		"wants the connection closed": {
			func(_ int, conn net.Conn, r *bufio.Reader) {
				id, _ := readRequest(r)
				write(conn, strings.Replace(answer(id, "whole"), "\r\n\r\n", "\r\nConnection: close\r\n\r\n", 1))
			}, "whole", "", 2,
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			address, conns := scriptedServer(t, c.script)
			client := newClient()
			body, err := call(t, client, newCall(address, "1"))
			assert.Equal(t, body, c.body)
			if c.err != "" {
				assert.ErrorContains(t, err, c.err)
				return
			}
			assert.NilError(t, err)
			_, err = call(t, client, newCall(address, "2"))
			assert.NilError(t, err)
			assert.Equal(t, conns.Load(), c.nextConn)
		})
	}
}

// TestEarlyAnswerToLongBody has a server answer before it reads the body and keep
// the connection: the rest of the body must not be taken as the next request.
func TestEarlyAnswerToLongBody(t *testing.T) {
	seen := make(chan string, 2)
	address, conns := scriptedServer(t, func(number int, conn net.Conn, r *bufio.Reader) {
		request, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		id := request.Header.Get(headerID)
		seen <- id
		write(conn, answer(id, "early"))
		if number == 1 {
			time.Sleep(100 * time.Millisecond) // leaves the body in the socket for a while
		}
		_, _ = io.Copy(io.Discard, request.Body)
	})
	client := newClient()
	long := newCall(address, "1")
	long.Body = make([]byte, 16<<20) // more than the socket buffers take
	body, err := call(t, client, long)
	assert.NilError(t, err)
	assert.Equal(t, body, "early")
	_, err = call(t, client, newCall(address, "2"))
	assert.NilError(t, err)
	assert.Equal(t, conns.Load(), int32(2))
	assert.Equal(t, <-seen, "1")
	assert.Equal(t, <-seen, "2")
}

// TestKeptConnectionGone has the server close a kept connection; the next call
// must notice before it sends.
func TestKeptConnectionGone(t *testing.T) {
	address, conns := scriptedServer(t, func(_ int, conn net.Conn, r *bufio.Reader) {
		id, err := readRequest(r)
		if err == nil {
			write(conn, answer(id, "whole"))
		}
	})
	client := newClient()
	for _, id := range []string{"1", "2", "3"} {
		_, err := call(t, client, newCall(address, id))
		assert.NilError(t, err)
		time.Sleep(50 * time.Millisecond) // the close is on its way
	}
	assert.Equal(t, conns.Load(), int32(3))
}

// TestFailuresTellWhatIsKnown tells refused connections from calls that may have run.
func TestFailuresTellWhatIsKnown(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	nobody := listener.Addr().String()
	assert.NilError(t, listener.Close())
	silent, _ := scriptedServer(t, func(_ int, _ net.Conn, r *bufio.Reader) {
		_, _ = readRequest(r)
		_, _ = r.ReadByte() // until the caller closes
	})
	cases := map[string]struct {
		address      string
		sent, silent bool
	}{
		"nobody listens": {nobody, false, false},
		"never answers":  {silent, true, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			k := newCall(c.address, "1")
			k.HeaderDeadline = time.Now().Add(200 * time.Millisecond)
			_, err := newClient().Do(t.Context(), k)
			var failure *CallError
			assert.Assert(t, errors.As(err, &failure))
			assert.Equal(t, failure.Sent, c.sent)
			assert.Equal(t, failure.TimedOut, c.silent)
		})
	}
}

// TestCallerLeaving closes the connection to the server when the context ends, by
// which the server learns that its work isn't wanted.
func TestCallerLeaving(t *testing.T) {
	closed := make(chan struct{})
	address, _ := scriptedServer(t, func(_ int, _ net.Conn, r *bufio.Reader) {
		_, _ = readRequest(r)
		_, _ = r.ReadByte()
		close(closed)
	})
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(50*time.Millisecond, cancel)
	_, err := newClient().Do(ctx, newCall(address, "1"))
	assert.Assert(t, err != nil)
	select {
	case <-closed:
	case <-time.After(patience):
		t.Fatal("the connection stays open")
	}
}

// TestOnceCallsUseFreshConnections lets calls that may run only once use a kept
// connection only right after another call.
func TestOnceCallsUseFreshConnections(t *testing.T) {
	now := time.Now()
	cases := map[string]struct {
		idle  time.Duration
		once  bool
		taken bool
	}{
		"just used":            {10 * time.Millisecond, true, true},
		"idle for a while":     {time.Second, true, false},
		"may run again":        {time.Second, false, true},
		"idle for too long":    {5 * time.Second, false, false},
		"stated time is used":  {time.Second, false, false},
		"stated time is ample": {time.Second, false, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			address, _ := scriptedServer(t, func(_ int, _ net.Conn, r *bufio.Reader) { _, _ = r.ReadByte() })
			raw, err := net.Dial("tcp", address)
			assert.NilError(t, err)
			p := &pool{}
			k := &conn{Conn: raw, reader: bufio.NewReader(raw), pool: p}
			switch name {
			case "stated time is used":
				k.keep = time.Second
			case "stated time is ample":
				k.keep = 10 * time.Second
			}
			p.put(k, now.Add(-c.idle))
			assert.Equal(t, p.take(now, c.once) != nil, c.taken)
		})
	}
}
