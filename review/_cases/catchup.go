package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

const (
	// catchupRoutes is the number of routes after four changes that add 350 each, and catchupChanges the number of
	// changes of the config that follow.
	catchupRoutes  = 1400
	catchupChanges = 300
	catchupGap     = 80 * time.Millisecond
	// replacedAfter is when an empty machine comes in the place of one that is gone, and settleTime the time until the
	// next machine is lost: several times catchUpS, which is 4 s.
	replacedAfter = 2 * time.Second
	settleTime    = 16 * time.Second
	recoverTime   = 12 * time.Second
)

func init() { plays["catchup"] = playCatchup }

// wideConfig returns a config with a number of plain routes.
func wideConfig(version, routes int) string {
	var b strings.Builder
	fmt.Fprintf(&b, `{"version":%d,"routes":[`, version)
	for i := range routes {
		fmt.Fprintf(&b, `{"name":"r-%07d","host":"jepu%d.example","pathPrefix":"/cufi%d/fi50/","type":"safe","timeoutMs":800,"sloMs":100,"priority":2,"backend":"ledger-core","attempts":2,"public":false,"sticky":false,"resumable":false,"tpotTargetMs":0},`, i, i, i)
	}
	return b.String() + strings.TrimPrefix(startupConfig, `{"version":7,"routes":[`)
}

// playCatchup replaces a core machine, and later another one, after some hundred changes of a config that has grown.
func playCatchup(rec *record, trouble bool) error {
	f, err := newFleet(rec, 88, 1)
	if err != nil {
		return err
	}
	defer f.close()
	if err := f.startAll(); err != nil {
		return err
	}
	version := 7
	if err := f.putConfig(wideConfig(version, catchupRoutes), 20*time.Second); err != nil {
		return err
	}
	if err := f.awaitReady(20 * time.Second); err != nil {
		return err
	}
	began := time.Now()
	for range catchupChanges {
		version++
		if err := f.putConfig(wideConfig(version, catchupRoutes), 10*time.Second); err != nil {
			return err
		}
		time.Sleep(catchupGap)
	}
	rec.event("%d changes of %d bytes acknowledged in %v, the last one is version %d", catchupChanges, len(wideConfig(version, catchupRoutes)), time.Since(began).Round(time.Millisecond), version)
	if trouble {
		for _, n := range []int{2, 1} {
			f.kill(f.control[n])
			time.Sleep(replacedAfter)
			if err := f.replace(n); err != nil {
				return err
			}
			time.Sleep(settleTime - replacedAfter)
			readAll(rec, f)
		}
	}
	// Read back at the end of the day, for longer than recoverS and contactMs.
	for end := time.Now().Add(recoverTime + 2*contactTime); time.Now().Before(end); time.Sleep(300 * time.Millisecond) {
		for _, p := range f.control {
			if status, body, err := f.call(http.MethodGet, p, "/v1/config", ""); err == nil && status == http.StatusOK {
				rec.event("operator reads the config at %s: %.20q", p.name, body)
				if !strings.HasPrefix(body, fmt.Sprintf(`{"version":%d,`, version)) {
					return broken("LOST: version %d was acknowledged, and the config read back begins with %.20q", version, body)
				}
				return nil
			}
		}
	}
	readAll(rec, f)
	return broken("CONFIG: the config that was acknowledged as version %d doesn't come when it is read back for %v; of three core machines, one was lost at a time", version, recoverTime+2*contactTime)
}

// readAll lets the operator read the config at each core machine.
func readAll(rec *record, f *fleet) {
	for _, p := range f.control {
		status, body, err := f.call(http.MethodGet, p, "/v1/config", "")
		rec.event("operator reads the config at %s: status %d %.60q, error %v", p.name, status, body, err)
	}
}
