package load

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	sessionsPerAccount = 8
	requestTimeout     = 60 * time.Second
	streamEndMarker    = "data: [DONE]"
)

// Run sends the plan's requests for its duration and waits for all answers. The same plan and
// seed give the same sequence of requests.
func Run(ctx context.Context, plan Plan) Report {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	b := newBalancer(plan.Targets)
	go b.runHealthChecks(ctx)
	s := &sender{
		plan:     plan,
		balancer: b,
		client:   &http.Client{Timeout: requestTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 500 * time.Millisecond}},
	}
	random := rand.New(rand.NewPCG(plan.Seed, 0))
	var c collector
	var inFlight sync.WaitGroup
	startedAt := time.Now()
	for n := 0; time.Since(startedAt) < plan.Duration; n++ {
		// Open loop: the next request is sent on schedule, even if earlier ones are in flight.
		time.Sleep(time.Until(startedAt.Add(time.Duration(float64(n) / plan.Rate * float64(time.Second)))))
		request := s.nextRequest(random, n)
		inFlight.Add(1)
		go func() {
			defer inFlight.Done()
			c.add(s.send(ctx, request))
		}()
	}
	inFlight.Wait()
	return c.report(plan.Bad)
}

// loadRequest is a request to be sent. session is empty for requests without a session.
type loadRequest struct {
	number  int
	account ClientAccount
	entry   MixEntry
	session string
}

type sender struct {
	plan     Plan
	balancer *balancer
	client   *http.Client
}

// nextRequest draws the account and the kind of the n-th request by their weights.
func (s *sender) nextRequest(random *rand.Rand, n int) loadRequest {
	account := pick(random, s.plan.Accounts, func(a ClientAccount) int { return a.Weight })
	entry := pick(random, s.plan.Mix, func(e MixEntry) int { return e.Weight })
	lr := loadRequest{number: n, account: account, entry: entry}
	if entry.Kind == KindSession {
		lr.session = fmt.Sprintf("%s-%d-%d", account.Name, s.plan.Seed, random.IntN(sessionsPerAccount))
	}
	return lr
}

// pick returns a random item, with a probability in proportion to its weight. Weights below
// 1 count as 1.
func pick[T any](random *rand.Rand, items []T, weight func(T) int) T {
	total := 0
	for _, item := range items {
		total += max(weight(item), 1)
	}
	point := random.IntN(total)
	for _, item := range items {
		point -= max(weight(item), 1)
		if point < 0 {
			return item
		}
	}
	return items[len(items)-1]
}

// IdempotencyKey returns the idempotency key of a request by its number in a run with the
// given seed.
func IdempotencyKey(seed uint64, number int) string { return fmt.Sprintf("load-%d-%d", seed, number) }

// send sends a request and reads the complete answer. Errors other than a refused connection
// count as truncation, and so does a stream without its end marker.
func (s *sender) send(ctx context.Context, lr loadRequest) Outcome {
	o := Outcome{Kind: lr.entry.Kind, Session: lr.session, Code: "no_connection"}
	if lr.entry.Kind == KindPost {
		o.IdempotencyKey = IdempotencyKey(s.plan.Seed, lr.number)
	}
	sentAt := time.Now()
	request, err := s.newHTTPRequest(ctx, lr)
	if err != nil {
		return o
	}
	response, err := s.client.Do(request)
	if err != nil {
		if !strings.Contains(err.Error(), "connection refused") {
			o.Code = "cut"
		}
		return o
	}
	defer func() { _ = response.Body.Close() }()
	o.FirstByte = time.Since(sentAt)
	body, err := io.ReadAll(response.Body)
	o.Total = time.Since(sentAt)
	o.Code = response.Header.Get("X-Result-Code")
	o.Version = response.Header.Get("X-Model-Version")
	o.RequestID = response.Header.Get("X-Request-Id")
	o.Cost, _ = strconv.ParseInt(response.Header.Get("X-Cost-Micros"), 10, 64)
	if o.Code == "" {
		o.Code = "0"
	}
	if err != nil || (lr.entry.Kind == KindStream && response.StatusCode == http.StatusOK && !bytes.Contains(body, []byte(streamEndMarker))) {
		o.Code = "cut"
		return o
	}
	o.OK = response.StatusCode == http.StatusOK
	o.WrongBody = o.OK && lr.entry.Kind == KindPost && !bytes.Contains(body, []byte(IdempotencyKey(s.plan.Seed, lr.number)))
	return o
}

func (s *sender) newHTTPRequest(ctx context.Context, lr loadRequest) (*http.Request, error) {
	target := s.balancer.pick()
	var request *http.Request
	var err error
	switch lr.entry.Kind {
	case KindGet:
		request, err = http.NewRequestWithContext(ctx, http.MethodGet, target+lr.entry.Path, nil)
	case KindPost:
		body := fmt.Sprintf(`{"entry":%q}`, IdempotencyKey(s.plan.Seed, lr.number))
		request, err = http.NewRequestWithContext(ctx, http.MethodPost, target+lr.entry.Path, strings.NewReader(body))
	default:
		body := fmt.Sprintf(`{"model":%q,"stream":%t,"messages":[{"role":"user","content":"summarise entry %d"}]}`,
			lr.entry.Model, lr.entry.Kind == KindStream, lr.number)
		request, err = http.NewRequestWithContext(ctx, http.MethodPost, target+"/v1/chat/completions", strings.NewReader(body))
	}
	if err != nil {
		return nil, err
	}
	request.Header.Set("Authorization", "Bearer "+lr.account.Key)
	if lr.entry.Kind == KindPost {
		request.Header.Set("Idempotency-Key", IdempotencyKey(s.plan.Seed, lr.number))
	}
	if lr.session != "" {
		request.Header.Set("X-Session-Id", lr.session)
	}
	return request, nil
}
