// Package standin is the command line of the stand-ins.
package standin

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/pkg/errors"

	"gypsumpitch.example/gypsumpitch/internal/foundation/commandline"
	"gypsumpitch.example/gypsumpitch/internal/standin"
)

const (
	exitFailure       = 1
	exitUsage         = 2
	readHeaderTimeout = 5 * time.Second
)

// Main runs one stand-in and returns its exit code.
func Main(args []string, stderr io.Writer) int {
	app := kingpin.New("gypsumpitch-standin", "Small fakes of the platform and the back ends. POST /faults switches faults.")
	app.UsageWriter(stderr)
	listen := app.Flag("listen", "IP and port.").Required().String()
	turn := app.Flag("turn", "Time that one load takes at the weight store.").Default("200ms").Duration()
	work := app.Flag("work", "Time that one app call takes.").Default("5ms").Duration()
	holds := app.Flag("holds", "model@version that the engine holds.").Strings()
	slots := app.Flag("slots", "Requests that the engine batches.").Default("8").Int()
	coldSlots := app.Flag("cold-slots", "Requests that the engine bears while cold.").Default("2").Int()
	coldFor := app.Flag("cold-for", "Time that the engine is cold after its start.").Default("2s").Duration()
	tokenEvery := app.Flag("token-every", "Time between two tokens.").Default("3ms").Duration()
	prefill := app.Flag("prefill", "Time to the first token.").Default("10ms").Duration()
	tokens := app.Flag("tokens", "Tokens of an answer.").Default("16").Int()
	bad := app.Flag("bad", "model@version=PERCENT of bad answers.").StringMap()
	faults := &standin.FaultInjector{}
	for _, role := range []string{"table", "objects", "hosts", "ratings", "weights", "engine", "app"} {
		app.Command(role, "Run as "+role+".")
	}
	role, over, err := commandline.Parse(app, args)
	if over {
		return 0
	}
	if err != nil {
		_, _ = fmt.Fprintln(stderr, "gypsumpitch-standin:", err)
		return exitUsage
	}
	badPercent, err := percents(*bad)
	if err != nil {
		_, _ = fmt.Fprintln(stderr, "gypsumpitch-standin:", err)
		return exitUsage
	}
	settings := standin.EngineSettings{
		LoadedModels: *holds, Slots: *slots, ColdSlots: *coldSlots, ColdDuration: *coldFor,
		TokenInterval: *tokenEvery, PrefillDuration: *prefill, ResponseTokens: *tokens, BadPercent: badPercent,
	}
	handlers := map[string]func() http.Handler{
		"table":   func() http.Handler { return standin.NewTableService(standin.NewMemoryTableService(), faults) },
		"objects": func() http.Handler { return standin.NewObjectStore(faults) },
		"hosts":   func() http.Handler { return standin.NewHostList(faults).Handler() },
		"ratings": func() http.Handler { return standin.NewRatingService(faults).Handler() },
		"weights": func() http.Handler { return standin.NewWeightStore(faults, *turn).Handler() },
		"engine":  func() http.Handler { return standin.NewEngine(settings, faults).Handler() },
		"app":     func() http.Handler { return standin.NewApp(faults, *work).Handler() },
	}
	if err := serve(*listen, handlers[role]()); err != nil {
		_, _ = fmt.Fprintln(stderr, "gypsumpitch-standin:", err)
		return exitFailure
	}
	return 0
}

func percents(texts map[string]string) (map[string]int, error) {
	numbers := make(map[string]int, len(texts))
	for name, text := range texts {
		var n int
		if _, err := fmt.Sscanf(strings.TrimSuffix(text, "%"), "%d", &n); err != nil {
			return nil, errors.Wrapf(err, "bad %s", name)
		}
		numbers[name] = n
	}
	return numbers, nil
}

func serve(address string, handler http.Handler) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	server := &http.Server{Addr: address, Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
	failure := make(chan error, 1)
	go func() { failure <- server.ListenAndServe() }()
	select {
	case <-ctx.Done():
		return errors.Wrap(server.Close(), "close")
	case err := <-failure:
		return err
	}
}
