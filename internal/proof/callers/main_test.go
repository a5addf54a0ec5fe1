package callers

import (
	"fmt"
	"os"
	"os/exec"
	"testing"
)

var binaryDir string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "callers")
	if err != nil {
		fmt.Println(err)
		os.Exit(1)
	}
	if out, err := exec.Command("go", "build", "-o", dir+"/", "../../../cmd/...").CombinedOutput(); err != nil {
		fmt.Println(string(out), err)
		os.Exit(1)
	}
	binaryDir = dir
	status := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(status)
}
