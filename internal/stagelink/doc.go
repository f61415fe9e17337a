// Package stagelink carries stages from gateways to collectors. All stages that wait at one
// collector share a few connections, so that the descriptors and the processor time of a
// control VM don't grow with the stages that wait.
//
// A connection begins as an HTTP request with an upgrade, so that it uses the address of the
// other calls between processes. After the upgrade both sides send wire.StageFrame messages,
// each preceded by its length. A stage is numbered by the gateway, and its response carries
// the number: responses come in the order in which stages end. Frames that queue up while an
// earlier write is running are written together.
//
// A connection that is silent while stages wait is pinged and then closed. Its stages fail
// with a *LinkError, and the gateway sends them again: to the same collector if that answers
// watches, and to another one otherwise.
//
// # Usage
//
//	links := stagelink.NewServer(collector, timers)
//	mux.Handle(stagelink.Path, links)
//
//	c := stagelink.NewClient(stagelink.Options{Timers: timers})
//	resp, err := c.RunStage(ctx, "10.0.0.4:7741", req)
package stagelink

import (
	"fmt"
	"time"
)

const (
	// Path is the path of the upgrade request, and protocol the name of the protocol in it.
	Path     = "/cardamomline.stages"
	protocol = "cardamomline-stages"

	// maxFrameBytes limits one frame. A stage names its inputs, at most some hundred results.
	maxFrameBytes = 1 << 20
	// maxQueuedBytes limits the frames that wait for a peer that doesn't read.
	maxQueuedBytes = 4 << 20
	// readBufferBytes is the size of the read buffer of a connection.
	readBufferBytes = 16 << 10
	// writeTimeout limits one write.
	writeTimeout = 2 * time.Second
	// dialTimeout limits the opening of a connection with its upgrade.
	dialTimeout = 600 * time.Millisecond
	// connsPerCollector is the number of connections between a gateway and a collector. With
	// two, a lost packet delays only a part of the stages.
	connsPerCollector = 2
	// pingInterval is the time without a frame after which a connection with waiting stages
	// is pinged, and pongTimeout the time after that in which a frame has to arrive.
	pingInterval = 250 * time.Millisecond
	pongTimeout  = 650 * time.Millisecond
	// idleTimeout is the time after the last stage after which a connection is closed.
	idleTimeout = 30 * time.Second
)

// ReasonStopping is the reason of a response when the collector stops. Another collector may
// run the stage.
const ReasonStopping = "collector_stopping"

// LinkError reports a stage whose response was lost with its connection. The stage may have
// run.
type LinkError struct {
	address string
	cause   error
}

// Error implements error.
func (e *LinkError) Error() string {
	return fmt.Sprintf("connection for stages to %s: %v", e.address, e.cause)
}

// Unwrap returns the cause.
func (e *LinkError) Unwrap() error { return e.cause }

// SilentError reports a connection that was closed because nothing arrived on it.
type SilentError struct{ after time.Duration }

// Error implements error.
func (e *SilentError) Error() string { return fmt.Sprintf("nothing received for %s", e.after) }

// FrameError reports a frame that isn't allowed.
type FrameError struct{ reason string }

// Error implements error.
func (e *FrameError) Error() string { return "stage frame: " + e.reason }

// UpgradeError reports a peer that doesn't carry stages.
type UpgradeError struct{ status int }

// Error implements error.
func (e *UpgradeError) Error() string {
	return fmt.Sprintf("upgrade to %s answered with status %d", protocol, e.status)
}
