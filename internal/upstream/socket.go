package upstream

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// setAckTimeout makes the kernel close a connection whose sent bytes remain
// unacknowledged for ackTimeout.
func setAckTimeout(_, _ string, c syscall.RawConn) error {
	var failed error
	err := c.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(ackTimeout.Milliseconds()))
	})
	return firstError(err, failed)
}
