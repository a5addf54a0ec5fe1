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

// TestStandardClientsNeedNothingOfOurs uses a chat-completions library and a
// plain HTTP client.
func TestStandardClientsNeedNothingOfOurs(t *testing.T) {
	d := newDeployment(t)
	d.start()
	client := openai.NewClient(option.WithBaseURL(d.url(2, "caller")+"/v1"), option.WithAPIKey(accountKey))
	ask := openai.ChatCompletionNewParams{Model: "desk", Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage("a gate hinge")}}
	whole, err := client.Chat.Completions.New(t.Context(), ask)
	assert.NilError(t, err)
	assert.Equal(t, whole.Model, "desk")
	stream := client.Chat.Completions.NewStreaming(t.Context(), ask)
	text := ""
	for stream.Next() {
		if chunk := stream.Current(); len(chunk.Choices) > 0 {
			text += chunk.Choices[0].Delta.Content
		}
	}
	assert.NilError(t, stream.Err())
	assert.Equal(t, strings.TrimSpace(text), whole.Choices[0].Message.Content)

	status, body, header := d.call(3, http.MethodPut, "/ledger/notes?page=2", "a note", map[string]string{"X-Demo": "kept", "Idempotency-Key": "n1"})
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, header.Get("X-Run"), "yes")
	var seen map[string]string
	assert.NilError(t, json.Unmarshal([]byte(body), &seen))
	assert.DeepEqual(t, seen, map[string]string{"method": "PUT", "path": "/ledger/notes", "query": "page=2", "body": "a note", "header": "kept"})
}

// TestCutAndCrossedAnswers: P7.
func TestCutAndCrossedAnswers(t *testing.T) {
	d := newDeployment(t)
	d.start()
	_, want, _ := d.call(1, http.MethodPost, "/v1/chat/completions", strings.Replace(chatBody, "{", `{"stream":true,`, 1), nil)
	d.faults("engine-1", `{"cross_answers":1}`)
	d.faults("engine-2", `{"cross_answers":1}`)
	d.faults("engine-3", `{"cut_streams":1}`)
	for range 4 {
		status, got, _ := d.call(1, http.MethodPost, "/v1/chat/completions", strings.Replace(chatBody, "{", `{"stream":true,`, 1), nil)
		assert.Equal(t, status, http.StatusOK)
		assert.Equal(t, tokensOf(got), tokensOf(want))
		assert.Assert(t, strings.HasSuffix(got, "data: [DONE]\n\n"))
	}
	for i := 1; i <= 2; i++ {
		d.faults(fmt.Sprintf("app-%d", i), `{"cross_answers":1}`)
	}
	status, body, header := d.call(1, http.MethodPost, "/ledger/entries", "pay 5", map[string]string{"Idempotency-Key": "crossed"})
	assert.Equal(t, status, http.StatusBadGateway, body)
	assert.Equal(t, header.Get("X-Run"), "unknown", "the payment may have run, and its answer was another's")
}

