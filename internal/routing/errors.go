package routing

import "fmt"

// Shortage says in snake case why no target could be chosen.
type Shortage string

// Shortages of a NoTargetError.
const (
	ShortageNoTargets    Shortage = "no_targets"
	ShortageNoModel      Shortage = "model_not_served"
	ShortageNoVersion    Shortage = "software_version_not_served"
	ShortageAllExcluded  Shortage = "all_targets_tried"
	ShortageAllDraining  Shortage = "all_targets_leaving"
	ShortageAllTimedOut  Shortage = "all_targets_silent"
	ShortageAllPaused    Shortage = "all_targets_paused"
	ShortageAllEvacuated Shortage = "all_targets_evacuated"
	ShortageAllEjected   Shortage = "all_targets_ejected"
	ShortageAllLimited   Shortage = "all_targets_limited"
	ShortageNoneSuitable Shortage = "no_suitable_target"
)

// NoTargetError reports that no target of a service may get a call. The counts
// cover the known targets; each target is counted once, under its first reason.
type NoTargetError struct {
	service string
	model   string
	// oneVersion is set if only targets that run the version software fit.
	oneVersion   bool
	software     string
	shortage     Shortage
	known        int
	noModel      int
	otherVersion int
	leaving      int
	silent       int
	notReady     int
	paused       int
	// evacuated targets are in failure domains to which nothing may be sent.
	evacuated int
	ejected   int
	limited   int
	excluded  int
}

// Service returns the name of the service.
func (e *NoTargetError) Service() string { return e.service }

// Shortage returns the reason in snake case.
func (e *NoTargetError) Shortage() Shortage { return e.shortage }

// Error implements error.
func (e *NoTargetError) Error() string {
	version := ""
	if e.oneVersion {
		version = fmt.Sprintf(" at software version %q", e.software)
	}
	return fmt.Sprintf("no target of service %s for model %q%s: %s (known %d, without the model %d, of other versions %d, leaving %d, silent %d, not ready %d, paused %d, in evacuated failure domains %d, ejected %d, at their limit %d, already tried %d)",
		e.service, e.model, version, e.shortage, e.known, e.noModel, e.otherVersion, e.leaving, e.silent, e.notReady, e.paused, e.evacuated, e.ejected, e.limited, e.excluded)
}

// classify sets the shortage from the counts.
func (e *NoTargetError) classify() {
	serving := e.known - e.noModel - e.otherVersion
	switch {
	case e.known == 0:
		e.shortage = ShortageNoTargets
	case serving == 0 && e.otherVersion > 0:
		e.shortage = ShortageNoVersion
	case serving == 0:
		e.shortage = ShortageNoModel
	case e.leaving == serving:
		e.shortage = ShortageAllDraining
	case e.silent == serving:
		e.shortage = ShortageAllTimedOut
	case e.paused == serving:
		e.shortage = ShortageAllPaused
	case e.evacuated == serving:
		e.shortage = ShortageAllEvacuated
	case e.ejected == serving:
		e.shortage = ShortageAllEjected
	case e.limited == serving:
		e.shortage = ShortageAllLimited
	case e.excluded == serving:
		e.shortage = ShortageAllExcluded
	default:
		e.shortage = ShortageNoneSuitable
	}
}
