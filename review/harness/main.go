// Command harness runs the cases of the review: it starts daemons with the command of the deploy
// file, and has the stand-ins of the platform's store, the engines and the clients.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

func main() {
	if len(os.Args) > 4 && os.Args[1] == "engine" {
		runEngine(os.Args[2:])
		return
	}
	cases := map[string]func(*deployment){
		"cut-unframed":  caseCutUnframed,
		"leaders":       caseLeaders,
		"refused-429":   caseRefused429,
		"late-crash":    caseLateCrash,
		"settings-stop": caseSettingsStop,
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness CASE FOLDER")
		os.Exit(2)
	}
	dir, err := filepath.Abs(os.Args[2])
	check(err)
	d := newDeployment(dir)
	cases[os.Args[1]](d)
	d.finish(2, "the case has no verdict")
}
