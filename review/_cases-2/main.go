// Command review-cases-2 runs the scripted cases 6 to 10 of the review.
//
// A case starts the project's own programs as separate processes, with the command of the deploy
// file and settings files of a small deployment, and plays the operator, the load balancer, the
// workers and the consumers itself. Its record says what was sent, answered and run.
//
// # Usage
//
//	review-cases-2 CASE FOLDER
//
// The working folder is the root of the repository. CASE is uploads, template, added, dropped or
// tainted, or left, which is among the lesser findings of the report; FOLDER gets record.txt. With
// TROUBLE=0 in the environment the disruption is left out. REVIEW_LOGS names a folder in which the
// processes' logs stay. The exit status is 1 if the rule was broken, 0 if it held, and 2 if the case
// couldn't run.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit statuses.
const (
	statusHeld      = 0
	statusBroken    = 1
	statusNotPlayed = 2
)

// maxDuration limits a case.
const maxDuration = 115 * time.Second

// result is what a case has found.
type result struct {
	broken bool
	text   string
}

var cases = map[string]func(*stage) (result, error){
	"tainted":  playTainted,
	"uploads":  playUploads,
	"left":     playLeft,
	"template": playTemplate,
	"added":    playAdded,
	"dropped":  playDropped,
}

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	if len(args) != 2 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-cases-2 uploads|template|added|dropped|tainted|left FOLDER")
		return statusNotPlayed
	}
	rec, err := newRecord(filepath.Join(args[1], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return statusNotPlayed
	}
	defer rec.close()
	s, err := newStage(rec, os.Getenv("TROUBLE") != "0")
	if err != nil {
		rec.logf("not played: %v", err)
		return statusNotPlayed
	}
	defer s.end()
	outcome := make(chan error, 1)
	var r result
	go func() {
		var err error
		r, err = cases[args[0]](s)
		outcome <- err
	}()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	select {
	case err = <-outcome:
	case <-time.After(maxDuration):
		err = errors.New("the case takes too long")
	case <-signals:
		err = errors.New("interrupted")
	}
	switch {
	case err != nil:
		rec.logf("not played: %v", err)
		fmt.Println("not played:", err)
		return statusNotPlayed
	case r.broken:
		rec.logf("BROKEN: %s", r.text)
		fmt.Println("broken:", r.text)
		return statusBroken
	}
	rec.logf("held: %s", r.text)
	fmt.Println("held:", r.text)
	return statusHeld
}
