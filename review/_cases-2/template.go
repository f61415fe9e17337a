package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

const (
	// Parts of prompts: the second part is a document of the caller.
	usualTemplate  = "5c1e07a2"
	usualDocument  = "91bd3f06"
	newDocument    = "7a11d0c5"
	templateRate   = 24 // sound requests a second
	deadlyJobRate  = 5  // requests with the deadly part a second
	templateBefore = 10 * time.Second
	templateDelay  = 5 * time.Second // from the first deadly request until the callers use the new document
	templateAfter  = 12 * time.Second
	// leastRequests is the number of sound requests that each side of the comparison needs.
	leastRequests = 20
)

// tally counts sound requests.
type tally struct{ asked, begun int }

func (t tally) share() float64 { return float64(t.begun) / float64(max(t.asked, 1)) }

// template is the state of the case.
type template struct {
	*tainted
	document      string
	before, after tally
	measured      *tally // the one that requests count for; nil for none
}

// playTemplate shows that sound requests are refused when the first part of a prompt crashes
// workers and comes with a document that is new.
func playTemplate(s *stage) (result, error) {
	c := &template{tainted: &tainted{stage: s, sentBy: map[string]*process{}}, document: usualDocument}
	if err := s.start(3, 3, taintedConfig); err != nil {
		return result{}, err
	}
	for range taintedWorkers {
		if _, err := s.newWorker("huvo11a", 64, c.act); err != nil {
			return result{}, err
		}
	}
	if err := s.await("a sound request is served at each gateway", 10*time.Second, func() bool {
		for _, p := range s.gates {
			if s.send(p, c.soundOn(usualDocument)).status != http.StatusOK {
				return false
			}
		}
		return true
	}); err != nil {
		return result{}, err
	}
	time.Sleep(contact)
	c.measure(&c.before)
	s.wg.Go(func() { c.traffic(templateRate, s.ctx.Done(), c.sendSoundOn) })
	time.Sleep(templateBefore)
	c.measure(nil)

	began := time.Now()
	if s.trouble {
		s.logf("a job with the deadly first part begins, on a new document")
		s.wg.Go(func() { c.traffic(deadlyJobRate, s.ctx.Done(), c.sendDeadlyJob) })
		if err := s.await("five crashes", 20*time.Second, func() bool { return c.crashCount() >= knownCrashes }); err != nil {
			return result{}, err
		}
	}
	fifth := time.Now()
	time.Sleep(time.Until(began.Add(templateDelay)))
	s.logf("the callers use the new document")
	c.mu.Lock()
	c.document = newDocument
	c.mu.Unlock()
	time.Sleep(time.Until(fifth.Add(2 * contact)))
	c.measure(&c.after)
	time.Sleep(templateAfter)
	c.measure(nil)
	time.Sleep(time.Second)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.before.asked < leastRequests || c.after.asked < leastRequests {
		return result{}, fmt.Errorf("too few sound requests: %v, %v", c.before, c.after)
	}
	text := fmt.Sprintf("of the sound requests with the same key %.2f (of %d) began at the first attempt from 2 x contactMs after the fifth crash on, %.2f (of %d) before; half as often is allowed; %d crashes",
		c.after.share(), c.after.asked, c.before.share(), c.before.asked, len(c.crashes))
	return result{broken: c.after.share() < c.before.share()/2, text: text}, nil
}

// measure sets what sound requests that are sent from now on count for.
func (c *template) measure(t *tally) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.measured = t
}

func (c *template) soundOn(document string) request {
	return c.draft(fmt.Sprintf("%s:800,%s:410,%016x:250", usualTemplate, document, rand.Uint64()))
}

func (c *template) sendSoundOn() {
	list := c.rotation()
	if len(list) == 0 {
		return
	}
	p := list[rand.IntN(len(list))]
	c.mu.Lock()
	q, t := c.soundOn(c.document), c.measured
	if t != nil {
		t.asked++
	}
	c.mu.Unlock()
	a := c.send(p, q)
	begun := a.status == http.StatusOK && strings.Contains(a.body, "id: 0\n")
	c.logf("sound request %s on %s at %s: status %d, begun: %t %.40q", q.id, strings.Split(q.header["Prefix-Hash"], ",")[1], p.name, a.status, begun, strings.Split(a.body, "\n")[0])
	c.mu.Lock()
	defer c.mu.Unlock()
	if t != nil && begun {
		t.begun++
	}
}

func (c *template) sendDeadlyJob() {
	list := c.rotation()
	if len(list) == 0 {
		return
	}
	p := list[rand.IntN(len(list))]
	q := c.draft(fmt.Sprintf("%s:800,%s:410,%016x:250", deadlyPart, newDocument, rand.Uint64()))
	a := c.send(p, q)
	c.logf("request %s with the deadly part at %s: status %d, %v %.40q", q.id, p.name, a.status, a.err, strings.Split(a.body, "\n")[0])
}
