// Command cases runs the cases of the independent review. Each of them starts the project's program as separate
// processes and plays clients, workers, the operator and the platform by the users' pages.
//
// Usage: cases NAME RECORD
//
// TROUBLE=0 leaves the disruption out. The exit code is 1 if the rule was broken, 0 if it held and 2 if the case
// couldn't run.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// caseLimit ends a case that takes too long.
const caseLimit = 110 * time.Second

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// brokenError reports that the rule was broken.
type brokenError struct{ what string }

// Error implements error.
func (e *brokenError) Error() string { return e.what }

func broken(format string, args ...any) error {
	return &brokenError{what: fmt.Sprintf(format, args...)}
}

// play is one case. It returns a *brokenError if the rule was broken and another error if it couldn't run.
type play func(rec *record, trouble bool) error

var plays = map[string]play{}

func main() {
	if len(os.Args) != 3 || plays[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: cases NAME RECORD")
		os.Exit(exitNotRun)
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	// A caught signal has its default action in the processes that are started, an ignored one stays ignored: under
	// nohup they would ignore SIGHUP, unlike on the platform.
	signal.Notify(make(chan os.Signal, 1), syscall.SIGHUP)
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGINT, syscall.SIGTERM)
	ended := make(chan error, 1)
	go func() { ended <- plays[os.Args[1]](rec, os.Getenv("TROUBLE") != "0") }()
	select {
	case err = <-ended:
	case <-time.After(caseLimit):
		err = errors.New("the case takes too long")
	case s := <-stopped:
		err = fmt.Errorf("the case was ended by %v", s)
	}
	code := exitHeld
	var b *brokenError
	switch {
	case err == nil:
		rec.event("RESULT: the rule held")
	case errors.As(err, &b):
		code = exitBroken
		rec.event("RESULT: the rule was broken: %v", err)
	default:
		code = exitNotRun
		rec.event("RESULT: the case couldn't run: %v", err)
	}
	rec.close()
	closeFleets()
	fmt.Println(map[int]string{exitHeld: "held", exitBroken: "broken: ", exitNotRun: "not run: "}[code], err)
	os.Exit(code)
}
