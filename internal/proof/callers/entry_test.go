package callers

import (
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"gypsumpitch.example/gypsumpitch/internal/control/peer"
)

const (
	endlessBytes = 4 << 20 // of what has no end
	blockBytes   = 64 << 10
	chunked      = "Transfer-Encoding: chunked\r\n\r\n"
)

// shortLine returns a short header line of its own name.
func shortLine(i int) string { return fmt.Sprintf("x%05x:\r\n", i) }

const shortLineBytes = 9

// legalHead returns a header of short lines that is as large as the limit allows.
func legalHead(start string, limit int) string {
	var b strings.Builder
	b.WriteString(start)
	for i := 0; b.Len() < limit-2*shortLineBytes; i++ {
		b.WriteString(shortLine(i))
	}
	b.WriteString("\r\n")
	return b.String()
}

// TestHeadsOverLimit guards against headers that are held as a whole before their size is checked.
func TestHeadsOverLimit(t *testing.T) {
	d := startEntry(t, entryOptions{})
	d.checkCrowd(crowdSize, d.caller, script{start: d.head("/app/1"), repeat: shortLine, parts: (1 << 20) / shortLineBytes, end: "\r\n"})
}

// TestHeadsOfOneName guards against the memory of a name that is repeated in many lines.
func TestHeadsOfOneName(t *testing.T) {
	d := startEntry(t, entryOptions{})
	d.checkCrowd(crowdSize, d.caller, script{start: d.head("/app/1"), repeat: same("a:\r\n"), parts: (1 << 20) / len("a:\r\n"), end: "\r\n"})
}

// TestHeadsWithoutEnd guards against headers that never end.
func TestHeadsWithoutEnd(t *testing.T) {
	d := startEntry(t, entryOptions{})
	d.checkCrowd(crowdSize, d.caller, script{start: d.head("/app/1"), repeat: shortLine, parts: endlessBytes / shortLineBytes})
}

// TestEmptyLinesWithoutEnd guards against empty lines before a request that never comes.
func TestEmptyLinesWithoutEnd(t *testing.T) {
	d := startEntry(t, entryOptions{})
	d.checkCrowd(crowdSize, d.caller, script{repeat: same(strings.Repeat("\r\n", blockBytes/2)), parts: endlessBytes / blockBytes})
}

// TestLineWithoutEnd guards against a request line that never ends.
func TestLineWithoutEnd(t *testing.T) {
	d := startEntry(t, entryOptions{})
	d.checkCrowd(crowdSize, d.caller, script{start: "GET /app/", repeat: same(strings.Repeat("x", blockBytes)), parts: endlessBytes / blockBytes})
}

// TestLegalHeads guards against the memory of many headers of short lines, each of legal size,
// while their requests run at a server.
func TestLegalHeads(t *testing.T) {
	d := startEntry(t, entryOptions{})
	d.checkCrowd(crowdSize, d.caller, script{start: legalHead(d.head("/app/slow/1"), maxHeaderBytes)})
}

// TestPipelinedHeads guards against the memory of requests with legal headers that are sent
// without reading the responses.
func TestPipelinedHeads(t *testing.T) {
	const pipelined = 16
	d := startEntry(t, entryOptions{})
	head := legalHead(d.head("/app/1"), maxHeaderBytes)
	d.checkCrowd(crowdSize, d.caller, script{repeat: same(head), parts: pipelined})
}

// TestChunkedBodiesShort guards against the memory of bodies in large chunks that stop short of
// their end and stay open.
func TestChunkedBodiesShort(t *testing.T) {
	for _, sharedCapacity := range []string{"on", "off"} {
		t.Run(sharedCapacity, func(t *testing.T) {
			d := startEntry(t, entryOptions{sharedCapacity: sharedCapacity})
			d.checkCrowd(crowdSize, d.caller, script{
				start: d.head("/app/1") + chunked, repeat: same(chunk("10000", blockBytes)), parts: maxBodyBytes/blockBytes - 1,
				end: "10000\r\n" + strings.Repeat("x", blockBytes-1),
			})
		})
	}
}

