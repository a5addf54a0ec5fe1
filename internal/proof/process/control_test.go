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

func (d *deployment) tables() *tables.Document {
	text, err := d.operator(1, http.MethodGet, "/operator/v1/tables", operatorKey, nil)
	assert.NilError(d.t, err)
	doc := &tables.Document{}
	assert.NilError(d.t, json.Unmarshal(text, doc))
	return doc
}

// replace puts changed tables in force.
func (d *deployment) replace(doc *tables.Document) {
	d.edits++
	text, err := json.Marshal(doc)
	assert.NilError(d.t, err)
	path := fmt.Sprintf("/operator/v1/tables?base_version=%d&edit_id=edit-%d", doc.Version, d.edits)
	_, err = d.operator(1, http.MethodPut, path, operatorKey, text)
	assert.NilError(d.t, err)
}

// TestBadVersionIsWithdrawn has a version answer badly under real traffic: the
// daemons stop it and the lease holder withdraws it.
func TestBadVersionIsWithdrawn(t *testing.T) {
	d := newDeployment(t)
	d.badPercent = 90
	d.start()
	d.eventually("withdrawal", func() error {
		for i := 1; i <= daemons; i++ {
			if err := d.chatOK(i); err != nil {
				return err
			}
		}
		if state := d.tables().Models["small"].Versions["v2"].State; state != tables.Withdrawn {
			return fmt.Errorf("small@v2 is %s", state)
		}
		return nil
	})
	assert.Equal(t, d.tables().Models["small"].Versions["v1"].State, tables.Active)
}

// TestEnginesFollowThePoolsTable changes what engines hold, by orders under the
// lease, with a fencing number.
func TestEnginesFollowThePoolsTable(t *testing.T) {
	d := newDeployment(t)
	d.start()
	doc := d.tables()
	doc = doc.WithVersion("small", "v3", tables.ModelVersion{State: tables.Paused})
	for name, server := range doc.Pools["text"].Servers {
		server.Holds = []string{"small@v1", "small@v3"}
		doc.Pools["text"].Servers[name] = server
	}
	d.replace(doc)
	for i := 1; i <= engines; i++ {
		name := fmt.Sprintf("engine-%d", i)
		d.eventually(name, func() error {
			var load struct {
				Holds []string `json:"holds"`
			}
			d.standinJSON(name, "/v1/load", &load)
			if got := strings.Join(load.Holds, " "); got != "small@v1 small@v3" {
				return fmt.Errorf("holds %s", got)
			}
			return nil
		})
		var stats struct {
			Orders []string `json:"orders"`
		}
		d.standinJSON(name, "/v1/stats", &stats)
		assert.DeepEqual(t, stats.Orders, []string{"1 load small@v3", "1 unload small@v2"})
	}
}

// TestSessionTokens follows a session over a rotated key, to another daemon, and
// to the withdrawal of its version: P3.
func TestSessionTokens(t *testing.T) {
	d := newDeployment(t)
	d.start()
	_, _, header := d.call(1, http.MethodPost, "/v1/chat/completions", chatBody, map[string]string{"X-Session-Start": "1"})
	token, version := header.Get("X-Session-Token"), header.Get("X-Model-Version")
	assert.Assert(t, token != "" && version != "")
	model, number := tables.SplitVersion(version)

	doc := d.tables()
	doc.SessionKeys = append([]tables.SessionKey{{ID: "k2", Secret: "fedcba9876543210"}}, doc.SessionKeys...)
	d.replace(doc)
	d.act(2, tables.Action{Kind: tables.ActionVersionPause, Name: model, Part: number})
	ask := func(i int) (int, http.Header) {
		status, _, header := d.call(i, http.MethodPost, "/v1/chat/completions", chatBody, map[string]string{"X-Session-Token": token})
		return status, header
	}
	for i := 1; i <= daemons; i++ {
		_, header := ask(i)
		assert.Equal(t, header.Get("X-Model-Version"), version, "a paused version keeps its sessions")
	}

	d.act(2, tables.Action{Kind: tables.ActionVersionWithdraw, Name: model, Part: number})
	for i := 1; i <= daemons; i++ {
		d.eventually("end of the session", func() error {
			status, header := ask(i)
			if status != http.StatusConflict || header.Get("X-Result-Code") != "1007" {
				return fmt.Errorf("status %d, code %s", status, header.Get("X-Result-Code"))
			}
			return nil
		})
	}
	doc = d.tables()
	doc.SessionKeys = doc.SessionKeys[:1]
	d.replace(doc)
	d.eventually("refusal of the old key", func() error {
		_, header := ask(1)
		if header.Get("X-Result-Code") != "1006" {
			return fmt.Errorf("code %s", header.Get("X-Result-Code"))
		}
		return nil
	})
}

// TestColdWithoutWarning turns each engine cold once under load. Nobody can know
// before the first sees it; how often the engine falls over is logged.
func TestColdWithoutWarning(t *testing.T) {
	d := newDeployment(t)
	d.start()
	done := make(chan load.Report, 1)
	go func() { done <- load.Run(t.Context(), d.plan(9, 150)) }()
	fell := 0
	for i := 1; i <= engines; i++ {
		time.Sleep(2500 * time.Millisecond)
		name := fmt.Sprintf("engine-%d", i)
		d.faults(name, `{"cold":true}`)
		time.Sleep(300 * time.Millisecond)
		var stats struct {
			FellOver int `json:"fell_over"`
		}
		d.standinJSON(name, "/v1/stats", &stats)
		fell += stats.FellOver
	}
	report := <-done
	t.Logf("%d falls of %d engines; sent %d, served %d, codes %v", fell, engines, report.Sent, report.Served, report.Codes)
	assert.Equal(t, report.WrongAnswers, 0)
	assert.Equal(t, report.MovedSessions, 0)
}

// TestApplyLosesNoEdit shows the tables, edits them meanwhile, and applies what
// was shown.
func TestApplyLosesNoEdit(t *testing.T) {
	d := newDeployment(t)
	d.start()
	shown, err := json.Marshal(d.tables())
	assert.NilError(t, err)
	file := filepath.Join(d.dir, "shown.json")
	assert.NilError(t, os.WriteFile(file, shown, 0o600))
	apply := func() int {
		cmd := exec.Command(filepath.Join(binaries, "gypsumpitch"), "--daemon", d.url(2, "operator"), "--key", operatorKey, "apply", file)
		_ = cmd.Run()
		return cmd.ProcessState.ExitCode()
	}
	d.act(1, tables.Action{Kind: tables.ActionVersionPause, Name: "small", Part: "v2"})
	assert.Equal(t, apply(), 3, "the pause would be lost")
	assert.Equal(t, d.tables().Models["small"].Versions["v2"].State, tables.Paused)
	shown, err = json.Marshal(d.tables())
	assert.NilError(t, err)
	assert.NilError(t, os.WriteFile(file, shown, 0o600))
	assert.Equal(t, apply(), 0)
}
