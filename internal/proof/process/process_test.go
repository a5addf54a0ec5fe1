package process

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/openai/openai-go"
	"github.com/openai/openai-go/option"
	"gotest.tools/v3/assert"

	"gypsumpitch.example/gypsumpitch/internal/control/operator"
	"gypsumpitch.example/gypsumpitch/internal/decision/tables"
	"gypsumpitch.example/gypsumpitch/internal/experiment/load"
	"gypsumpitch.example/gypsumpitch/internal/platform/tableservice"
)

// TestStandardClients guards against an API that needs a client of this project: an
// unmodified chat-completions library and a plain HTTP client must work.
func TestStandardClients(t *testing.T) {
	d := newDeployment(t)
	d.start()
	client := openai.NewClient(option.WithBaseURL(d.url(2, "caller")+"/v1"), option.WithAPIKey(accountKey))
	params := openai.ChatCompletionNewParams{Model: "desk", Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage("a gate hinge")}}
	completion, err := client.Chat.Completions.New(t.Context(), params)
	assert.NilError(t, err)
	assert.Equal(t, completion.Model, "desk")
	stream := client.Chat.Completions.NewStreaming(t.Context(), params)
	text := ""
	for stream.Next() {
		if chunk := stream.Current(); len(chunk.Choices) > 0 {
			text += chunk.Choices[0].Delta.Content
		}
	}
	assert.NilError(t, stream.Err())
	assert.Equal(t, strings.TrimSpace(text), completion.Choices[0].Message.Content)

	status, body, header := d.call(3, http.MethodPut, "/ledger/notes?page=2", "a note", map[string]string{"X-Demo": "kept", "Idempotency-Key": "n1"})
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, header.Get("X-Run"), "yes")
	var received map[string]string // the request as the app received it
	assert.NilError(t, json.Unmarshal([]byte(body), &received))
	assert.DeepEqual(t, received, map[string]string{"method": "PUT", "path": "/ledger/notes", "query": "page=2", "body": "a note", "header": "kept"})
}

// TestInterruptedAndMismatchedResponses guards against responses that reach the wrong caller
// or end early (property P7). Engines and apps respond with another request's ID or
// interrupt a stream: a chat must still get a complete response, and a payment whose
// response belonged to another request must be reported as possibly run.
func TestInterruptedAndMismatchedResponses(t *testing.T) {
	d := newDeployment(t)
	d.start()
	_, want, _ := d.call(1, http.MethodPost, "/v1/chat/completions", strings.Replace(chatBody, "{", `{"stream":true,`, 1), nil)
	d.setFaults("engine-1", `{"cross_answers":1}`)
	d.setFaults("engine-2", `{"cross_answers":1}`)
	d.setFaults("engine-3", `{"cut_streams":1}`)
	for range 4 {
		status, got, _ := d.call(1, http.MethodPost, "/v1/chat/completions", strings.Replace(chatBody, "{", `{"stream":true,`, 1), nil)
		assert.Equal(t, status, http.StatusOK)
		assert.Equal(t, streamedText(got), streamedText(want))
		assert.Assert(t, strings.HasSuffix(got, "data: [DONE]\n\n"))
	}
	for i := 1; i <= 2; i++ {
		d.setFaults(fmt.Sprintf("app-%d", i), `{"cross_answers":1}`)
	}
	status, body, header := d.call(1, http.MethodPost, "/ledger/entries", "pay 5", map[string]string{"Idempotency-Key": "crossed"})
	assert.Equal(t, status, http.StatusBadGateway, body)
	assert.Equal(t, header.Get("X-Run"), "unknown", "the payment may have run, since its response belonged to another request")
}

// streamedText joins the content of a stream's events.
func streamedText(stream string) string {
	var words []string
	for _, line := range strings.Split(stream, "\n") {
		_, after, found := strings.Cut(line, `"content":"`)
		if found {
			word, _, _ := strings.Cut(after, `"`)
			words = append(words, strings.TrimSpace(word))
		}
	}
	return strings.Join(words, " ")
}

// TestPlannedStopsInterruptNoRequest guards against a graceful stop that interrupts requests
// (property P11). Every daemon is restarted twice, one after the other, under load.
func TestPlannedStopsInterruptNoRequest(t *testing.T) {
	d := newDeployment(t)
	d.tokenInterval = "80ms" // responses take longer than balancer_wait_ms
	d.start()
	done := make(chan load.Report, 1)
	go func() { done <- load.Run(context.Background(), d.loadPlan(24, 40)) }()
	for round := range 2 * daemonCount {
		i := round%daemonCount + 1
		time.Sleep(300 * time.Millisecond)
		d.stop(daemonName(i))
		d.startDaemon(i)
		d.waitReady(i)
	}
	report := <-done
	t.Logf("sent %d, served %d, codes %v", report.Sent, report.Served, report.Codes)
	assert.Equal(t, report.Truncated, 0, "a planned stop interrupted requests")
	assert.Equal(t, report.NoConnection, 0)
	assert.Equal(t, report.MovedSessions, 0)
	assert.Equal(t, report.WrongAnswers, 0)
	d.checkBilledAndRunOnce(report)
}

