package standin

import (
	"io"
	"net/http"
	"sync"
)

// NewObjectStore returns a stand-in for the platform's object store that keeps objects
// in memory.
func NewObjectStore(faults *FaultInjector) http.Handler {
	var objects sync.Map
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /v1/objects/{name}", func(_ http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err == nil {
			objects.Store(r.PathValue("name"), body)
		}
	})
	mux.HandleFunc("GET /v1/objects/{name}", func(w http.ResponseWriter, r *http.Request) {
		body, ok := objects.Load(r.PathValue("name"))
		if !ok {
			http.Error(w, "no such object", http.StatusNotFound)
			return
		}
		_, _ = w.Write(body.([]byte))
	})
	return faults.Wrap(mux)
}
