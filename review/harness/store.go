package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// row is a row of the platform's metadata store.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version int64  `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

type rowKey struct{ table, key string }

// store is a stand-in of the platform's metadata store: rows, changes and transactions, all
// rows in the empty part. Nothing that it has acknowledged is lost.
type store struct {
	started time.Time

	mu      sync.Mutex
	rows    map[rowKey]row
	history []row // one entry a write, oldest first
	version int64
	changed chan struct{} // closed and replaced by each write
}

const historyTime = 20 * time.Second

func newStore() *store {
	return &store{started: time.Now(), rows: make(map[rowKey]row), changed: make(chan struct{})}
}

// serve serves calls of the daemons on the listener.
func (s *store) serve(l net.Listener) {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /gypsumpitch/rows-get", s.get)
	mux.HandleFunc("GET /gypsumpitch/rows-feed", s.feed)
	mux.HandleFunc("POST /gypsumpitch/rows-tx", s.tx)
	_ = http.Serve(l, mux)
}

// put writes a row for the operator or an engine. It returns when the write is acknowledged.
func (s *store) put(table, key string, value any) time.Time {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.write(row{Table: table, Key: key, Value: text, Version: s.version})
	s.wake()
	return time.Now()
}

// remove drops a row.
func (s *store) remove(table, key string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.write(row{Table: table, Key: key, Version: s.version, Deleted: true})
	s.wake()
	return time.Now()
}

func (s *store) write(r row) {
	k := rowKey{r.Table, r.Key}
	if r.Deleted {
		delete(s.rows, k)
	} else {
		s.rows[k] = r
	}
	s.history = append(s.history, r)
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// value returns the value of a row, nil if there is none.
func (s *store) value(table, key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rows[rowKey{table, key}].Value
}

// count returns the number of rows of the table whose keys begin with the prefix.
func (s *store) count(table, prefix string) (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for k := range s.rows {
		if k.table == table && len(k.key) >= len(prefix) && k.key[:len(prefix)] == prefix {
			n++
		}
	}
	return n
}

func (s *store) answer(w http.ResponseWriter, status int, body map[string]any) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", "1")
	body["nowMs"] = time.Since(s.started).Milliseconds() + 1000
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, _ := strconv.Atoi(q.Get("limit"))
	if limit <= 0 || limit > 500 {
		limit = 500
	}
	s.mu.Lock()
	rows := []row{}
	for k, v := range s.rows {
		if k.table == q.Get("table") && k.key >= q.Get("from") && (q.Get("target") == "" || k.key < q.Get("target")) {
			rows = append(rows, v)
		}
	}
	version := s.version
	s.mu.Unlock()
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	more := len(rows) > limit
	if more {
		rows = rows[:limit]
	}
	s.answer(w, http.StatusOK, map[string]any{"rows": rows, "hasMore": more, "ver": version})
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	timeout := time.After(time.Duration(min(wait, 30_000)) * time.Millisecond)
	for over := false; ; {
		s.mu.Lock()
		newest := make(map[string]row)
		for _, h := range s.history {
			if h.Table == q.Get("table") && h.Version > after {
				newest[h.Key] = h
			}
		}
		version, changed := s.version, s.changed
		s.mu.Unlock()
		if len(newest) > 0 || over {
			rows := []row{}
			for _, h := range newest {
				rows = append(rows, h)
			}
			sort.Slice(rows, func(i, j int) bool { return rows[i].Version < rows[j].Version })
			s.answer(w, http.StatusOK, map[string]any{"rows": rows, "ver": version})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) tx(w http.ResponseWriter, r *http.Request) {
	var call struct {
		Expected []row `json:"expectedRev"`
		Writes   []row `json:"writes"`
		Remove   []row `json:"remove"`
	}
	text, err := io.ReadAll(r.Body)
	if err != nil || json.Unmarshal(text, &call) != nil {
		s.answer(w, http.StatusBadRequest, map[string]any{})
		return
	}
	time.Sleep(5 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range append(append([]row{}, call.Writes...), call.Remove...) {
		if e.Table == "op" || e.Table == "servers" {
			s.answer(w, http.StatusForbidden, map[string]any{})
			return
		}
	}
	for _, e := range call.Expected {
		if s.rows[rowKey{e.Table, e.Key}].Version != e.Version {
			s.answer(w, http.StatusPreconditionFailed, map[string]any{"rows": []row{}, "ver": s.version})
			return
		}
	}
	s.version++
	for _, e := range call.Writes {
		s.write(row{Table: e.Table, Key: e.Key, Value: e.Value, Version: s.version})
	}
	for _, e := range call.Remove {
		s.write(row{Table: e.Table, Key: e.Key, Version: s.version, Deleted: true})
	}
	s.wake()
	s.answer(w, http.StatusOK, map[string]any{"ver": s.version})
}
