package standin

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/pkg/errors"

	"gypsumpitch.example/gypsumpitch/internal/platform/tableservice"
)

// NewTableService returns a stand-in for the platform's table service that serves the
// rows of memory. GET /v1/calls returns the numbers of calls.
func NewTableService(memory *MemoryTableService, faults *FaultInjector) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/row", func(w http.ResponseWriter, r *http.Request) {
		row, err := memory.Get(r.Context(), r.FormValue("table"), r.FormValue("key"))
		if errors.Is(err, tableservice.ErrNotFound) {
			http.Error(w, "no such row", http.StatusNotFound)
			return
		}
		writeJSON(w, row)
	})
	mux.HandleFunc("GET /v1/rows", func(w http.ResponseWriter, r *http.Request) {
		limit, err := strconv.Atoi(r.FormValue("limit"))
		if err != nil {
			http.Error(w, "limit: "+err.Error(), http.StatusBadRequest)
			return
		}
		rows, _ := memory.Scan(r.Context(), r.FormValue("table"), r.FormValue("after"), limit)
		writeJSON(w, rows)
	})
	mux.HandleFunc("GET /v1/calls", func(w http.ResponseWriter, _ *http.Request) {
		writes, reads := memory.CallCounts()
		writeJSON(w, map[string]int{"writes": writes, "reads": reads})
	})
	mux.HandleFunc("POST /v1/commit", func(w http.ResponseWriter, r *http.Request) {
		var batch tableservice.Batch
		if err := json.NewDecoder(r.Body).Decode(&batch); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		results, _ := memory.Commit(r.Context(), batch)
		if faults.consume(func(f *Faults) *int { return &f.LoseAnswers }) {
			abortConnection()
		}
		writeJSON(w, results)
	})
	return faults.Wrap(mux)
}
