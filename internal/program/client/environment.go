package client

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/pkg/errors"

	"gypsumpitch.example/gypsumpitch/internal/control/operator"
)

const callTimeout = 30 * time.Second

// environment holds the global flags and the output of a command.
type environment struct {
	daemon string
	key    string
	caFile string
	output string
	stdout io.Writer
}

func newEnvironment(app *kingpin.Application, stdout io.Writer) *environment {
	e := &environment{stdout: stdout}
	app.Flag("daemon", "Base URL of a daemon's operator listener.").Envar("GYPSUMPITCH_DAEMON").Default("http://127.0.0.1:8081").StringVar(&e.daemon)
	app.Flag("key", "The operator's key.").Envar("GYPSUMPITCH_KEY").StringVar(&e.key)
	app.Flag("ca-file", "PEM file with the CA certificates that the daemon's certificate is verified against.").Envar("GYPSUMPITCH_CA_FILE").StringVar(&e.caFile)
	app.Flag("output", "Output format: text or json.").Short('o').Default("text").EnumVar(&e.output, "text", "json")
	return e
}

func (e *environment) client() (*operator.Client, error) {
	transport := &http.Transport{}
	if e.caFile != "" {
		text, err := os.ReadFile(e.caFile)
		if err != nil {
			return nil, errors.Wrap(err, "--ca-file")
		}
		pool := x509.NewCertPool()
		if !pool.AppendCertsFromPEM(text) {
			return nil, errors.New("--ca-file: file contains no PEM certificate")
		}
		transport.TLSClientConfig = &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}
	}
	return operator.NewClient(e.daemon, e.key, &http.Client{Transport: transport, Timeout: callTimeout}), nil
}

func (e *environment) context() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), callTimeout)
}

// print writes the value as JSON, or calls text if the output format is text.
func (e *environment) print(value any, text func(io.Writer)) error {
	if e.output == "text" {
		text(e.stdout)
		return nil
	}
	encoder := json.NewEncoder(e.stdout)
	encoder.SetIndent("", "  ")
	return errors.Wrap(encoder.Encode(value), "print")
}

// newEditID returns a unique ID for an edit, so that retries do not apply it twice.
func newEditID() string {
	var b [8]byte
	if _, err := rand.Read(b[:]); err != nil {
		return fmt.Sprintf("edit-%d", time.Now().UnixNano())
	}
	return "edit-" + hex.EncodeToString(b[:])
}
