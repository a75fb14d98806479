package crash

import (
	"cmp"
	"context"
	"math"
	"slices"
	"time"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	"parsleyroute.example/core"
	"parsleyroute.example/core/process/clock"
	"parsleyroute.example/core/process/evlog"
	"parsleyroute.example/core/process/meter"
	"parsleyroute.example/core/wire"
	"parsleyroute.example/gate/process/policy"
)

const (
	// saveInterval is the minimum time between two calls to the store.
	saveInterval = 200 * time.Millisecond
	// minBackoff and maxBackoff limit the time between two calls after a failure.
	minBackoff = 200 * time.Millisecond
	maxBackoff = 5 * time.Second
)

// recordKey is the key of the only record in the store.
var recordKey = core.Key{Kind: core.KindCrash, Name: "main"}

// Saver keeps what the gates know of crashes in the store, so that parts stay contained
// if all gates end. Its exported fields are set before Run.
type Saver struct {
	Store       core.Store
	Containment *policy.Containment
	DecisionLog *evlog.Logger
	// Instance names this gate as the writer.
	Instance string
	// IsWriter reports whether this gate is the one that saves.
	IsWriter func() bool
	// Era returns the latest era of the store that is known; nil means that the store never
	// comes back from a copy.
	Era func() uint64
	// OnLearn, if set, is called when crashes have been learned from the store.
	OnLearn func()

	// version is the version of the record, zero if there is none, and saved are
	// the suspicions that it holds.
	version uint64
	saved   []suspicion
}

// suspicion is a part that is suspect since a crash.
type suspicion struct{ crash, part uint64 }

// Run reads the record and then saves changes while this gate is the writer, until ctx
// ends.
func (s *Saver) Run(ctx context.Context) {
	loaded := false
	var era uint64
	backoff := minBackoff
	for ctx.Err() == nil {
		if loaded && s.Era != nil && s.Era() != era {
			// The record may be lost, or be an earlier one again.
			loaded = false
		}
		var err error
		switch {
		case !loaded:
			err = s.load(ctx)
			if loaded = err == nil; s.Era != nil {
				era = s.Era()
			}
		case s.IsWriter():
			if err = s.save(ctx); trace.IsCompareFailed(err) || trace.IsAlreadyExists(err) {
				loaded = false
			}
		}
		if err != nil {
			s.DecisionLog.Log("crash_record_failed", "error", err)
			_ = clock.Real{}.Sleep(ctx, backoff)
			backoff = min(2*backoff, maxBackoff)
			continue
		}
		backoff = minBackoff
		_ = clock.Real{}.Sleep(ctx, saveInterval)
	}
}

// load learns from the record in the store.
func (s *Saver) load(ctx context.Context) error {
	o, err := s.Store.Get(ctx, recordKey)
	switch {
	case trace.IsNotFound(err):
		s.version, s.saved = 0, nil
		return nil
	case err != nil:
		return err
	}
	s.version = o.Version
	var r wire.CrashRecord
	if err := proto.Unmarshal(o.Value, &r); err != nil {
		// The record is replaced with the next change.
		s.DecisionLog.Log("crash_record_invalid", "version", o.Version, "error", err)
		return nil
	}
	now := time.Now()
	// Clocks may differ between machines.
	age := max(0, now.Sub(time.UnixMilli(r.GetSavedUnixMs())))
	saved := now.Add(-age)
	learned := Learn(s.Containment, func(age time.Duration) time.Time { return saved.Add(-age) }, r.GetCrashes(), r.GetSuccesses())
	s.saved = suspicions(r.GetCrashes(), r.GetSuccesses())
	s.DecisionLog.Log("crash_record_read", "version", o.Version, "crashes", len(r.GetCrashes()), "learned", len(learned), "record_age", age)
	if len(learned) > 0 && s.OnLearn != nil {
		s.OnLearn()
	}
	return nil
}

// save writes the record if the suspicions have changed.
func (s *Saver) save(ctx context.Context) error {
	now := time.Now()
	crashes, successes := Report(s.Containment, now, math.MaxInt, math.MaxInt)
	current := suspicions(crashes, successes)
	if slices.Equal(current, s.saved) {
		return nil
	}
	data, err := proto.Marshal(&wire.CrashRecord{Crashes: crashes, Successes: successes, SavedUnixMs: now.UnixMilli()})
	if err != nil {
		return trace.Wrap(err)
	}
	o := core.Object{Key: recordKey, Version: s.version, Writer: s.Instance, Value: data}
	write := s.Store.Update
	if s.version == 0 {
		write = s.Store.Create
	}
	o, err = write(ctx, o)
	if err != nil {
		return err
	}
	s.version, s.saved = o.Version, current
	meter.Event("crash_records")
	s.DecisionLog.Log("crash_record_saved", "version", o.Version, "crashes", len(crashes), "suspicions", len(current))
	return nil
}

// suspicions returns the parts without a success since their crash, in order.
func suspicions(crashes []*wire.UpstreamCrash, successes []*wire.PartSuccess) []suspicion {
	age := make(map[uint64]uint32, len(successes))
	for _, s := range successes {
		age[s.GetPart()] = s.GetAgeMs()
	}
	var list []suspicion
	for _, k := range crashes {
		for _, part := range k.GetParts() {
			if a, ok := age[part]; !ok || a > k.GetAgeMs() {
				list = append(list, suspicion{k.GetId(), part})
			}
		}
	}
	slices.SortFunc(list, func(a, b suspicion) int {
		return cmp.Or(cmp.Compare(a.crash, b.crash), cmp.Compare(a.part, b.part))
	})
	return list
}
