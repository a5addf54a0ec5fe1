package soak

import (
	"context"
	"fmt"
	"net/http"
	"os/exec"
	"time"
)

// rejection is a process that has rejected a revoked key.
type rejection struct {
	daemon  *daemon
	process *exec.Cmd
	key     string
}

// revokedKey returns a key that the newest configuration does not have.
func (c *cluster) revokedKey() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return guestKey(c.configVersion - configVersionStep)
}

// daemonsThatReject returns the processes that reject the key now.
func (c *cluster) daemonsThatReject(key string) (rejections []rejection) {
	for _, d := range c.daemons {
		if process := d.currentProcess(); process != nil && c.statusForKey(d, key) == http.StatusUnauthorized {
			rejections = append(rejections, rejection{d, process, key})
		}
	}
	return rejections
}

// checkStillRejected reports a violation for each process that accepts a key that it has
// rejected before.
func (c *cluster) checkStillRejected(rejections []rejection) {
	for _, r := range rejections {
		status := c.statusForKey(r.daemon, r.key)
		if status != 0 && status < http.StatusBadRequest && r.daemon.currentProcess() == r.process {
			c.oracle.reportf("%s accepted the revoked key %s again with status %d", r.daemon.name, r.key, status)
		}
	}
}

// statusForKey returns the status of a request with the key; 0 without a response.
func (c *cluster) statusForKey(d *daemon, key string) int {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	id := fmt.Sprintf("%016x", draws.Uint64())
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+d.callerAddress+"/read/"+id, nil)
	if err != nil {
		return 0
	}
	c.oracle.recordRequest(id, key, kindSafe, d)
	r.Host = "desk.example"
	r.Header.Set("Request-Id", id)
	r.Header.Set("Authorization", "Bearer "+key)
	r.Header.Set("Deadline-Ms", "1000")
	r.Close = true
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	return response.StatusCode
}
