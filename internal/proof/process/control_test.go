package process

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"gypsumpitch.example/gypsumpitch/internal/decision/tables"
	"gypsumpitch.example/gypsumpitch/internal/experiment/load"
)

// currentTables returns the tables in force.
func (d *deployment) currentTables() *tables.Document {
	body, err := d.callOperator(1, http.MethodGet, "/operator/v1/tables", operatorKey, nil)
	assert.NilError(d.t, err)
	doc := &tables.Document{}
	assert.NilError(d.t, json.Unmarshal(body, doc))
	return doc
}

// putTables replaces the tables and waits until the edit is accepted.
func (d *deployment) putTables(doc *tables.Document) {
	d.editCount++
	body, err := json.Marshal(doc)
	assert.NilError(d.t, err)
	path := fmt.Sprintf("/operator/v1/tables?base_version=%d&edit_id=edit-%d", doc.Version, d.editCount)
	_, err = d.callOperator(1, http.MethodPut, path, operatorKey, body)
	assert.NilError(d.t, err)
}

// TestBadVersionIsWithdrawn guards against a bad version that stays in service. Most
// responses of a version are bad: the daemons must stop using it and the lease holder must
// withdraw it.
func TestBadVersionIsWithdrawn(t *testing.T) {
	d := newDeployment(t)
	d.badPercent = 90
	d.start()
	d.eventually("version withdrawn", func() error {
		for i := 1; i <= daemonCount; i++ {
			if err := d.chatOK(i); err != nil {
				return err
			}
		}
		if state := d.currentTables().Models["small"].Versions["v2"].State; state != tables.Withdrawn {
			return fmt.Errorf("small@v2 is %s", state)
		}
		return nil
	})
	assert.Equal(t, d.currentTables().Models["small"].Versions["v1"].State, tables.Active)
}

// TestEnginesFollowPoolsTable guards against engines that keep their model versions when the
// pools table assigns them others. The lease holder must order each engine to load and
// unload versions, with its fencing number.
func TestEnginesFollowPoolsTable(t *testing.T) {
	d := newDeployment(t)
	d.start()
	doc := d.currentTables()
	doc = doc.WithVersion("small", "v3", tables.ModelVersion{State: tables.Paused})
	for name, server := range doc.Pools["text"].Servers {
		server.Holds = []string{"small@v1", "small@v3"}
		doc.Pools["text"].Servers[name] = server
	}
	d.putTables(doc)
	for i := 1; i <= engineCount; i++ {
		name := fmt.Sprintf("engine-%d", i)
		d.eventually(name, func() error {
			var report struct {
				Holds []string `json:"holds"`
			}
			d.getStandinJSON(name, "/v1/load", &report)
			if got := strings.Join(report.Holds, " "); got != "small@v1 small@v3" {
				return fmt.Errorf("holds %s", got)
			}
			return nil
		})
		var stats struct {
			Orders []string `json:"orders"`
		}
		d.getStandinJSON(name, "/v1/stats", &stats)
		assert.DeepEqual(t, stats.Orders, []string{"1 load small@v3", "1 unload small@v2"})
	}
}

