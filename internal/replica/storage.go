package replica

import (
	"sync"
	"time"

	"github.com/go-faster/errors"
	"k8s.io/klog/v2"

	"github.com/cardamomline/cardamomline/internal/journal"
	"github.com/cardamomline/cardamomline/internal/timer"
)

const (
	// storageRetryInterval is the interval between attempts of a journal write that failed.
	storageRetryInterval = 250 * time.Millisecond
	// storageStallTimeout is the duration after which a journal write in progress counts as
	// failed. Waiting for a stalled disk takes the leader longer than an election.
	storageStallTimeout = time.Second
	// maxHeldMessages limits the messages that wait for a failing write. Older ones are
	// dropped, as by a network.
	maxHeldMessages = 256
)

// StorageFailed reports that journal writes fail or stall. Until StorageRecovered the replica
// doesn't campaign, and it transfers its leadership.
type StorageFailed struct{}

// StorageRecovered reports that journal writes succeed again.
type StorageRecovered struct{}

func (StorageFailed) event()    {}
func (StorageRecovered) event() {}

// onStorageFailed transfers the leadership, because a leader that can't store entries is no
// part of a quorum. Followers and candidates need no change: their votes and
// acknowledgements wait for the write.
func (c *Core) onStorageFailed() {
	c.storageFailed = true
	if c.role == Leader {
		c.onTransferLeadership(noCall)
	}
}

// storage tracks whether journal writes succeed. It is safe for concurrent use.
type storage struct {
	timers  *timer.Service
	publish func(Event)

	mu       sync.Mutex
	writing  time.Time // start of the write in progress, or zero
	failing  time.Time // start of the failure, or zero
	failure  string    // "" while writes succeed
	attempts int       // failed attempts since the start of the failure
}

func newStorage(timers *timer.Service, publish func(Event)) *storage {
	return &storage{timers: timers, publish: publish}
}

// begin records the start of a write.
func (s *storage) begin() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writing = s.timers.Now()
}

// end records the result of a write.
func (s *storage) end(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writing = time.Time{}
	if err != nil {
		s.attempts++
		s.failLocked(err.Error())
		return
	}
	if s.failure == "" {
		return
	}
	klog.InfoS("Journal writes succeed again", "failing_ms", s.timers.Since(s.failing).Milliseconds(), "failed_attempts", s.attempts)
	s.failure, s.failing, s.attempts = "", time.Time{}, 0
	s.publish(StorageRecovered{})
}

// check detects a stalled write.
func (s *storage) check() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.writing.IsZero() && s.failure == "" && s.timers.Since(s.writing) > storageStallTimeout {
		s.failLocked("journal write stalls")
	}
}

func (s *storage) failLocked(failure string) {
	if s.failure == "" {
		s.failing = s.timers.Now()
		klog.ErrorS(nil, "Journal writes fail, the replica neither votes nor acknowledges", "failure", failure)
		s.publish(StorageFailed{})
	}
	s.failure = failure
}

// state returns the failure, or "" while writes succeed.
func (s *storage) state() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.failure
}

// saveWithRetries saves the jobs, and those that arrive in the meantime, and repeats that
// until it succeeds. It returns an error that a repetition can't correct, or that of the
// context of the replica.
func (n *Node) saveWithRetries(jobs []writeJob) error {
	for {
		n.storage.begin()
		err := n.save(jobs)
		var failed *journal.FailedError
		if err != nil && !errors.As(err, &failed) {
			return err
		}
		n.storage.end(err)
		if err == nil {
			return nil
		}
		if err := n.o.Timer.Sleep(n.ctx, storageRetryInterval); err != nil {
			return err
		}
		jobs = dropOldMessages(append(jobs, n.writes.take()...))
	}
}

// dropOldMessages limits the messages of the jobs to the newest maxHeldMessages.
func dropOldMessages(jobs []writeJob) []writeJob {
	kept := 0
	for i := len(jobs) - 1; i >= 0; i-- {
		m := jobs[i].messages
		jobs[i].messages = m[max(0, len(m)-(maxHeldMessages-kept)):]
		kept += len(jobs[i].messages)
	}
	var rest []writeJob
	for _, job := range jobs {
		if job.write != nil || len(job.messages) > 0 {
			rest = append(rest, job)
		}
	}
	return rest
}
