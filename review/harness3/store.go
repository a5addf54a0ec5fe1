package main

import (
	"cmp"
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// row is a row of the store, as it is encoded.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version int64  `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

type rowID struct{ table, key string }

// store is a stand-in for the platform's store: rows, transactions and feeds. It keeps all history.
type store struct {
	address string

	mu      sync.Mutex
	version int64
	rows    map[rowID]row
	changed chan struct{} // closed and replaced at each change
	started time.Time
}

// startStore serves a store on a free loopback address.
func startStore() (*store, error) {
	s := &store{rows: make(map[rowID]row), changed: make(chan struct{}), started: time.Now()}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.address = listener.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /gypsumpitch/rows-get", s.get)
	mux.HandleFunc("GET /gypsumpitch/rows-feed", s.feed)
	mux.HandleFunc("POST /gypsumpitch/rows-tx", s.transact)
	go func() { _ = http.Serve(listener, mux) }()
	return s, nil
}

// put writes a row as the operator or an engine does. A nil value removes it.
func (s *store) put(table, key string, value any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	r := row{Table: table, Key: key, Version: s.version, Deleted: value == nil}
	if value != nil {
		r.Value, _ = json.Marshal(value)
	}
	s.rows[rowID{table, key}] = r
	s.wake()
}

// wake must be called with mu held.
func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// read returns the rows of the table after the version, by key, and what signals the next change.
func (s *store) read(table string, after int64, deleted bool) (rows []row, version int64, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	rows = []row{}
	for id, r := range s.rows {
		if id.table == table && r.Version > after && (deleted || !r.Deleted) {
			rows = append(rows, r)
		}
	}
	return rows, s.version, s.changed
}

func (s *store) reply(w http.ResponseWriter, rows []row, version int64) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", "1")
	_ = json.NewEncoder(w).Encode(map[string]any{
		"rows": rows, "ver": version, "nowMs": time.Since(s.started).Milliseconds() + 50_000, "hasMore": false,
	})
}

// maxRows is the most rows that one page has.
const maxRows = 500

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	rows, version, _ := s.read(query.Get("table"), 0, false)
	rows = slices.DeleteFunc(rows, func(r row) bool { return r.Key < query.Get("from") })
	slices.SortFunc(rows, func(a, b row) int { return cmp.Compare(a.Key, b.Key) })
	limit, err := strconv.Atoi(query.Get("limit"))
	if err != nil || limit > maxRows {
		limit = maxRows
	}
	more := len(rows) > limit
	if more {
		rows = rows[:limit]
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", "1")
	_ = json.NewEncoder(w).Encode(map[string]any{
		"rows": rows, "ver": version, "nowMs": time.Since(s.started).Milliseconds() + 50_000, "hasMore": more,
	})
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseInt(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("waitMs"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		rows, version, changed := s.read(query.Get("table"), after, true)
		if len(rows) > 0 {
			slices.SortFunc(rows, func(a, b row) int { return cmp.Compare(a.Version, b.Version) })
			s.reply(w, rows, version)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			s.reply(w, rows, version)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var call struct {
		Expected []row `json:"expectedRev"`
		Writes   []row `json:"writes"`
		Remove   []row `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&call); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range call.Expected {
		current := s.rows[rowID{e.Table, e.Key}]
		if current.Deleted {
			current.Version = 0
		}
		if current.Version != e.Version {
			w.Header().Set("Store-Era", "1")
			w.WriteHeader(http.StatusPreconditionFailed)
			_ = json.NewEncoder(w).Encode(map[string]any{"rows": []row{current}, "ver": s.version})
			return
		}
	}
	s.version++
	for _, n := range call.Writes {
		s.rows[rowID{n.Table, n.Key}] = row{Table: n.Table, Key: n.Key, Value: n.Value, Version: s.version}
	}
	for _, n := range call.Remove {
		s.rows[rowID{n.Table, n.Key}] = row{Table: n.Table, Key: n.Key, Version: s.version, Deleted: true}
	}
	s.wake()
	s.reply(w, []row{}, s.version)
}
