// Package standin implements the gypsumpitch-standin command, which runs the stand-ins.
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

// Main runs one stand-in until SIGTERM and returns the exit code of the process.
func Main(args []string, stderr io.Writer) int {
	app := kingpin.New("gypsumpitch-standin", "Stand-ins for the platform services and backend servers. POST /faults sets the faults to inject.")
	app.UsageWriter(stderr)
	listen := app.Flag("listen", "IP address and port to listen on.").Required().String()
	turn := app.Flag("turn", "Time that the weight store takes per load; loads run one after another.").Default("200ms").Duration()
	work := app.Flag("work", "Duration of an app call.").Default("5ms").Duration()
	holds := app.Flag("holds", "model@version that the engine has loaded; repeatable.").Strings()
	slots := app.Flag("slots", "Maximum number of requests in a batch of the engine.").Default("8").Int()
	coldSlots := app.Flag("cold-slots", "Requests that the engine can serve at once while cold; it crashes above that.").Default("2").Int()
	coldFor := app.Flag("cold-for", "Duration of the engine's cold start.").Default("2s").Duration()
	tokenEvery := app.Flag("token-every", "Time between tokens.").Default("3ms").Duration()
	prefill := app.Flag("prefill", "Time to the first token.").Default("10ms").Duration()
	tokens := app.Flag("tokens", "Number of tokens in an answer.").Default("16").Int()
	bad := app.Flag("bad", "Percentage of bad answers, as model@version=PERCENT; repeatable.").StringMap()
	faults := &standin.FaultInjector{}
	for _, role := range []string{"table", "objects", "hosts", "ratings", "weights", "engine", "app"} {
		app.Command(role, "Run as "+role+".")
	}
	role, exited, err := commandline.Parse(app, args)
	if exited {
		return 0
	}
	if err != nil {
		_, _ = fmt.Fprintln(stderr, "gypsumpitch-standin:", err)
		return exitUsage
	}
	badPercent, err := parsePercents(*bad)
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

func parsePercents(texts map[string]string) (map[string]int, error) {
	percents := make(map[string]int, len(texts))
	for name, text := range texts {
		var n int
		if _, err := fmt.Sscanf(strings.TrimSuffix(text, "%"), "%d", &n); err != nil {
			return nil, errors.Wrapf(err, "invalid percentage in --bad %s", name)
		}
		percents[name] = n
	}
	return percents, nil
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
