package operator

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/negroni/v3"

	"gypsumpitch.example/gypsumpitch/internal/decision/tables"
	"gypsumpitch.example/gypsumpitch/internal/foundation/common"
	"gypsumpitch.example/gypsumpitch/internal/foundation/result"
	"gypsumpitch.example/gypsumpitch/internal/platform/objectstore"
	"gypsumpitch.example/gypsumpitch/internal/platform/rest"
	"gypsumpitch.example/gypsumpitch/internal/platform/tableservice"
	"gypsumpitch.example/gypsumpitch/internal/traffic/callerconn"
)

const (
	maxTablesBytes = 16 << 20
	maxRowsPerPage = 1000
	bodyTimeout    = 30 * time.Second // for tables and actions
)

// Sources provides the status and metrics that the server returns. The functions must be
// safe for concurrent use.
type Sources struct {
	Status      func() Status
	AllStatuses func(*http.Request) []Status // of all daemons
	Ready       func() bool
	Metrics     func(io.Writer)
}

// Server serves the operator API. Safe for concurrent use.
type Server struct {
	common       *common.Common
	editor       *Editor
	tableService tableservice.Service
	objects      *objectstore.Client
	sources      Sources
}

// NewServer returns a server.
func NewServer(c *common.Common, e *Editor, tableService tableservice.Service, objects *objectstore.Client, s Sources) *Server {
	return &Server{common: c, editor: e, tableService: tableService, objects: objects, sources: s}
}

// Handler returns the HTTP handler. Only the paths under /operator/ require a key.
func (s *Server) Handler() http.Handler {
	authenticated := http.NewServeMux()
	authenticated.HandleFunc("GET /operator/v1/tables", s.getTables)
	authenticated.HandleFunc("PUT /operator/v1/tables", s.putTables)
	authenticated.HandleFunc("POST /operator/v1/acts", s.postAction)
	authenticated.HandleFunc("GET /operator/v1/history/{version}", s.getHistory)
	authenticated.HandleFunc("GET /operator/v1/status", s.getStatus)
	authenticated.HandleFunc("GET /operator/v1/rows/{table}", s.getRows)
	n := negroni.New()
	n.UseFunc(s.authenticate)
	n.UseHandler(authenticated)
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok\n")) })
	mux.HandleFunc("GET /readyz", s.getReady)
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { s.sources.Metrics(w) })
	mux.Handle("/operator/", n)
	return mux
}

// authenticate checks the operator's key against the document in the table service. Before
// the first document is committed, the peer key is accepted instead. Without a peer key,
// which is possible on loopback only, anybody may then put the first document.
func (s *Server) authenticate(w http.ResponseWriter, r *http.Request, next http.HandlerFunc) {
	key := strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer ")
	doc, err := s.editor.Current(r.Context())
	if err != nil {
		s.authenticateFromSnapshot(w, r, key, next, err)
		return
	}
	name, known := doc.OperatorByKey(key)
	bootstrap := doc.Version == 0 && key == s.common.Settings.Peer.Key
	if !known && !bootstrap {
		result.Write(w, result.New(result.UnknownCredential, "send the operator's key as Authorization: Bearer KEY"), "")
		return
	}
	s.common.Log.Info("operator", "name", name, "method", r.Method, "path", r.URL.Path)
	next(w, r)
}

// authenticateFromSnapshot allows known operators to read while the table service is
// unavailable. Operators are checked against this daemon's copy of the document.
func (s *Server) authenticateFromSnapshot(w http.ResponseWriter, r *http.Request, key string, next http.HandlerFunc, cause error) {
	doc := s.editor.loop.Snapshot().Document
	if _, known := doc.OperatorByKey(key); known && r.Method == http.MethodGet {
		next(w, r)
		return
	}
	result.Write(w, result.Wrap(cause, result.StoreUnavailable), "")
}

func (s *Server) getReady(w http.ResponseWriter, _ *http.Request) {
	if !s.sources.Ready() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}

func (s *Server) getTables(w http.ResponseWriter, r *http.Request) {
	doc, err := s.editor.Current(r.Context())
	if err != nil {
		// This daemon's copy may be older but was confirmed.
		doc = s.editor.loop.Snapshot().Document
	}
	writeJSON(w, doc)
}