// TestChunksOfOneByte guards against the memory of bodies in chunks of one byte that stop short
// of their end and stay open.
func TestChunksOfOneByte(t *testing.T) {
	const bodyBytes = 256 << 10
	d := startEntry(t, entryOptions{})
	d.checkCrowd(crowdSize, d.caller, script{start: d.head("/app/1") + chunked, repeat: same(chunk("1", 1)), parts: bodyBytes})
}

// TestBodiesWithLengthShort guards against the memory of bodies with a length that stop short of
// their end and stay open.
func TestBodiesWithLengthShort(t *testing.T) {
	d := startEntry(t, entryOptions{})
	d.checkCrowd(crowdSize, d.caller, script{
		start: d.head("/app/1") + fmt.Sprintf("Content-Length: %d\r\n\r\n", maxBodyBytes), repeat: same(strings.Repeat("x", blockBytes)),
		parts: maxBodyBytes/blockBytes - 1, end: strings.Repeat("x", blockBytes-1),
	})
}

// stalledSize is the number of clients that stop after the first byte of a body.
const stalledSize = 400

// TestStalledBodies guards against bodies that stop after a byte and stay open: what is reserved
// for them must not be kept from ordinary callers.
func TestStalledBodies(t *testing.T) {
	for _, sharedCapacity := range []string{"on", "off"} {
		t.Run(sharedCapacity, func(t *testing.T) {
			d := startEntry(t, entryOptions{sharedCapacity: sharedCapacity})
			d.checkCrowd(stalledSize, d.caller, script{start: d.head("/app/1") + chunked + chunk("1", 1)})
		})
	}
}

// TestMoreConnectionsThanFiles guards against callers that take all file descriptors of the host.
func TestMoreConnectionsThanFiles(t *testing.T) {
	cases := map[string]string{
		"nothing sent": "",
		"idle":         "GET /unknown HTTP/1.1\r\nHost: desk.example\r\n\r\n",
		"body stalled": "POST /app/1 HTTP/1.1\r\nHost: desk.example\r\n" + chunked + chunk("1", 1),
	}
	for name, start := range cases {
		t.Run(name, func(t *testing.T) {
			d := startEntry(t, entryOptions{maxFiles: fewFiles})
			d.checkCrowd(stalledSize, d.caller, script{start: start})
		})
	}
}

// TestOtherListenersHeads guards against headers over any limit at the listeners for readiness
// checks and metrics.
func TestOtherListenersHeads(t *testing.T) {
	for name, address := range map[string]func(*deployment) string{
		"readiness": func(d *deployment) string { return d.ready }, "metrics": func(d *deployment) string { return d.metrics },
	} {
		t.Run(name, func(t *testing.T) {
			d := startEntry(t, entryOptions{})
			d.checkCrowd(crowdSize, address(d), script{
				start: "GET /metrics HTTP/1.1\r\nHost: a\r\n", repeat: shortLine, parts: (1 << 20) / shortLineBytes, end: "\r\n",
			})
		})
	}
}

// TestOtherListenersConnections guards against connections to the other listeners that take all
// file descriptors of the host, and against readiness checks that are kept out by them.
func TestOtherListenersConnections(t *testing.T) {
	const request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"
	cases := map[string]struct {
		address func(*deployment) string
		start   string
	}{
		"readiness": {func(d *deployment) string { return d.ready }, request},
		"metrics":   {func(d *deployment) string { return d.metrics }, request},
		"peers":     {func(d *deployment) string { return d.peer }, ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			d := startEntry(t, entryOptions{maxFiles: fewFiles})
			crowd := startCrowd(t, stalledSize, c.address(d), script{start: c.start})
			eventually(t, "a readiness check beside the crowd", func() error { return d.checkReady() })
			d.checkBeside(crowd)
		})
	}
}

