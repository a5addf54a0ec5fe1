package entry

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"

	"gypsumpitch.example/gypsumpitch/internal/proof/loopback"
)

// settingsVariable has the test binary run Main with the settings file that it names.
const settingsVariable = "GYPSUMPITCH_TEST_SETTINGS"

func TestMain(m *testing.M) {
	path := os.Getenv(settingsVariable)
	if path == "" {
		os.Exit(m.Run())
	}
	if err := Main(context.Background(), path); err != nil {
		fmt.Println(err)
		os.Exit(1)
	}
}

// syncBuffer is a buffer that may be read while it is written.
type syncBuffer struct {
	mu  sync.Mutex
	all bytes.Buffer // guarded by mu
}

func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.all.Write(p)
}

func (b *syncBuffer) contains(text string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return bytes.Contains(b.all.Bytes(), []byte(text))
}

// TestHangUpDuringStart signals a process while it starts: its settings file is a pipe, so
// that it waits for the content. It must serve, and then read the settings again at once.
func TestHangUpDuringStart(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.hujson")
	assert.NilError(t, syscall.Mkfifo(path, 0o600))
	var output syncBuffer
	process := exec.Command(os.Args[0])
	process.Env = append(os.Environ(), settingsVariable+"="+path)
	process.Stdout, process.Stderr = &output, &output
	assert.NilError(t, process.Start())
	exited := make(chan error, 1)
	go func() { exited <- process.Wait() }()
	t.Cleanup(func() { _ = process.Process.Kill() })

	content := fmt.Sprintf(`{"host":"entry-1","data_centre":"dc-1","listen":{"peer":%q},"log":{"level":"info","json":true},
		"entry":{"caller":%q,"ready":%q,"store":%q}}`,
		loopback.FreeAddress(t), loopback.FreeAddress(t), loopback.FreeAddress(t), loopback.FreeAddress(t))
	pipe, err := os.OpenFile(path, os.O_WRONLY, 0)
	assert.NilError(t, err)
	assert.NilError(t, process.Process.Signal(syscall.SIGHUP))
	_, err = io.WriteString(pipe, content)
	assert.NilError(t, err)
	assert.NilError(t, pipe.Close())
	eventually(t, "serving", func() bool {
		assert.Equal(t, len(exited), 0, "the process has ended")
		return output.contains(`"serving"`)
	})

	pipe, err = os.OpenFile(path, os.O_WRONLY, 0)
	assert.NilError(t, err)
	_, err = io.WriteString(pipe, content+"\n")
	assert.NilError(t, err)
	assert.NilError(t, pipe.Close())
	eventually(t, "settings reloaded", func() bool { return output.contains(`"settings reloaded"`) })
	assert.Assert(t, output.contains(`"signalled":true`))
}
