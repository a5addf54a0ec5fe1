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
	sessionNames = 8
	requestLimit = 60 * time.Second
	endMark      = "data: [DONE]"
)

// Run sends the plan's load and waits for every answer.
func Run(ctx context.Context, plan Plan) Report {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	b := newBalancer(plan.Targets)
	go b.watch(ctx)
	s := &sender{
		plan:     plan,
		balancer: b,
		client:   &http.Client{Timeout: requestLimit, Transport: &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 500 * time.Millisecond}},
	}
	random := rand.New(rand.NewPCG(plan.Seed, 0))
	var c collector
	var open sync.WaitGroup
	began := time.Now()
	for n := 0; time.Since(began) < plan.Duration; n++ {
		// The next request goes out at its time whether or not earlier ones are back.
		time.Sleep(time.Until(began.Add(time.Duration(float64(n) / plan.Rate * float64(time.Second)))))
		request := s.draw(random, n)
		open.Add(1)
		go func() {
			defer open.Done()
			c.add(s.send(ctx, request))
		}()
	}
	open.Wait()
	return c.report(plan.Bad)
}

// drawn is one request to be sent.
type drawn struct {
	number  int
	account ClientAccount
	item    MixEntry
	session string
}

type sender struct {
	plan     Plan
	balancer *balancer
	client   *http.Client
}

func (s *sender) draw(random *rand.Rand, n int) drawn {
	account := pick(random, s.plan.Accounts, func(a ClientAccount) int { return a.Weight })
	item := pick(random, s.plan.Mix, func(i MixEntry) int { return i.Weight })
	d := drawn{number: n, account: account, item: item}
	if item.Kind == KindSession {
		d.session = fmt.Sprintf("%s-%d-%d", account.Name, s.plan.Seed, random.IntN(sessionNames))
	}
	return d
}

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

// IdempotencyKey is the idempotency key of a request of a run.
func IdempotencyKey(seed uint64, number int) string { return fmt.Sprintf("load-%d-%d", seed, number) }

func (s *sender) send(ctx context.Context, d drawn) Outcome {
	o := Outcome{Kind: d.item.Kind, Session: d.session, Code: "no_connection"}
	if d.item.Kind == KindPost {
		o.IdempotencyKey = IdempotencyKey(s.plan.Seed, d.number)
	}
	began := time.Now()
	request, err := s.request(ctx, d)
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
	o.FirstByte = time.Since(began)
	body, err := io.ReadAll(response.Body)
	o.Total = time.Since(began)
	o.Code = response.Header.Get("X-Result-Code")
	o.Version = response.Header.Get("X-Model-Version")
	o.RequestID = response.Header.Get("X-Request-Id")
	o.Cost, _ = strconv.ParseInt(response.Header.Get("X-Cost-Micros"), 10, 64)
	if o.Code == "" {
		o.Code = "0"
	}
	if err != nil || (d.item.Kind == KindStream && response.StatusCode == http.StatusOK && !bytes.Contains(body, []byte(endMark))) {
		o.Code = "cut"
		return o
	}
	o.OK = response.StatusCode == http.StatusOK
	o.WrongBody = o.OK && d.item.Kind == KindPost && !bytes.Contains(body, []byte(IdempotencyKey(s.plan.Seed, d.number)))
	return o
}

func (s *sender) request(ctx context.Context, d drawn) (*http.Request, error) {
	target := s.balancer.pick()
	var request *http.Request
	var err error
	switch d.item.Kind {
	case KindGet:
		request, err = http.NewRequestWithContext(ctx, http.MethodGet, target+d.item.Path, nil)
	case KindPost:
		body := fmt.Sprintf(`{"entry":%q}`, IdempotencyKey(s.plan.Seed, d.number))
		request, err = http.NewRequestWithContext(ctx, http.MethodPost, target+d.item.Path, strings.NewReader(body))
	default:
		body := fmt.Sprintf(`{"model":%q,"stream":%t,"messages":[{"role":"user","content":"summarise entry %d"}]}`,
			d.item.Model, d.item.Kind == KindStream, d.number)
		request, err = http.NewRequestWithContext(ctx, http.MethodPost, target+"/v1/chat/completions", strings.NewReader(body))
	}
	if err != nil {
		return nil, err
	}
	request.Header.Set("Authorization", "Bearer "+d.account.Key)
	if d.item.Kind == KindPost {
		request.Header.Set("Idempotency-Key", IdempotencyKey(s.plan.Seed, d.number))
	}
	if d.session != "" {
		request.Header.Set("X-Session-Id", d.session)
	}
	return request, nil
}