// checkReady returns an error unless the readiness check has status 200.
func (d *deployment) checkReady() error {
	conn, err := net.DialTimeout("tcp", d.ready, 5*time.Second)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	if err := conn.SetDeadline(time.Now().Add(5 * time.Second)); err != nil {
		return err
	}
	if _, err := io.WriteString(conn, "GET /ready HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"); err != nil {
		return err
	}
	response, err := io.ReadAll(conn)
	if err != nil {
		return err
	}
	if !strings.HasPrefix(string(response), "HTTP/1.1 200 ") {
		return fmt.Errorf("readiness check: %q", response)
	}
	return nil
}

// frameStart returns the first bytes of a frame between daemons that claims the size.
func frameStart(size int) string { return string(binary.BigEndian.AppendUint32(nil, uint32(size))) }

// TestPeerFramesBeforeHandshake guards against the memory of frames from clients that haven't
// proved that they are daemons.
func TestPeerFramesBeforeHandshake(t *testing.T) {
	const clients, frameBytes = 40, 16 << 20
	d := startEntry(t, entryOptions{})
	d.checkCrowd(clients, d.peer, script{
		start: frameStart(frameBytes + 1), repeat: same(strings.Repeat("x", blockBytes)), parts: frameBytes / blockBytes,
	})
}

// TestPeerFrames guards against the memory of large calls of many peers at once.
func TestPeerFrames(t *testing.T) {
	const clients, callBytes, calls = 20, 8 << 20, 4
	d := startEntry(t, entryOptions{})
	var callers sync.WaitGroup
	for range clients {
		client := peer.NewClient("", nil)
		t.Cleanup(client.CloseAll)
		callers.Go(func() {
			for range calls {
				_, _ = peer.Call[[]byte, peer.Empty](t.Context(), client, d.peer, "unknown", make([]byte, callBytes))
			}
		})
	}
	callers.Wait()
	d.checkBeside(&crowd{})
}

// TestLargestRequestsInCalm guards against limits that a single legal request meets.
func TestLargestRequestsInCalm(t *testing.T) {
	const largestHead = 1 << 20 // that a configuration can allow
	oneName := func(start string) string {
		return start + strings.Repeat("a:\r\n", (largestHead-len(start)-64)/len("a:\r\n")) + "\r\n"
	}
	cases := map[string]func(head string) script{
		"head of short lines": func(head string) script { return script{start: legalHead(head, largestHead-64)} },
		"head of one name":    func(head string) script { return script{start: oneName(head)} },
		"body with length": func(head string) script {
			return script{start: head + fmt.Sprintf("Content-Length: %d\r\n\r\n", maxBodyBytes), repeat: same(strings.Repeat("x", blockBytes)), parts: maxBodyBytes / blockBytes}
		},
		"body in large chunks": func(head string) script {
			return script{start: head + chunked, repeat: same(chunk("10000", blockBytes)), parts: maxBodyBytes / blockBytes, end: "0\r\n\r\n"}
		},
		"body in small chunks": func(head string) script {
			return script{start: head + chunked, repeat: same(chunk("1", 1)), parts: maxBodyBytes, end: "0\r\n\r\n"}
		},
	}
	for name, request := range cases {
		t.Run(name, func(t *testing.T) {
			d := startEntry(t, entryOptions{headerBytes: largestHead})
			d.checkServed(request(d.head("/app/1")))
			d.checkBeside(&crowd{})
		})
	}
}

// checkServed fails the test unless the request is served, once the limits of the configuration
// apply.
func (d *deployment) checkServed(s script) {
	d.t.Helper()
	eventually(d.t, "a large request in calm", func() error {
		conn, err := net.Dial("tcp", d.caller)
		if err != nil {
			return err
		}
		defer func() { _ = conn.Close() }()
		if err := s.send(conn); err != nil {
			return err
		}
		if err := conn.SetReadDeadline(time.Now().Add(eventuallyTimeout)); err != nil {
			return err
		}
		status := make([]byte, len("HTTP/1.1 200 OK"))
		if _, err := io.ReadFull(conn, status); err != nil {
			return err
		}
		if string(status) != "HTTP/1.1 200 OK" {
			return fmt.Errorf("status line %q", status)
		}
		return nil
	})
}
