package batching

import "time"

const (
	// fairHold is how long after a rejection customers are still treated fairly. Rejections
	// come in groups a second or so apart in a burst.
	fairHold = 3 * time.Second
	// fairDelayLimit bounds what a job is put back for its customer's share. It is less than
	// priorityDelay, so that no job falls behind one of a less urgent priority that arrived
	// at the same time with the same objective.
	fairDelayLimit = 250 * time.Millisecond
)

// fairShares puts back the jobs of customers that queue more than others of the same
// priority, by start-time fair queueing with equal weights. It is on while requests are being
// rejected; otherwise the order is that of the objectives alone.
type fairShares struct {
	until  time.Time // on before
	rate   float64   // pieces per second of the service
	queues [ranks]*fairQueue
}

// isOn reports whether customers are treated fairly.
func (f *fairShares) isOn(now time.Time) bool { return now.Before(f.until) }

// recordRejection turns fair shares on, or keeps them on.
func (f *fairShares) recordRejection(now time.Time) {
	if !f.isOn(now) {
		f.queues = [ranks]*fairQueue{}
	}
	f.until = now.Add(fairHold)
}

// add takes a job that hasn't started into its customer's queue.
func (f *fairShares) add(j *Job, now time.Time) {
	if !f.isOn(now) || !j.hasNotStarted() {
		return
	}
	q := f.queues[j.rank()]
	if q == nil {
		q = &fairQueue{customers: map[string]*fairCustomer{}}
		f.queues[j.rank()] = q
	}
	q.add(j)
}

// delay returns by how much a job is put back: the time until the other customers have
// started as many pieces as are ahead of the job in its own customer's queue.
func (f *fairShares) delay(j *Job, now time.Time) time.Duration {
	q := j.fairQueue
	if q == nil || !f.isOn(now) || len(q.customers) < 2 || f.rate <= 0 || q != f.queues[j.rank()] {
		return 0
	}
	ahead := max(j.startTag-q.virtualTime, 0) * float64(len(q.customers))
	return time.Duration(min(ahead/f.rate, fairDelayLimit.Seconds()) * float64(time.Second))
}

// fairQueue holds the tags of one priority, in pieces of each customer.
type fairQueue struct {
	virtualTime float64 // highest start tag of a job that has started
	customers   map[string]*fairCustomer
}

// fairCustomer is a customer with waiting jobs.
type fairCustomer struct {
	finishTag float64 // of its last job
	waiting   int     // jobs
}

func (q *fairQueue) add(j *Job) {
	c := q.customers[j.Customer]
	if c == nil {
		c = &fairCustomer{}
		q.customers[j.Customer] = c
	}
	j.fairQueue, j.startTag = q, max(q.virtualTime, c.finishTag)
	c.finishTag = j.startTag + float64(j.Pieces)
	c.waiting++
}

// remove takes a job out of its queue that starts, or ends without a start, which costs its
// customer nothing.
func (q *fairQueue) remove(j *Job, starts bool) {
	c := q.customers[j.Customer]
	j.fairQueue = nil
	if starts {
		q.virtualTime = max(q.virtualTime, j.startTag)
	} else {
		c.finishTag -= float64(j.Pieces)
	}
	c.waiting--
	if c.waiting == 0 {
		delete(q.customers, j.Customer)
	}
}

// leaveFairQueue takes the job out of its customer's queue, if it is in one.
func (j *Job) leaveFairQueue(starts bool) {
	if j.fairQueue != nil {
		j.fairQueue.remove(j, starts)
	}
}