func tokensOf(stream string) string {
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

// TestPlannedStopsCutNoRequest restarts every daemon in turn, twice, under
// load: P11.
func TestPlannedStopsCutNoRequest(t *testing.T) {
	d := newDeployment(t)
	d.tokenEvery = "80ms" // so that answers take longer than the balancer's wait
	d.start()
	done := make(chan load.Report, 1)
	go func() { done <- load.Run(context.Background(), d.plan(24, 40)) }()
	for round := range 2 * daemons {
		i := round%daemons + 1
		time.Sleep(300 * time.Millisecond)
		d.stop(daemonName(i))
		d.daemon(i)
		d.awaitReady(i)
	}
	report := <-done
	t.Logf("sent %d, served %d, codes %v", report.Sent, report.Served, report.Codes)
	assert.Equal(t, report.Truncated, 0, "a planned stop cut requests")
	assert.Equal(t, report.NoConnection, 0)
	assert.Equal(t, report.MovedSessions, 0)
	assert.Equal(t, report.WrongAnswers, 0)
	d.checkBilledAndRunOnce(report)
}

// TestKillsUnderLoad kills daemons, an engine and an app under load: P4, P7, P9.
func TestKillsUnderLoad(t *testing.T) {
	d := newDeployment(t)
	d.start()
	done := make(chan load.Report, 1)
	go func() { done <- load.Run(context.Background(), d.plan(9, 60)) }()
	time.Sleep(time.Second)
	for _, name := range []string{"entry-1", "engine-1", "entry-2", "app-1", "entry-3"} {
		d.kill(name)
		time.Sleep(700 * time.Millisecond)
		switch {
		case strings.HasPrefix(name, "entry"):
			var i int
			_, _ = fmt.Sscanf(name, "entry-%d", &i)
			d.daemon(i)
			d.awaitReady(i)
		case name == "engine-1":
			d.standin(name, "engine", "--holds", "small@v1", "--holds", "small@v2", "--cold-for", "300ms", "--slots", "64")
		default:
			d.standin(name, "app")
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

// TestStoreOutageUnderLoad takes the table service away while requests go on
// and a daemon restarts: model requests are served, payments refused as not
// run, and nothing is lost: P4, P8, P9, P12.
func TestStoreOutageUnderLoad(t *testing.T) {
	d := newDeployment(t)
	d.start()
	d.faults("table", `{"down":true}`)
	done := make(chan load.Report, 1)
	go func() { done <- load.Run(context.Background(), d.plan(8, 40)) }()
	time.Sleep(2 * time.Second)
	d.kill("entry-2")
	d.daemon(2)
	d.awaitReady(2)
	status, body, header := d.call(2, http.MethodPost, "/ledger/entries", "pay 5", map[string]string{"Idempotency-Key": "in-outage"})
	assert.Equal(t, status, http.StatusServiceUnavailable, body)
	assert.Equal(t, header.Get("X-Run"), "no")
	assert.Assert(t, header.Get("Retry-After") != "")
	report := <-done
	d.faults("table", `{}`)
	t.Logf("sent %d, served %d, codes %v", report.Sent, report.Served, report.Codes)
	served := 0
	for _, o := range report.Outcomes {
		if o.OK && (o.Kind == load.KindComplete || o.Kind == load.KindStream) {
			served++
		}
		assert.Assert(t, !o.OK || o.Kind != load.KindPost, "a payment ran without its claim")
	}
	assert.Assert(t, served > 0, "model requests must go on")
	d.checkBilledAndRunOnce(report)
}

// checkBilledAndRunOnce wants a bill for each request whose caller has the
// answer, and no payment run twice.
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
	ran := map[string]int{}
	for _, app := range []string{"app-1", "app-2"} {
		var runs map[string]int
		d.standinJSON(app, "/v1/runs", &runs)
		for key, n := range runs {
			ran[key] += n
		}
	}
	for key, n := range ran {
		assert.Assert(d.t, n <= 1, "%s ran %d times", key, n)
	}
}

// TestFrozenDaemonWakesUpRight freezes a daemon, withdraws a version and takes a
// data centre out, and wakes it: P2, P6, P12.
func TestFrozenDaemonWakesUpRight(t *testing.T) {
	d := newDeployment(t)
	d.start()
	d.signal("entry-3", syscall.SIGSTOP)
	d.act(1, tables.Action{Kind: tables.ActionVersionWithdraw, Name: "small", Part: "v1"})
	d.act(1, tables.Action{Kind: tables.ActionDataCentreOut, Name: "dc-2"})
	time.Sleep(4 * time.Second) // longer than the confirm window
	before := d.servedBy("engine-1", "engine-2", "engine-3")
	d.signal("entry-3", syscall.SIGCONT)
	for range 40 {
		d.call(3, http.MethodPost, "/v1/chat/completions", chatBody, nil)
	}
	after := d.servedBy("engine-1", "engine-2", "engine-3")
	assert.Equal(t, after["small@v1"], before["small@v1"], "the withdrawn version ran")
	d.act(1, tables.Action{Kind: tables.ActionDataCentreIn, Name: "dc-2"})
	d.awaitReady(3)
	d.eventually("entry-3 serves", func() error { return d.chatOK(3) })
}

func (d *deployment) servedBy(names ...string) map[string]int {
	total := map[string]int{}
	for _, name := range names {
		var stats struct {
			Served map[string]int `json:"served"`
		}
		d.standinJSON(name, "/v1/stats", &stats)
		for version, n := range stats.Served {
			total[version] += n
			total[name] += n
		}
	}
	return total
}

// TestLeavingServerGetsNoNewWork says that an engine leaves in each of three
// ways: P10.
func TestLeavingServerGetsNoNewWork(t *testing.T) {
	cases := map[string]func(*deployment){
		"its own word": func(d *deployment) { d.faults("engine-1", `{"leaving":true}`) },
		"host list": func(d *deployment) {
			body := fmt.Sprintf(`{"address":%q,"leaving":true}`, d.addresses["engine-1"])
			response, err := http.Post("http://"+d.addresses["hosts"]+"/v1/hosts", "application/json", strings.NewReader(body))
			assert.NilError(d.t, err)
			assert.NilError(d.t, response.Body.Close())
		},
		"operator": func(d *deployment) {
			d.act(1, tables.Action{Kind: tables.ActionServerOut, Name: "text", Part: "engine-1"})
		},
	}
	for name, leave := range cases {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t)
			d.start()
			leave(d)
			time.Sleep(2 * time.Second) // "after a few seconds"
			before := d.servedBy("engine-1")
			report := load.Run(t.Context(), d.plan(2, 60))
			assert.Equal(t, d.servedBy("engine-1")["engine-1"], before["engine-1"], "the leaving engine got new work")
			assert.Equal(t, report.Served, report.Sent, "%v", report.Codes)
		})
	}
}