func (s *Server) putTables(w http.ResponseWriter, r *http.Request) {
	text, rejection := callerconn.ReadBody(w, r, maxTablesBytes, bodyTimeout)
	if rejection != nil {
		result.Write(w, rejection, "")
		return
	}
	doc, err := tables.Parse(text)
	if err != nil {
		result.Write(w, result.Wrap(err, result.EditInvalid), "")
		return
	}
	base, err := baseVersion(r)
	if err != nil {
		result.Write(w, result.Wrap(err, result.MalformedRequest), "")
		return
	}
	s.edit(w, r, base, func(*tables.Document) (*tables.Document, error) { return doc, nil })
}

// baseVersion returns the version on which the operator's edit is based.
func baseVersion(r *http.Request) (int64, error) {
	text := r.URL.Query().Get("base_version")
	if text == "" {
		return 0, errors.New("base_version: required when all tables are replaced")
	}
	base, err := strconv.ParseInt(text, 10, 64)
	return base, errors.Wrap(err, "base_version")
}

func (s *Server) postAction(w http.ResponseWriter, r *http.Request) {
	text, rejection := callerconn.ReadBody(w, r, maxTablesBytes, bodyTimeout)
	if rejection != nil {
		result.Write(w, rejection, "")
		return
	}
	var action tables.Action
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&action); err != nil {
		result.Write(w, result.Wrap(err, result.MalformedRequest), "")
		return
	}
	s.edit(w, r, AnyVersion, action.Apply)
}

// EditResponse is the response to an edit. Changes has one line of text per change, and is
// empty if a retry finds that the edit was committed before.
type EditResponse struct {
	Version int64    `json:"version"`
	EditID  string   `json:"edit_id"`
	Changes []string `json:"changes"`
}

func (s *Server) edit(w http.ResponseWriter, r *http.Request, base int64, change Change) {
	editID := r.URL.Query().Get("edit_id")
	if editID == "" {
		result.Write(w, result.New(result.MalformedRequest, "edit_id: required, so that the edit can be retried safely"), "")
		return
	}
	var changes []string
	recordChanges := func(before *tables.Document) (*tables.Document, error) {
		after, err := change(before)
		if err == nil {
			changes = tables.Diff(before, after)
		}
		return after, err
	}
	doc, err := s.editor.Edit(r.Context(), editID, base, recordChanges)
	if err != nil {
		result.Write(w, result.From(err), editID)
		return
	}
	writeJSON(w, EditResponse{Version: doc.Version, EditID: editID, Changes: changes})
}

func (s *Server) getHistory(w http.ResponseWriter, r *http.Request) {
	version, err := strconv.ParseInt(r.PathValue("version"), 10, 64)
	if err != nil {
		result.Write(w, result.New(result.MalformedRequest, "version: %v", err), "")
		return
	}
	text, err := s.objects.Get(r.Context(), ArchiveName(version))
	switch {
	case rest.StatusOf(err) == http.StatusNotFound:
		result.Write(w, result.New(result.NoRoute, "version %d is not in the archive", version), "")
	case err != nil:
		result.Write(w, result.Wrap(err, result.StoreUnavailable), "")
	default:
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(text)
	}
}

func (s *Server) getStatus(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Get("all") != "" {
		writeJSON(w, s.sources.AllStatuses(r))
		return
	}
	writeJSON(w, []Status{s.sources.Status()})
}

// listableTables are the tables whose rows operators may list.
var listableTables = map[string]bool{"bills": true, "pins": true, "claims": true, "leases": true}

func (s *Server) getRows(w http.ResponseWriter, r *http.Request) {
	table := r.PathValue("table")
	if !listableTables[table] {
		result.Write(w, result.New(result.NoRoute, "rows of table %q can't be listed", table), "")
		return
	}
	rows, err := s.tableService.Scan(r.Context(), table, r.URL.Query().Get("after"), maxRowsPerPage)
	if err != nil {
		result.Write(w, result.Wrap(err, result.StoreUnavailable), "")
		return
	}
	writeJSON(w, rows)
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	// The client may have disconnected; the error can't be reported to it.
	_ = json.NewEncoder(w).Encode(value)
}
