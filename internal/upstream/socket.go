package upstream

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// setAckTimeout closes a connection whose sent bytes stay unacknowledged.
func setAckTimeout(_, _ string, c syscall.RawConn) error {
	var failed error
	err := c.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(ackTimeout.Milliseconds()))
	})
	return first(err, failed)
}