// TestBadInput gives a numbered answer to each bad request, as not run.
func TestBadInput(t *testing.T) {
	d := newDeployment(t)
	d.start()
	cases := map[string]struct {
		method, path, body string
		headers            map[string]string
		code               string
	}{
		"no key":               {http.MethodPost, "/v1/chat/completions", chatBody, map[string]string{"Authorization": ""}, "1003"},
		"malformed body":       {http.MethodPost, "/v1/chat/completions", "{", nil, "1001"},
		"no messages":          {http.MethodPost, "/v1/chat/completions", `{"model":"desk"}`, nil, "1001"},
		"unknown model":        {http.MethodPost, "/v1/chat/completions", `{"model":"x","messages":[{}]}`, nil, "1004"},
		"unknown path":         {http.MethodGet, "/nowhere", "", nil, "1004"},
		"oversize":             {http.MethodPost, "/ledger/x", strings.Repeat("x", 5<<20), map[string]string{"Idempotency-Key": "big"}, "1002"},
		"no idempotency key":   {http.MethodPost, "/ledger/x", "pay", nil, "4001"},
		"bad timeout":          {http.MethodGet, "/ledger/x", "", map[string]string{"X-Request-Timeout-Ms": "soon"}, "1001"},
		"upgrade":              {http.MethodGet, "/ledger/x", "", map[string]string{"Connection": "Upgrade", "Upgrade": "websocket"}, "1009"},
		"bad session token":    {http.MethodPost, "/v1/chat/completions", chatBody, map[string]string{"X-Session-Token": "k1.a.b"}, "1006"},
		"long session name":    {http.MethodPost, "/v1/chat/completions", chatBody, map[string]string{"X-Session-Id": strings.Repeat("s", 300)}, "1001"},
		"deadline in the past": {http.MethodPost, "/v1/chat/completions", chatBody, map[string]string{"X-Request-Timeout-Ms": "-5"}, "1001"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			_, body, header := d.call(1, c.method, c.path, c.body, c.headers)
			assert.Equal(t, header.Get("X-Result-Code"), c.code, body)
			assert.Equal(t, header.Get("X-Run"), "no")
		})
	}
}

// TestRacingOperators has two operators edit the same version through different
// daemons, and an edit whose answer is lost sent again: P12.
func TestRacingOperators(t *testing.T) {
	d := newDeployment(t)
	d.start()
	text, err := d.operator(1, http.MethodGet, "/operator/v1/tables", operatorKey, nil)
	assert.NilError(t, err)
	results := make(chan error, 2)
	for i := 1; i <= 2; i++ {
		go func() {
			_, err := d.operator(i, http.MethodPut, fmt.Sprintf("/operator/v1/tables?base_version=1&edit_id=race-%d", i), operatorKey, text)
			results <- err
		}()
	}
	first, second := <-results, <-results
	assert.Assert(t, (first == nil) != (second == nil), "one of %v and %v must win", first, second)
	d.faults("table", `{"lose_answers":1}`)
	d.act(2, tables.Action{Kind: tables.ActionVersionPause, Name: "small", Part: "v2"})
	status, err := d.operator(3, http.MethodGet, "/operator/v1/status?all=1", operatorKey, nil)
	assert.NilError(t, err)
	var list []operator.Status
	assert.NilError(t, json.Unmarshal(status, &list))
	assert.Equal(t, len(list), daemons)
	assert.Equal(t, list[0].Version, int64(3), "the edit whose answer was lost must be applied once")
}

// TestLateAnswers has every engine and app answer later than the caller waits:
// the caller is told at its deadline that the request may have run, and later
// requests on the same connections get their own answers: P7, P8.
func TestLateAnswers(t *testing.T) {
	d := newDeployment(t)
	d.start()
	slow := []string{"engine-1", "engine-2", "engine-3", "app-1", "app-2"}
	for _, name := range slow {
		d.faults(name, `{"slow_ms":3000}`)
	}
	soon := map[string]string{"X-Request-Timeout-Ms": "300", "Idempotency-Key": "late"}
	status, body, header := d.call(1, http.MethodPost, "/v1/chat/completions", chatBody, soon)
	assert.Equal(t, status, http.StatusGatewayTimeout, body)
	assert.Equal(t, header.Get("X-Run"), "unknown")
	status, body, header = d.call(1, http.MethodPost, "/ledger/entries", "pay 9", soon)
	assert.Equal(t, status, http.StatusGatewayTimeout, body)
	assert.Equal(t, header.Get("X-Run"), "unknown")
	for _, name := range slow {
		d.faults(name, `{}`)
	}
	d.eventually("own answers again", func() error {
		status, body, _ := d.call(1, http.MethodPost, "/ledger/entries", "pay 10", map[string]string{"Idempotency-Key": "prompt"})
		if status != http.StatusOK || !strings.Contains(body, "pay 10") {
			return fmt.Errorf("status %d: %s", status, body)
		}
		return nil
	})
	status, _, header = d.call(2, http.MethodPost, "/ledger/entries", "pay 9", map[string]string{"Idempotency-Key": "late"})
	assert.Equal(t, status, http.StatusConflict, "a payment that may have run is not sent again")
	assert.Equal(t, header.Get("X-Run"), "unknown")
}
