package directory

import (
	"context"
	"maps"
	"time"

	"github.com/go-faster/errors"
	"github.com/twitchtv/twirp"
	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"github.com/cardamomline/cardamomline/internal/origin"
	"github.com/cardamomline/cardamomline/internal/replica"
	"github.com/cardamomline/cardamomline/internal/wire"
)

const (
	// versionInterval is the interval at which the leader looks for software versions without
	// targets.
	versionInterval = 5 * time.Second
	// versionRetention is the time without a target, and without a stream that may be taken up, after
	// which a software version is removed. Streams at the first version of a service have no records.
	versionRetention = 2 * time.Minute
	// firstDelay is the time for which a version has to be the only one until its streams need no
	// records. Gateways use what they know of the one before for half of it at most.
	firstDelay = time.Minute
	// originSyncInterval is the interval at which a control VM that has started asks the others for
	// the origins of streams, until enough of them have answered.
	originSyncInterval = 300 * time.Millisecond
	// originSyncTimeout is the time after which it stops asking, because the others have started as
	// well. What was recorded before its start is then unknown here.
	originSyncTimeout = 10 * time.Second
)

// softwareVersion is a software version of a service.
type softwareVersion struct{ service, software string }

// membership returns whether this VM votes, the number of voters and the addresses of the others.
func (d *Directory) membership() (voter bool, voters int, others []string) {
	s := d.o.Node.Status()
	for _, m := range s.Members {
		switch {
		case m.Member.GetLearner():
			continue
		case m.Member.GetId() == s.Member:
			voter = true
		default:
			others = append(others, m.Member.GetAddress())
		}
		voters++
	}
	return voter, voters, others
}

// isMajority reports whether n of the voters are a majority.
func isMajority(n, voters int) bool { return 2*n > voters }

// addVersion commits that a software version may begin streams, and returns once this VM knows.
func (d *Directory) addVersion(v softwareVersion) error {
	if d.o.Store.softwareVersions(v.service).Has(v.software) {
		return nil
	}
	if !d.isInContact() {
		return &UnconfirmedError{cause: errors.New("no quorum has answered lately")}
	}
	_, err, _ := d.additions.Do(v.service+"\x00"+v.software, func() (any, error) { return nil, d.commitVersion(v) })
	return err
}

func (d *Directory) commitVersion(v softwareVersion) error {
	ctx, cancel := context.WithTimeout(d.ctx, leaderTimeout)
	defer cancel()
	for {
		changed := d.o.Store.Changed()
		if d.o.Store.softwareVersions(v.service).Has(v.software) {
			return nil
		}
		ok, err := d.changeVersionAtLeader(ctx, &wire.VersionChange{Service: v.service, Software: v.software})
		switch {
		case err != nil:
			if sleepErr := d.o.Timers.Sleep(ctx, leaderRetryDelay); sleepErr != nil {
				return &UnconfirmedError{cause: err}
			}
			continue
		case !ok:
			return errors.Errorf("service %q has too many software versions", v.service)
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return &UnconfirmedError{cause: ctx.Err()}
		}
	}
}

func (d *Directory) changeVersionAtLeader(ctx context.Context, c *wire.VersionChange) (bool, error) {
	client := d.leaderClient()
	if client == nil {
		return d.proposeVersion(ctx, c)
	}
	resp, err := client.ChangeVersion(ctx, &wire.ChangeVersionRequest{Change: c})
	return resp.GetChanged(), err
}

// proposeVersion commits a change on this replica. It fails unless this replica is the leader.
func (d *Directory) proposeVersion(ctx context.Context, c *wire.VersionChange) (bool, error) {
	data, err := proto.Marshal(&wire.StoreCatalogCommand{Software: c})
	if err != nil {
		return false, errors.Wrap(err, "encode change")
	}
	result, err := d.o.Node.Propose(ctx, data)
	if err != nil {
		return false, err
	}
	ok, isResult := result.(softwareResult)
	if !isResult {
		return false, errors.Errorf("unexpected store result %v", result)
	}
	klog.InfoS("Software version committed", "service", c.GetService(), "software", c.GetSoftware(), "removed", c.GetRemoved(), "first", c.GetFirst(), "changed", bool(ok))
	return bool(ok), nil
}

