package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2 // the case couldn't run
)

// timeLimit ends a case that hangs.
const timeLimit = 115 * time.Second

// plays are the cases by name. A play reports whether the rule was broken.
var plays = map[string]func(r *record, trouble bool) (broken bool, err error){
	"lost-successor":        playLostSuccessor,
	"foreign-entry":         playForeignEntry,
	"removed-machines":      playRemovedMachines,
	"empty-stream":          playEmptyStream,
	"error-in-first-events": playErrorInFirstEvents,
}

func main() { os.Exit(runCase(os.Args[1:])) }

// runCase plays the case that the arguments name, with the record at the path that they name.
func runCase(args []string) int {
	if len(args) != 2 || plays[args[0]] == nil {
		fmt.Println("usage: harness3 CASE RECORD")
		return exitFailed
	}
	r, err := newRecord(args[1])
	if err != nil {
		fmt.Println(err)
		return exitFailed
	}
	defer r.close()
	trouble := os.Getenv("TROUBLE") != "0"
	r.note("case %s, with the disruption: %v", args[0], trouble)
	type result struct {
		broken bool
		err    error
	}
	done := make(chan result, 1)
	go func() {
		broken, err := plays[args[0]](r, trouble)
		killStarted() // also what a play that has failed leaves behind
		done <- result{broken, err}
	}()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	select {
	case got := <-done:
		switch {
		case got.err != nil:
			r.show("the case couldn't run: %v", got.err)
			return exitFailed
		case got.broken:
			r.show("the rule was broken")
			return exitBroken
		}
		r.show("the rule held")
		return exitHeld
	case <-signals:
	case <-time.After(timeLimit):
	}
	r.show("the case was ended before its end")
	killStarted()
	return exitFailed
}
