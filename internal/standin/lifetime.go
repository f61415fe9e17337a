package standin

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// worker does the work of a kind of stand-in.
type worker interface {
	load() Load
}

// lifetime is a stand-in from a start to its end. What a process loses when it
// dies is kept here.
type lifetime struct {
	standin     *Standin
	worker      worker
	server      *http.Server
	connections *connections
	active      sync.Map // attempt id to *activeAttempt
	reports     loadReports
	ctx         context.Context
	end         context.CancelFunc
	routines    sync.WaitGroup
}

// newLifetime serves on a listener until kill.
func newLifetime(s *Standin, l net.Listener) *lifetime {
	life := &lifetime{standin: s, connections: newConnections()}
	life.ctx, life.end = context.WithCancel(context.Background())
	switch s.options.Kind {
	case KindEngine:
		e := newEngine(life, s.options)
		life.worker = e
		life.routines.Go(e.loop)
	case KindWeightStore:
		life.worker = newWeightStore(life, s.options)
	default:
		life.worker = newPool(life, s.options)
	}
	life.server = &http.Server{Handler: life.routes()}
	life.takeLoad()
	life.routines.Go(life.renewLoad)
	life.routines.Go(life.runSchedule)
	life.routines.Go(func() { _ = life.server.Serve(life.connections.listen(l)) })
	return life
}

// kill ends all work and waits for the goroutines of the lifetime.
func (l *lifetime) kill() {
	_ = l.server.Close()
	l.connections.closeAll()
	l.end()
	l.routines.Wait()
}

// spend lets the working time d pass, slower by a factor. It stands still while
// the stand-in is frozen.
func (l *lifetime) spend(ctx context.Context, d time.Duration, slow float64) error {
	if err := l.standin.faults.wait(ctx); err != nil {
		return err
	}
	if err := l.standin.timer.Sleep(ctx, time.Duration(float64(d)*slow)); err != nil {
		return err
	}
	return l.standin.faults.wait(ctx)
}

// runSchedule applies the scheduled faults of the options. Die ends it, so the
// faults due after it don't come.
func (l *lifetime) runSchedule() {
	start := l.standin.timer.Now()
	for _, f := range l.standin.options.Schedule {
		if l.standin.timer.Sleep(l.ctx, f.After-l.standin.timer.Since(start)) != nil {
			return
		}
		l.standin.faults.set(f.Faults)
		l.standin.strike(f.FaultCall)
	}
}