// TestKillsUnderLoad guards against lost bills, wrong responses and repeated payments after
// a crash (properties P4, P7 and P9). Each daemon, an engine and an app are killed and
// restarted under load.
func TestKillsUnderLoad(t *testing.T) {
	d := newDeployment(t)
	d.start()
	done := make(chan load.Report, 1)
	go func() { done <- load.Run(context.Background(), d.loadPlan(9, 60)) }()
	time.Sleep(time.Second)
	for _, name := range []string{"entry-1", "engine-1", "entry-2", "app-1", "entry-3"} {
		d.kill(name)
		time.Sleep(700 * time.Millisecond)
		switch {
		case strings.HasPrefix(name, "entry"):
			var i int
			_, _ = fmt.Sscanf(name, "entry-%d", &i)
			d.startDaemon(i)
			d.waitReady(i)
		case name == "engine-1":
			d.startStandin(name, "engine", "--holds", "small@v1", "--holds", "small@v2", "--cold-for", "300ms", "--slots", "64")
		default:
			d.startStandin(name, "app")
		}
		time.Sleep(700 * time.Millisecond)
	}
	report := <-done
	t.Logf("sent %d, served %d, codes %v", report.Sent, report.Served, report.Codes)
	assert.Assert(t, report.Served > report.Sent/2)
	assert.Equal(t, report.MovedSessions, 0)
	assert.Equal(t, report.WrongAnswers, 0)
	d.checkBilledAndRunOnce(report)
}

// TestTableServiceOutageUnderLoad guards against lost bills, repeated payments and rejected
// model requests in an outage of the table service (properties P4, P8, P9 and P12). A daemon
// is killed and restarted during the outage under load. Payments must be rejected as not
// run.
func TestTableServiceOutageUnderLoad(t *testing.T) {
	d := newDeployment(t)
	d.start()
	d.setFaults("table", `{"down":true}`)
	done := make(chan load.Report, 1)
	go func() { done <- load.Run(context.Background(), d.loadPlan(8, 40)) }()
	time.Sleep(2 * time.Second)
	d.kill("entry-2")
	d.startDaemon(2)
	d.waitReady(2)
	status, body, header := d.call(2, http.MethodPost, "/ledger/entries", "pay 5", map[string]string{"Idempotency-Key": "in-outage"})
	assert.Equal(t, status, http.StatusServiceUnavailable, body)
	assert.Equal(t, header.Get("X-Run"), "no")
	assert.Assert(t, header.Get("Retry-After") != "")
	report := <-done
	d.setFaults("table", `{}`)
	t.Logf("sent %d, served %d, codes %v", report.Sent, report.Served, report.Codes)
	served := 0
	for _, o := range report.Outcomes {
		if o.OK && (o.Kind == load.KindComplete || o.Kind == load.KindStream) {
			served++
		}
		assert.Assert(t, !o.OK || o.Kind != load.KindPost, "a payment ran without its claim")
	}
	assert.Assert(t, served > 0, "model requests must be served")
	d.checkBilledAndRunOnce(report)
}

// checkBilledAndRunOnce fails the test unless each request with a successful response has
// exactly one bill and no payment ran twice.
func (d *deployment) checkBilledAndRunOnce(report load.Report) {
	d.t.Helper()
	for _, o := range report.Outcomes {
		if !o.OK {
			continue
		}
		id := o.RequestID
		if o.IdempotencyKey != "" {
			id = "key/smiths/" + o.IdempotencyKey
		}
		d.eventually("bill of "+id, func() error {
			var row tableservice.Row
			response, err := http.Get("http://" + d.addresses["table"] + "/v1/row?table=bills&key=" + id)
			if err != nil {
				return err
			}
			defer func() { _ = response.Body.Close() }()
			if response.StatusCode != http.StatusOK {
				return fmt.Errorf("status %d", response.StatusCode)
			}
			if err := json.NewDecoder(response.Body).Decode(&row); err != nil {
				return err
			}
			assert.Equal(d.t, row.Version, int64(1), "a bill was written twice")
			return nil
		})
	}
	runsByKey := map[string]int{}
	for _, app := range []string{"app-1", "app-2"} {
		var runs map[string]int
		d.getStandinJSON(app, "/v1/runs", &runs)
		for key, n := range runs {
			runsByKey[key] += n
		}
	}
	for key, n := range runsByKey {
		assert.Assert(d.t, n <= 1, "%s ran %d times", key, n)
	}
}