// TestSessionTokens guards against a session that changes its version (property P3) or
// outlives it. The session is used at every daemon while its key is rotated and its version
// is paused. It must end when the version is withdrawn, and its token must be rejected once
// the old key is removed.
func TestSessionTokens(t *testing.T) {
	d := newDeployment(t)
	d.start()
	_, _, header := d.call(1, http.MethodPost, "/v1/chat/completions", chatBody, map[string]string{"X-Session-Start": "1"})
	token, version := header.Get("X-Session-Token"), header.Get("X-Model-Version")
	assert.Assert(t, token != "" && version != "")
	model, modelVersion := tables.SplitVersion(version)

	doc := d.currentTables()
	doc.SessionKeys = append([]tables.SessionKey{{ID: "k2", Secret: "fedcba9876543210"}}, doc.SessionKeys...)
	d.putTables(doc)
	d.applyAction(2, tables.Action{Kind: tables.ActionVersionPause, Name: model, Part: modelVersion})
	send := func(i int) (int, http.Header) {
		status, _, header := d.call(i, http.MethodPost, "/v1/chat/completions", chatBody, map[string]string{"X-Session-Token": token})
		return status, header
	}
	for i := 1; i <= daemonCount; i++ {
		_, header := send(i)
		assert.Equal(t, header.Get("X-Model-Version"), version, "a paused version must keep its sessions")
	}

	d.applyAction(2, tables.Action{Kind: tables.ActionVersionWithdraw, Name: model, Part: modelVersion})
	for i := 1; i <= daemonCount; i++ {
		d.eventually("session ended", func() error {
			status, header := send(i)
			if status != http.StatusConflict || header.Get("X-Result-Code") != "1007" {
				return fmt.Errorf("status %d, code %s", status, header.Get("X-Result-Code"))
			}
			return nil
		})
	}
	doc = d.currentTables()
	doc.SessionKeys = doc.SessionKeys[:1]
	d.putTables(doc)
	d.eventually("token with the removed key rejected", func() error {
		_, header := send(1)
		if header.Get("X-Result-Code") != "1006" {
			return fmt.Errorf("code %s", header.Get("X-Result-Code"))
		}
		return nil
	})
}

// TestUnannouncedColdEngine guards against wrong responses and sessions that change their
// version when an engine turns cold without an announcement. Each engine does so once under
// load. No daemon can know this before the first load report or response, so the number of
// overload crashes is only logged.
func TestUnannouncedColdEngine(t *testing.T) {
	d := newDeployment(t)
	d.start()
	done := make(chan load.Report, 1)
	go func() { done <- load.Run(t.Context(), d.loadPlan(9, 150)) }()
	crashes := 0
	for i := 1; i <= engineCount; i++ {
		time.Sleep(2500 * time.Millisecond)
		name := fmt.Sprintf("engine-%d", i)
		d.setFaults(name, `{"cold":true}`)
		time.Sleep(300 * time.Millisecond)
		var stats struct {
			Crashes int `json:"fell_over"`
		}
		d.getStandinJSON(name, "/v1/stats", &stats)
		crashes += stats.Crashes
	}
	report := <-done
	t.Logf("%d crashes of %d engines; sent %d, served %d, codes %v", crashes, engineCount, report.Sent, report.Served, report.Codes)
	assert.Equal(t, report.WrongAnswers, 0)
	assert.Equal(t, report.MovedSessions, 0)
}

// TestApplyRejectsOutdatedTables guards against a lost edit. The tables are exported, edited
// through another daemon, and then the outdated export is applied: this must fail with
// exit code 3.
func TestApplyRejectsOutdatedTables(t *testing.T) {
	d := newDeployment(t)
	d.start()
	exported, err := json.Marshal(d.currentTables())
	assert.NilError(t, err)
	file := filepath.Join(d.dir, "exported.json")
	assert.NilError(t, os.WriteFile(file, exported, 0o600))
	apply := func() int {
		cmd := exec.Command(filepath.Join(binaryDir, "gypsumpitch"), "--daemon", d.url(2, "operator"), "--key", operatorKey, "apply", file)
		_ = cmd.Run()
		return cmd.ProcessState.ExitCode()
	}
	d.applyAction(1, tables.Action{Kind: tables.ActionVersionPause, Name: "small", Part: "v2"})
	assert.Equal(t, apply(), 3, "outdated tables must be rejected")
	assert.Equal(t, d.currentTables().Models["small"].Versions["v2"].State, tables.Paused)
	exported, err = json.Marshal(d.currentTables())
	assert.NilError(t, err)
	assert.NilError(t, os.WriteFile(file, exported, 0o600))
	assert.Equal(t, apply(), 0)
}
