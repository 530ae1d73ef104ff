package streamorigin

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"github.com/sirupsen/logrus"

	"github.com/dotterelthread/dotterelthread/internal/obs"
	"github.com/dotterelthread/dotterelthread/internal/protocol/keyedlog"
)

const (
	// baseWriteInterval is the time between two writes in a small fleet, and writeIntervalPerRouter bounds those of a
	// large one to 200 a second. Streams that began since the last write are lost with their router.
	baseWriteInterval      = 250 * time.Millisecond
	writeIntervalPerRouter = 5 * time.Millisecond
	// minWriteInterval is the time between two writes when streams break off.
	minWriteInterval = 40 * time.Millisecond
	writeRetryDelay  = 200 * time.Millisecond
	writeTimeout     = 1200 * time.Millisecond
	// renewInterval is the time between two writes of a record that does not change.
	renewInterval = time.Minute
	// epochStep, in microseconds, exceeds the number of epochs that a process starts after its last record.
	epochStep = 1_000_000
	// maxRecordStreams bounds a record to half of what the log accepts. Streams beyond it are left out, and their versions
	// are among the unrecorded ones.
	maxRecordStreams = 16_000
)

// writerState is the state of the record in the log. Registry.mu guards it.
type writerState struct {
	// inherited is true once the record of an earlier process of the VM was read. It must not be overwritten before.
	inherited bool
	// dirty is true if the log lacks what the record must say.
	dirty     bool
	writtenAt time.Time
	// producer numbers the appends. An epoch ends with the first append that fails, which may still be executed: the next
	// epoch fences it.
	producer keyedlog.Producer
	// builtAt is when the record of the last write was built.
	builtAt time.Time
	// versions are the services and versions in the last record, as text.
	versions string
	era      uint64
	failing  bool
}

func (w *writerState) startEpoch() { w.producer.Epoch, w.producer.Sequence = w.producer.Epoch+1, 0 }

// writeInterval returns the time between two writes, which grows with the fleet.
func (r *Registry) writeInterval() time.Duration {
	return max(baseWriteInterval, time.Duration(r.cfg.Routers())*writeIntervalPerRouter)
}

// step writes the record if it has changed. Its first call reads that of an earlier process of the VM. The records take effect
// in the order in which they are built.
func (r *Registry) step(ctx context.Context) error {
	select {
	case r.stepping <- struct{}{}:
		defer func() { <-r.stepping }()
	case <-ctx.Done():
		return errors.WithStack(context.Cause(ctx))
	}
	if err := r.inherit(ctx); err != nil {
		return err
	}
	value, included := r.nextRecord()
	if value == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	_, err := r.cfg.Log.AppendAs(ctx, r.cfg.Stream, []keyedlog.Record{{Key: r.cfg.VM, Value: value}}, r.writer.producer)
	r.noteWrite(included, err)
	r.noteAnnounced(err == nil)
	return err
}

// noteAnnounced calls OnAnnounced if new streams may begin at further versions now.
func (r *Registry) noteAnnounced(written bool) {
	r.mu.Lock()
	changed := r.announce(written, r.cfg.Now())
	r.mu.Unlock()
	if changed && r.cfg.OnAnnounced != nil {
		r.cfg.OnAnnounced()
	}
}

