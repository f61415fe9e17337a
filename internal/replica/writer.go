package replica

import (
	"github.com/go-faster/errors"

	"github.com/cardamomline/cardamomline/internal/journal"
)

// writeJob is a journal write, messages that depend on this or earlier writes, or both.
type writeJob struct {
	write    *Write
	messages []Message
}

// writeLoop saves all queued writes with one sync, and only then sends the messages
// that depend on them.
func (n *Node) writeLoop() {
	defer n.loops.Done()
	for {
		select {
		case <-n.quit:
			return
		case <-n.writes.ready():
		}
		if err := n.saveWithRetries(n.writes.take()); err != nil {
			n.fail(errors.Wrap(err, "save to journal"))
			return
		}
	}
}

func (n *Node) save(jobs []writeJob) error {
	var batches []journal.Batch
	var messages []Message
	var sequence uint64
	for _, job := range jobs {
		messages = append(messages, job.messages...)
		if job.write != nil {
			batches = append(batches, job.write.Batch)
			sequence = job.write.Sequence
		}
	}
	if len(batches) > 0 {
		if err := n.o.Journal.Save(batches); err != nil {
			return err
		}
	}
	n.send(messages)
	if sequence > 0 {
		n.events.put(Persisted{Sequence: sequence})
	}
	return nil
}
