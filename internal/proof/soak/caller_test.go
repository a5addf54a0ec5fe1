package soak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"
)

// requestKind is the kind of a caller's request. Its value is the name of the route and
// the first segment of the path.
type requestKind string

const (
	kindAtMostOnce       requestKind = "pay"   // must not run twice
	kindSafe             requestKind = "read"  // may be retried
	kindResumableStream  requestKind = "draft" // a stream that may be resumed on another engine
	kindAtMostOnceStream requestKind = "song"  // a stream that must not run twice
)

func (k requestKind) atMostOnce() bool { return k == kindAtMostOnce || k == kindAtMostOnceStream }
func (k requestKind) streaming() bool  { return k == kindResumableStream || k == kindAtMostOnceStream }

const (
	requestTimeout = 6 * time.Second
	maxThinkTime   = 15 * time.Millisecond // between two requests of a caller
)

// runCaller sends requests one after the other on persistent connections until the context
// ends.
func (c *cluster) runCaller(ctx context.Context, rng *rand.Rand) {
	transport := &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 1}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}
	d := c.daemons[rng.IntN(len(c.daemons))]
	kinds := []requestKind{kindAtMostOnce, kindSafe, kindResumableStream, kindAtMostOnceStream}
	for ctx.Err() == nil {
		time.Sleep(time.Duration(rng.Int64N(int64(maxThinkTime))))
		if !c.sendRequest(client, d, kinds[rng.IntN(len(kinds))], fmt.Sprintf("%016x", rng.Uint64()), c.chooseKey(rng.IntN(2) == 0)) {
			// The connection is closed, and a load balancer would choose a daemon again.
			d = c.daemons[rng.IntN(len(c.daemons))]
		}
	}
}

// sendRequest sends one request and reports whether the response was complete, whatever
// its status.
func (c *cluster) sendRequest(client *http.Client, d *daemon, k requestKind, id, key string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+d.callerAddress+"/"+string(k)+"/"+id, nil)
	if err != nil {
		c.oracle.reportf("%s: %v", id, err)
		return false
	}
	r.Host = "desk.example"
	r.Header.Set("Request-Id", id)
	r.Header.Set("Authorization", "Bearer "+key)
	r.Header.Set("Deadline-Ms", fmt.Sprint(requestTimeout.Milliseconds()))
	sent := c.oracle.recordRequest(id, key, k, d)
	response, err := client.Do(r)
	if err != nil {
		c.recordEnd(sent, 0, ctx.Err() == nil && !isTimeout(err) && !isConnectionRefused(err))
		return false
	}
	defer func() { _ = response.Body.Close() }()
	c.oracle.recordResponse(d, response.Header)
	body, err := io.ReadAll(response.Body)
	c.recordEnd(sent, response.StatusCode, err != nil && ctx.Err() == nil && !isTimeout(err))
	if err == nil && response.StatusCode == http.StatusOK {
		c.oracle.checkResponse(sent, response.Header, string(body))
	}
	return err == nil
}

// post sends a request with the ID, path and body, and with the prompt unless it is empty, to
// the daemon. It returns the body of the response, and whether that is complete with status 200.
func post(ctx context.Context, d *daemon, id, path, body, prompt string) (string, bool) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+d.callerAddress+path, strings.NewReader(body))
	if err != nil {
		return "", false
	}
	r.Host = "desk.example"
	r.Header.Set("Request-Id", id)
	r.Header.Set("Authorization", "Bearer "+accountKey)
	r.Header.Set("Deadline-Ms", fmt.Sprint(requestTimeout.Milliseconds()))
	if prompt != "" {
		r.Header.Set("Token-Counts", "900,60")
		r.Header.Set("Prompt-Prefix", prompt)
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return "", false
	}
	defer func() { _ = response.Body.Close() }()
	received, err := io.ReadAll(response.Body)
	return string(received), err == nil && response.StatusCode == http.StatusOK
}

// isTimeout reports whether the caller gave up, by the deadline of the request or the
// timeout of the client.
func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

func (c *cluster) recordEnd(r *request, status int, interrupted bool) {
	c.oracle.mu.Lock()
	defer c.oracle.mu.Unlock()
	r.endedAt, r.status, r.interrupted = time.Now(), status, interrupted
}