// inherit takes over the streams in the record of an earlier process of the VM.
func (r *Registry) inherit(ctx context.Context) error {
	r.mu.Lock()
	inherited := r.writer.inherited
	r.mu.Unlock()
	if inherited {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	l, err := r.list(ctx)
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.cfg.Now()
	r.writer.inherited, r.writer.dirty, r.writer.era = true, true, r.cfg.Log.CurrentEra()
	rec := l.records[r.cfg.VM]
	// The time of day may have been set back.
	r.writer.producer.Epoch = max(r.writer.producer.Epoch, rec.Epoch+epochStep)
	if rec.outdated(now) {
		return nil
	}
	for _, s := range rec.Services {
		for _, version := range s.Unrecorded {
			r.unrecorded[Origin{Service: s.Name, Version: version}] = now.Add(retention)
		}
		for _, v := range s.Versions {
			o := Origin{Service: s.Name, Version: v.Version}
			r.noteSeen(o, now)
			r.unrecorded[o] = now.Add(retention)
			for _, h := range v.hashes() {
				if r.streams[h] == nil && len(r.streams) < maxStreams {
					r.streams[h] = &stream{Origin: o, endedAt: now}
				}
			}
		}
	}
	if rec.Era != r.writer.era {
		// The lost records may have named any version.
		for service, versions := range r.seen {
			for version := range versions {
				r.unrecorded[Origin{Service: service, Version: version}] = now.Add(retention)
			}
		}
	}
	return nil
}

// nextRecord returns the record to write and the streams in it, or nil if the log has it already.
func (r *Registry) nextRecord() (value []byte, included []*stream) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.cfg.Now()
	r.expire(now)
	era := r.cfg.Log.CurrentEra()
	if era != r.writer.era {
		// The copy may lack the last append.
		r.writer.startEpoch()
	}
	dirty := r.writer.dirty || era != r.writer.era || now.Sub(r.writer.writtenAt) > renewInterval
	rec := record{WrittenMillis: now.UnixMilli(), Epoch: r.writer.producer.Epoch, Sequence: r.writer.producer.Sequence + 1, Era: era}
	for service, versions := range r.seen {
		s := serviceRecord{Name: service}
		for version := range versions {
			s.Versions = append(s.Versions, versionRecord{Version: version})
		}
		slices.SortFunc(s.Versions, func(a, b versionRecord) int { return strings.Compare(a.Version, b.Version) })
		rec.Services = append(rec.Services, s)
	}
	slices.SortFunc(rec.Services, func(a, b serviceRecord) int { return strings.Compare(a.Name, b.Name) })
	unrecorded := maps.Clone(r.unrecorded)
	for h, s := range r.streams {
		v := rec.versionOf(s.Origin)
		switch {
		case v == nil:
		case len(included) >= maxRecordStreams:
			unrecorded[s.Origin] = time.Time{}
		default:
			v.add(h)
			included = append(included, s)
		}
	}
	rec.setUnrecorded(unrecorded)
	versions := rec.versionNames()
	// Beside several versions, each new record shows that its process is alive and that the record has all of its streams.
	dirty = dirty || versions != r.writer.versions || rec.mixed()
	if !dirty {
		return nil, nil
	}
	value, err := cbor.Marshal(rec)
	if err != nil {
		obs.EventStreamOriginsUnwritten.Log(r.cfg.Logger, logrus.Fields{"error": err.Error()})
		return nil, nil
	}
	r.writer.dirty, r.writer.era, r.writer.versions, r.writer.builtAt = true, era, versions, now
	r.writer.producer.Sequence = rec.Sequence
	return value, included
}

// versionOf returns the record of a version, or nil if the service has one version only, whose streams need no record.
func (rec record) versionOf(o Origin) *versionRecord {
	for _, s := range rec.Services {
		if s.Name != o.Service || len(s.Versions) < 2 {
			continue
		}
		for i := range s.Versions {
			if s.Versions[i].Version == o.Version {
				return &s.Versions[i]
			}
		}
	}
	return nil
}

func (rec record) setUnrecorded(versions map[Origin]time.Time) {
	for i := range rec.Services {
		s := &rec.Services[i]
		for o := range versions {
			if o.Service == s.Name {
				s.Unrecorded = append(s.Unrecorded, o.Version)
			}
		}
		slices.Sort(s.Unrecorded)
	}
}

// versionNames returns the services and versions of the record as one text.
func (rec record) versionNames() string {
	var b strings.Builder
	for _, s := range rec.Services {
		for _, v := range s.Versions {
			_, _ = fmt.Fprintf(&b, "%q %q\n", s.Name, v.Version)
		}
	}
	return b.String()
}

// noteWrite records the result of a write.
func (r *Registry) noteWrite(included []*stream, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil {
		r.writer.startEpoch()
		if errors.Is(err, keyedlog.ErrFenced) {
			r.writer.producer.Epoch += epochStep
		}
		obs.StreamOriginWriteFailuresTotal.Add(1)
		if !r.writer.failing {
			r.writer.failing = true
			obs.EventStreamOriginsUnwritten.Log(r.cfg.Logger, logrus.Fields{"streams": len(included), "error": err.Error()})
		}
		return
	}
	obs.StreamOriginWritesTotal.Add(1)
	r.writer.dirty, r.writer.failing, r.writer.writtenAt = false, false, r.cfg.Now()
	for _, s := range included {
		s.written = true
	}
}

// Flush writes what the log lacks, at the end of the process.
func (r *Registry) Flush(ctx context.Context) error {
	return errors.Wrap(r.step(ctx), "write stream origins")
}
