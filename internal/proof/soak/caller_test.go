package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"
)

// kind is what a caller asks for.
type kind string

const (
	pay   kind = "pay"   // may run once
	read  kind = "read"  // may be repeated
	draft kind = "draft" // a stream that may be resumed
	song  kind = "song"  // a stream that may run once
)

func (k kind) once() bool    { return k == pay || k == song }
func (k kind) streams() bool { return k == draft || k == song }

const (
	callerPatience = 6 * time.Second
	callerPause    = 15 * time.Millisecond // between two requests, at most
)

// call makes requests one after the other on kept connections until the context ends.
func (w *world) call(ctx context.Context, chance *rand.Rand) {
	transport := &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 1}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}
	d := w.daemons[chance.IntN(len(w.daemons))]
	kinds := []kind{pay, read, draft, song}
	for ctx.Err() == nil {
		time.Sleep(time.Duration(chance.Int64N(int64(callerPause))))
		if !w.request(client, d, kinds[chance.IntN(len(kinds))], fmt.Sprintf("%016x", chance.Uint64())) {
			// The connection has ended; the balancer gives another daemon.
			d = w.daemons[chance.IntN(len(w.daemons))]
		}
	}
}

// request makes one request and tells whether it was answered.
func (w *world) request(client *http.Client, d *daemon, k kind, id string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), callerPatience)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+d.caller+"/"+string(k)+"/"+id, nil)
	if err != nil {
		w.oracle.fault("%s: %v", id, err)
		return false
	}
	r.Host = "desk.example"
	r.Header.Set("Request-Id", id)
	r.Header.Set("Authorization", "Bearer "+accountKey)
	r.Header.Set("Deadline-Ms", fmt.Sprint(callerPatience.Milliseconds()))
	s := w.oracle.begin(id, k, d)
	answer, err := client.Do(r)
	if err != nil {
		w.end(s, 0, ctx.Err() == nil && !isRefusedConnection(err))
		return false
	}
	defer func() { _ = answer.Body.Close() }()
	body, err := io.ReadAll(answer.Body)
	w.end(s, answer.StatusCode, err != nil && ctx.Err() == nil)
	if err == nil && answer.StatusCode == http.StatusOK {
		w.oracle.whole(s, answer.Header, string(body))
	}
	return err == nil
}

func (w *world) end(s *sent, status int, broken bool) {
	w.oracle.mu.Lock()
	defer w.oracle.mu.Unlock()
	s.ended, s.status, s.broken = time.Now(), status, broken
}
