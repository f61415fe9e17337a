package stagelink

import (
	"bufio"
	"bytes"
	"net"
	"sync"

	"google.golang.org/protobuf/encoding/protodelim"

	"github.com/cardamomline/cardamomline/internal/timer"
	"github.com/cardamomline/cardamomline/internal/wire"
)

// link is one side of an upgraded connection. It is safe for concurrent use.
type link struct {
	conn    net.Conn
	reader  *bufio.Reader
	timers  *timer.Service
	mu      sync.Mutex
	queued  bytes.Buffer // frames that wait for the writer
	closing bool         // the link ends when the queued frames are written
	err     error        // why the link has ended
	wake    chan struct{}
	ended   chan struct{}
	wg      sync.WaitGroup
}

func newLink(conn net.Conn, r *bufio.Reader, ts *timer.Service) *link {
	l := &link{conn: conn, reader: r, timers: ts, wake: make(chan struct{}, 1), ended: make(chan struct{})}
	l.wg.Go(l.write)
	return l
}

// send queues a frame. It never blocks; a frame for a link that has ended is dropped.
func (l *link) send(f *wire.StageFrame) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.err != nil || l.closing {
		return l.endError()
	}
	before := l.queued.Len()
	n, err := protodelim.MarshalTo(&l.queued, f)
	switch {
	case err != nil:
		l.queued.Truncate(before)
		return &FrameError{reason: "not encoded: " + err.Error()}
	case n > maxFrameBytes:
		l.queued.Truncate(before)
		return &FrameError{reason: "too large to be sent"}
	case l.queued.Len() > maxQueuedBytes:
		l.end(&FrameError{reason: "the peer doesn't read"})
		return l.err
	}
	select {
	case l.wake <- struct{}{}:
	default:
	}
	return nil
}

func (l *link) endError() error {
	if l.err != nil {
		return l.err
	}
	return net.ErrClosed
}

// receive returns the next frame. An error ends the link.
func (l *link) receive() (*wire.StageFrame, error) {
	f := &wire.StageFrame{}
	err := protodelim.UnmarshalOptions{MaxSize: maxFrameBytes}.UnmarshalFrom(l.reader, f)
	if err != nil {
		l.close(err)
		return nil, l.cause()
	}
	return f, nil
}

// write writes the queued frames until the link ends.
func (l *link) write() {
	var buf bytes.Buffer
	for {
		select {
		case <-l.wake:
		case <-l.ended:
			return
		}
		l.mu.Lock()
		buf, l.queued = l.queued, buf
		closing := l.closing
		l.mu.Unlock()
		err := l.conn.SetWriteDeadline(l.timers.Now().Add(writeTimeout))
		if err == nil && buf.Len() > 0 {
			_, err = l.conn.Write(buf.Bytes())
		}
		buf.Reset()
		if err == nil && closing {
			err = net.ErrClosed
		}
		if err != nil {
			l.close(err)
			return
		}
	}
}

// finish ends the link once all queued frames are written.
func (l *link) finish() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closing = true
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// close ends the link at once.
func (l *link) close(cause error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.end(cause)
}

// end ends the link; l.mu is held.
func (l *link) end(cause error) {
	if l.err != nil {
		return
	}
	l.err = cause
	close(l.ended)
	_ = l.conn.Close()
}

// cause returns why the link has ended.
func (l *link) cause() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.err
}