// removeVersions removes the software versions that have had no target for versionRetention, and
// no stream that may still be taken up. Only the leader does.
func (d *Directory) removeVersions(ctx context.Context) {
	if d.o.Node.Status().Role != replica.Leader {
		d.versionSeen, d.onlySince = nil, nil
		return
	}
	now := d.o.Timers.Now()
	if d.versionSeen == nil {
		d.versionSeen, d.onlySince = map[softwareVersion]time.Time{}, map[softwareVersion]time.Time{}
	}
	for service, versions := range d.o.Store.allSoftwareVersions() {
		d.advanceFirst(ctx, service, versions, now)
		for _, software := range versions.Active {
			v := softwareVersion{service: service, software: software}
			if _, known := d.versionSeen[v]; !known || d.o.Table.HasSoftware(service, software) {
				d.versionSeen[v] = now
			}
			if len(versions.Active) < 2 || now.Sub(d.versionSeen[v]) < versionRetention || now.Before(d.o.Origins.UsedUntil(service, software)) {
				continue
			}
			d.commitChange(ctx, &wire.VersionChange{Service: service, Software: software, Removed: true})
			delete(d.versionSeen, v)
		}
	}
}

// advanceFirst makes the only version of a service the first one after firstDelay, so that its
// streams need no records any more.
func (d *Directory) advanceFirst(ctx context.Context, service string, versions origin.ServiceVersions, now time.Time) {
	v := softwareVersion{service: service}
	if versions.FirstChanges() {
		v.software = versions.Active[0]
	}
	maps.DeleteFunc(d.onlySince, func(other softwareVersion, _ time.Time) bool { return other.service == service && other != v })
	if v.software == "" {
		return
	}
	since, known := d.onlySince[v]
	if !known {
		d.onlySince[v] = now
		return
	}
	if now.Sub(since) >= firstDelay {
		d.commitChange(ctx, &wire.VersionChange{Service: service, Software: v.software, First: true})
	}
}

// commitChange commits a change as the leader. Without a quorum it is tried again later.
func (d *Directory) commitChange(ctx context.Context, c *wire.VersionChange) {
	ctx, cancel := context.WithTimeout(ctx, leaderTimeout)
	defer cancel()
	if _, err := d.proposeVersion(ctx, c); err != nil {
		klog.InfoS("Software version not changed", "service", c.GetService(), "software", c.GetSoftware(), "removed", c.GetRemoved(), "first", c.GetFirst(), "cause", err.Error())
	}
}

// syncOrigins gets the origins of streams that were recorded before this VM has started. Each was
// stored by a majority of the voters before its stream's first event was passed on, so that a
// majority that doesn't count this VM has all of them.
func (d *Directory) syncOrigins() {
	answered := map[string]time.Time{} // since when the records of a voter are complete
	for {
		if _, complete := d.o.Origins.CompleteSince(); complete {
			return
		}
		voter, voters, others := d.membership()
		for _, address := range others {
			if _, ok := answered[address]; ok {
				continue
			}
			if since, ok := d.fetchOrigins(address); ok {
				answered[address] = since
			}
		}
		if voter && isMajority(len(answered), voters) {
			var since time.Time
			for _, at := range answered {
				if at.After(since) {
					since = at
				}
			}
			d.o.Origins.SetComplete(since)
			klog.InfoS("Origins of streams synchronized", "records", d.o.Origins.Len(), "sources", len(answered), "complete_ms", d.o.Timers.Since(since).Milliseconds())
			return
		}
		if d.o.Timers.Since(d.startedAt) > originSyncTimeout {
			d.o.Origins.SetComplete(d.startedAt)
			klog.InfoS("Origins of streams not synchronized", "records", d.o.Origins.Len(), "sources", len(answered))
			return
		}
		if err := d.o.Timers.Sleep(d.ctx, originSyncInterval); err != nil {
			return
		}
	}
}

// fetchOrigins merges the records of another control VM and returns since when they are complete.
func (d *Directory) fetchOrigins(address string) (since time.Time, ok bool) {
	ctx, cancel := context.WithTimeout(d.ctx, leaderTimeout)
	defer cancel()
	resp, err := wire.NewDirectoryProtobufClient("http://"+address, d.o.HTTP).ListOrigins(ctx, &wire.ListOriginsRequest{})
	if err != nil {
		klog.V(1).InfoS("Origins of streams not fetched", "from", address, "cause", err.Error())
		return time.Time{}, false
	}
	now := d.o.Timers.Now()
	d.mergeOrigins(resp, now)
	switch {
	case resp.GetAlwaysComplete():
		return time.Time{}, true
	case resp.CompleteMs == nil:
		return time.Time{}, false
	}
	return now.Add(-time.Duration(resp.GetCompleteMs()) * time.Millisecond), true
}

// mergeOrigins merges the records of another control VM.
func (d *Directory) mergeOrigins(resp *wire.ListOriginsResponse, now time.Time) {
	for _, v := range resp.GetVersions() {
		for i, stream := range v.GetStreams()[:min(len(v.GetStreams()), len(v.GetAttempts()), len(v.GetLivesMs()))] {
			life := time.Duration(v.GetLivesMs()[i]) * time.Millisecond
			d.o.Origins.Record(origin.NewRecord(origin.Stream(stream), v.GetService(), v.GetSoftware(), v.GetAttempts()[i], life), now)
		}
	}
}