// TestResumedDaemonDoesNotUseOutdatedTables guards against a daemon that resumes with the
// tables from before it was frozen (properties P2, P6 and P12). Meanwhile a version is
// withdrawn and a data centre is taken out of service.
func TestResumedDaemonDoesNotUseOutdatedTables(t *testing.T) {
	d := newDeployment(t)
	d.start()
	d.signal("entry-3", syscall.SIGSTOP)
	d.applyAction(1, tables.Action{Kind: tables.ActionVersionWithdraw, Name: "small", Part: "v1"})
	d.applyAction(1, tables.Action{Kind: tables.ActionDataCentreOut, Name: "dc-2"})
	time.Sleep(4 * time.Second) // longer than the confirmation window
	before := d.servedCounts("engine-1", "engine-2", "engine-3")
	d.signal("entry-3", syscall.SIGCONT)
	for range 40 {
		d.call(3, http.MethodPost, "/v1/chat/completions", chatBody, nil)
	}
	after := d.servedCounts("engine-1", "engine-2", "engine-3")
	assert.Equal(t, after["small@v1"], before["small@v1"], "a request ran on the withdrawn version")
	d.applyAction(1, tables.Action{Kind: tables.ActionDataCentreIn, Name: "dc-2"})
	d.waitReady(3)
	d.eventually("entry-3 serves", func() error { return d.chatOK(3) })
}

// servedCounts returns the number of requests served by the engines, by engine name and by
// version.
func (d *deployment) servedCounts(names ...string) map[string]int {
	total := map[string]int{}
	for _, name := range names {
		var stats struct {
			Served map[string]int `json:"served"`
		}
		d.getStandinJSON(name, "/v1/stats", &stats)
		for version, n := range stats.Served {
			total[version] += n
			total[name] += n
		}
	}
	return total
}

// TestLeavingServerGetsNoNewWork guards against new work for an engine that is about to
// leave (property P10), announced by itself, by the host list or by an operator.
func TestLeavingServerGetsNoNewWork(t *testing.T) {
	cases := map[string]func(*deployment){
		"load report": func(d *deployment) { d.setFaults("engine-1", `{"leaving":true}`) },
		"host list": func(d *deployment) {
			body := fmt.Sprintf(`{"address":%q,"leaving":true}`, d.addresses["engine-1"])
			response, err := http.Post("http://"+d.addresses["hosts"]+"/v1/hosts", "application/json", strings.NewReader(body))
			assert.NilError(d.t, err)
			assert.NilError(d.t, response.Body.Close())
		},
		"operator": func(d *deployment) {
			d.applyAction(1, tables.Action{Kind: tables.ActionServerOut, Name: "text", Part: "engine-1"})
		},
	}
	for name, announce := range cases {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t)
			d.start()
			announce(d)
			time.Sleep(2 * time.Second) // the time within which the daemons must stop using it
			before := d.servedCounts("engine-1")
			report := load.Run(t.Context(), d.loadPlan(2, 60))
			assert.Equal(t, d.servedCounts("engine-1")["engine-1"], before["engine-1"], "the leaving engine received new work")
			assert.Equal(t, report.Served, report.Sent, "%v", report.Codes)
		})
	}
}

