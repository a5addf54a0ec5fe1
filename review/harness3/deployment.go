package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"
)

const (
	apiKey     = "n2ctnfzs989anu6wsjnb"
	tenant     = "smiths"
	routeHost  = "desk.example"
	readyTime  = 20 * time.Second
	settleTime = 4 * time.Second // longer than stableWindowMs of the small deployments
)

var zones = []string{"sapporo", "asahikawa", "obihiro"}

// deployment is a small deployment: daemons, engines and the store.
type deployment struct {
	record  *record
	dir     string
	store   *store
	daemons []*daemon
	engines []*engine
	silent  []net.Listener // addresses at which nothing responds
}

func newDeployment(r *record) (*deployment, error) {
	dir, err := os.MkdirTemp("", "review3-")
	if err != nil {
		return nil, err
	}
	s, err := startStore()
	if err != nil {
		return nil, err
	}
	return &deployment{record: r, dir: dir, store: s}, nil
}

// close ends everything that the deployment has started.
func (d *deployment) close() {
	for _, daemon := range d.daemons {
		daemon.kill()
	}
	for _, e := range d.engines {
		e.crash()
	}
	for _, listener := range d.silent {
		_ = listener.Close()
	}
	if os.Getenv("KEEP_LOGS") != "" {
		fmt.Println("logs are kept in", d.dir)
		return
	}
	_ = os.RemoveAll(d.dir)
}

// addEngine starts an engine of the service in the zone.
func (d *deployment) addEngine(id, service, zone string, slots int, serve func(*engine, http.ResponseWriter, *http.Request)) error {
	e := &engine{id: id, service: service, zone: zone, slots: slots, store: d.store, serve: serve}
	d.engines = append(d.engines, e)
	return e.start("")
}

// newDaemon adds a daemon, which is not started.
func (d *deployment) newDaemon(name, zone string) (*daemon, error) {
	n, err := newDaemon(name, zone, d.store.address, d.dir)
	if err == nil {
		d.daemons = append(d.daemons, n)
	}
	return n, err
}

// machines is the number of machines of kitami-commons.
const machines = 7

// startDaemons starts the daemons, spread over the zones, and waits until all are ready.
func (d *deployment) startDaemons() error {
	for i := range machines {
		n, err := d.newDaemon("edge-"+zones[i%len(zones)]+"-"+strconv.Itoa(i/len(zones)+1), zones[i%len(zones)])
		if err != nil {
			return err
		}
		if err := n.start(); err != nil {
			return err
		}
	}
	for _, n := range d.daemons {
		if err := n.awaitReady(readyTime); err != nil {
			return err
		}
	}
	return nil
}

// configure writes the configuration: a stream and a payment route, as on kitami-commons.
func (d *deployment) configure() {
	d.store.put("op", "config", map[string]any{
		"version": 7,
		"routes": []any{
			map[string]any{
				"name": "r-draft", "host": routeHost, "prefix": "/draft/", "kind": "streaming", "service": "pitch", "timeoutMs": 25000,
				"targetLatencyMs": 3000, "priority": 0, "maxAttempts": 3, "public": false, "sticky": true, "resumable": true, "gapAimMs": 1200,
			},
			map[string]any{
				"name": "r-pay", "host": routeHost, "prefix": "/pay/", "kind": "unsafe", "service": "desk", "timeoutMs": 800,
				"targetLatencyMs": 100, "priority": 2, "maxAttempts": 1, "public": false,
			},
			map[string]any{
				"name": "r-read", "host": routeHost, "prefix": "/read/", "kind": "safe", "service": "desk", "timeoutMs": 800,
				"targetLatencyMs": 100, "priority": 2, "maxAttempts": 2, "public": false,
			},
		},
		"services": []any{
			map[string]any{"name": "pitch", "healthPath": "/healthz", "maxConns": 360, "protocol": "h1", "tls": false, "engine": map[string]any{"slots": 64, "kvTokens": 431787, "stride": 6}},
			map[string]any{"name": "desk", "healthPath": "/healthz", "maxConns": 100, "protocol": "h1", "tls": false},
		},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 5000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": tenant, "apiKeys": []string{apiKey}}},
	})
}

// request is what a client sends in one attempt.
type request struct {
	id, method, path, body, prompt string
	deadline                       time.Duration
}

// answer is what a client gets.
type answer struct {
	status int // 0 if the connection ended before the head
	header http.Header
	body   string
	err    error // nil if the answer is complete
}

// send sends the request to the daemon on a new connection.
func (d *deployment) send(n *daemon, q request) answer {
	r, err := http.NewRequest(q.method, "http://"+n.caller+q.path, strings.NewReader(q.body))
	if err != nil {
		return answer{err: err}
	}
	r.Host = routeHost
	r.Header.Set("Request-Id", q.id)
	r.Header.Set("Authorization", "Bearer "+apiKey)
	r.Header.Set("Deadline-Ms", strconv.FormatInt(q.deadline.Milliseconds(), 10))
	if q.prompt != "" {
		r.Header.Set("Model", "m0")
		r.Header.Set("Token-Counts", "900,240")
		r.Header.Set("Prompt-Prefix", q.prompt)
	}
	client := &http.Client{Timeout: q.deadline, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	response, err := client.Do(r)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return answer{response.StatusCode, response.Header, string(body), err}
}