func decodeOrigin(o *wire.StreamOrigin) origin.Record {
	return origin.NewRecord(origin.Stream(o.GetStream()), o.GetService(), o.GetSoftware(), o.GetAttempt(), time.Duration(o.GetLifeMs())*time.Millisecond)
}

func encodeOrigin(r origin.Record) *wire.StreamOrigin {
	return &wire.StreamOrigin{Stream: uint64(r.Stream()), Service: r.Service(), Software: r.Software(), Attempt: r.Attempt(), LifeMs: uint32(r.Life().Milliseconds())}
}

func encodeVersions(service string, v origin.ServiceVersions) *wire.SoftwareVersions {
	return &wire.SoftwareVersions{Service: service, First: v.First, Active: v.Active, FirstChanges: v.FirstChanges()}
}

// RecordOrigins implements wire.Directory.
func (s *service) RecordOrigins(_ context.Context, r *wire.RecordOriginsRequest) (*wire.RecordOriginsResponse, error) {
	resp := &wire.RecordOriginsResponse{Stored: make([]bool, len(r.GetOrigins()))}
	added := map[softwareVersion]error{}
	for i, o := range r.GetOrigins() {
		v := softwareVersion{service: o.GetService(), software: o.GetSoftware()}
		err, known := added[v]
		if !known {
			err = s.d.addVersion(v)
			added[v] = err
			if err != nil {
				klog.InfoS("Software version not added", "service", v.service, "software", v.software, "cause", err.Error())
			}
			resp.Versions = append(resp.Versions, encodeVersions(v.service, s.d.o.Store.softwareVersions(v.service)))
		}
		if err == nil {
			s.d.o.Origins.Record(decodeOrigin(o), s.d.o.Timers.Now())
			resp.Stored[i] = true
		}
	}
	voter, voters, _ := s.d.membership()
	resp.Voter, resp.Voters, resp.Epoch = voter, uint32(voters), s.d.o.Table.Epoch()
	s.d.o.Metrics.Gauge("stored_stream_origins", float64(s.d.o.Origins.Len()))
	return resp, nil
}

// FindOrigin implements wire.Directory.
func (s *service) FindOrigin(_ context.Context, r *wire.FindOriginRequest) (*wire.FindOriginResponse, error) {
	now := s.d.o.Timers.Now()
	resp := &wire.FindOriginResponse{Complete: s.d.o.Origins.CompleteFor(time.Duration(r.GetWindowMs())*time.Millisecond, now)}
	if rec, ok := s.d.o.Origins.Find(origin.Stream(r.GetStream()), now); ok {
		resp.Origin = encodeOrigin(rec)
	}
	if v := s.d.o.Store.softwareVersions(r.GetService()); len(v.Active) > 0 {
		resp.Versions = encodeVersions(r.GetService(), v)
	}
	resp.Confirmed = s.d.isConfirmed(s.d.o.Store.versions())
	voter, voters, _ := s.d.membership()
	resp.Voter, resp.Voters, resp.Revision = voter, uint32(voters), s.d.o.Store.versions().software
	return resp, nil
}

// ListOrigins implements wire.Directory.
func (s *service) ListOrigins(context.Context, *wire.ListOriginsRequest) (*wire.ListOriginsResponse, error) {
	now := s.d.o.Timers.Now()
	resp := &wire.ListOriginsResponse{}
	if since, ok := s.d.o.Origins.CompleteSince(); ok {
		resp.AlwaysComplete = since.IsZero()
		resp.CompleteMs = proto.Uint64(uint64(max(now.Sub(since), 0).Milliseconds()))
	}
	groups := map[softwareVersion]*wire.VersionOrigins{}
	for _, rec := range s.d.o.Origins.Records(now) {
		v := softwareVersion{service: rec.Service(), software: rec.Software()}
		g := groups[v]
		if g == nil {
			g = &wire.VersionOrigins{Service: v.service, Software: v.software}
			groups[v] = g
			resp.Versions = append(resp.Versions, g)
		}
		g.Streams = append(g.Streams, uint64(rec.Stream()))
		g.Attempts = append(g.Attempts, rec.Attempt())
		g.LivesMs = append(g.LivesMs, uint32(rec.Life().Milliseconds()))
	}
	return resp, nil
}

// ChangeVersion implements wire.Directory.
func (s *service) ChangeVersion(ctx context.Context, r *wire.ChangeVersionRequest) (*wire.ChangeVersionResponse, error) {
	ok, err := s.d.proposeVersion(ctx, r.GetChange())
	if err != nil {
		return nil, twirp.WrapError(twirp.NewError(twirp.Unavailable, err.Error()), err)
	}
	return &wire.ChangeVersionResponse{Changed: ok}, nil
}