// TestInvalidRequests guards against an invalid request that is run, or rejected with
// another result code than its own.
func TestInvalidRequests(t *testing.T) {
	d := newDeployment(t)
	d.start()
	cases := map[string]struct {
		method, path, body string
		headers            map[string]string
		code               string
	}{
		"no key":                  {http.MethodPost, "/v1/chat/completions", chatBody, map[string]string{"Authorization": ""}, "1003"},
		"malformed body":          {http.MethodPost, "/v1/chat/completions", "{", nil, "1001"},
		"no messages":             {http.MethodPost, "/v1/chat/completions", `{"model":"desk"}`, nil, "1001"},
		"unknown model":           {http.MethodPost, "/v1/chat/completions", `{"model":"x","messages":[{}]}`, nil, "1004"},
		"unknown path":            {http.MethodGet, "/nowhere", "", nil, "1004"},
		"body too large":          {http.MethodPost, "/ledger/x", strings.Repeat("x", 5<<20), map[string]string{"Idempotency-Key": "big"}, "1002"},
		"no idempotency key":      {http.MethodPost, "/ledger/x", "pay", nil, "4001"},
		"malformed timeout":       {http.MethodGet, "/ledger/x", "", map[string]string{"X-Request-Timeout-Ms": "soon"}, "1001"},
		"upgrade":                 {http.MethodGet, "/ledger/x", "", map[string]string{"Connection": "Upgrade", "Upgrade": "websocket"}, "1009"},
		"malformed session token": {http.MethodPost, "/v1/chat/completions", chatBody, map[string]string{"X-Session-Token": "k1.a.b"}, "1006"},
		"session ID too long":     {http.MethodPost, "/v1/chat/completions", chatBody, map[string]string{"X-Session-Id": strings.Repeat("s", 300)}, "1001"},
		"negative timeout":        {http.MethodPost, "/v1/chat/completions", chatBody, map[string]string{"X-Request-Timeout-Ms": "-5"}, "1001"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			_, body, header := d.call(1, c.method, c.path, c.body, c.headers)
			assert.Equal(t, header.Get("X-Result-Code"), c.code, body)
			assert.Equal(t, header.Get("X-Run"), "no")
		})
	}
}

// TestConcurrentEdits guards against lost and repeated edits (property P12). Of two edits of
// the same version through different daemons one must be rejected, and an edit that is
// retried because its response was lost must be applied once.
func TestConcurrentEdits(t *testing.T) {
	d := newDeployment(t)
	d.start()
	body, err := d.callOperator(1, http.MethodGet, "/operator/v1/tables", operatorKey, nil)
	assert.NilError(t, err)
	results := make(chan error, 2)
	for i := 1; i <= 2; i++ {
		go func() {
			_, err := d.callOperator(i, http.MethodPut, fmt.Sprintf("/operator/v1/tables?base_version=1&edit_id=race-%d", i), operatorKey, body)
			results <- err
		}()
	}
	first, second := <-results, <-results
	assert.Assert(t, (first == nil) != (second == nil), "exactly one edit must succeed: %v, %v", first, second)
	d.setFaults("table", `{"lose_answers":1}`)
	d.applyAction(2, tables.Action{Kind: tables.ActionVersionPause, Name: "small", Part: "v2"})
	status, err := d.callOperator(3, http.MethodGet, "/operator/v1/status?all=1", operatorKey, nil)
	assert.NilError(t, err)
	var statuses []operator.Status
	assert.NilError(t, json.Unmarshal(status, &statuses))
	assert.Equal(t, len(statuses), daemonCount)
	assert.Equal(t, statuses[0].Version, int64(3), "the edit whose response was lost must be applied once")
}

// TestLateResponses guards against late responses that reach another caller or hide that a
// request may have run (properties P7 and P8). Every engine and app responds after the
// caller's timeout: the caller must get status 504 with an unknown outcome, and later
// requests on the same connections must get their own responses.
func TestLateResponses(t *testing.T) {
	d := newDeployment(t)
	d.start()
	slowServers := []string{"engine-1", "engine-2", "engine-3", "app-1", "app-2"}
	for _, name := range slowServers {
		d.setFaults(name, `{"slow_ms":3000}`)
	}
	shortTimeout := map[string]string{"X-Request-Timeout-Ms": "300", "Idempotency-Key": "late"}
	status, body, header := d.call(1, http.MethodPost, "/v1/chat/completions", chatBody, shortTimeout)
	assert.Equal(t, status, http.StatusGatewayTimeout, body)
	assert.Equal(t, header.Get("X-Run"), "unknown")
	status, body, header = d.call(1, http.MethodPost, "/ledger/entries", "pay 9", shortTimeout)
	assert.Equal(t, status, http.StatusGatewayTimeout, body)
	assert.Equal(t, header.Get("X-Run"), "unknown")
	for _, name := range slowServers {
		d.setFaults(name, `{}`)
	}
	d.eventually("requests get their own responses", func() error {
		status, body, _ := d.call(1, http.MethodPost, "/ledger/entries", "pay 10", map[string]string{"Idempotency-Key": "prompt"})
		if status != http.StatusOK || !strings.Contains(body, "pay 10") {
			return fmt.Errorf("status %d: %s", status, body)
		}
		return nil
	})
	status, _, header = d.call(2, http.MethodPost, "/ledger/entries", "pay 9", map[string]string{"Idempotency-Key": "late"})
	assert.Equal(t, status, http.StatusConflict, "a payment that may have run must not be retried")
	assert.Equal(t, header.Get("X-Run"), "unknown")
}
