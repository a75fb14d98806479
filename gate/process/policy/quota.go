package policy

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Quota is a limit on requests: at most Count in any Window.
type Quota struct {
	Count  int
	Window time.Duration
}

// Members are the gates that share a quota.
type Members struct {
	// Own is the key of this gate, Others holds the keys of the other gates that may be
	// sending requests.
	Own    uint64
	Others []uint64
}

// Count returns the number of gates.
func (m Members) Count() int { return 1 + len(m.Others) }

// Equal reports whether both have the same gates.
func (m Members) Equal(o Members) bool { return m.Own == o.Own && slices.Equal(m.Others, o.Others) }

// Rank returns the place of this gate in an order of the gates that is a different one
// for each upstream. A gate that joins or leaves does not change the order of the others.
func (m Members) Rank(upstream uint64) int {
	own := rendezvousHash(m.Own, upstream)
	rank := 0
	for _, key := range m.Others {
		if h := rendezvousHash(key, upstream); h < own || h == own && key < m.Own {
			rank++
		}
	}
	return rank
}

func rendezvousHash(gate, upstream uint64) uint64 {
	var buf [16]byte
	binary.LittleEndian.PutUint64(buf[:8], gate)
	binary.LittleEndian.PutUint64(buf[8:], upstream)
	return xxhash.Sum64(buf[:])
}

// Share returns the part of the quota of the gate with the given rank among the given
// number of gates. The parts of all ranks sum up to the quota, which may be less than
// one request for each gate.
func (q Quota) Share(rank, gates int) Quota {
	q.Count = q.Count/gates + boolToInt(rank < q.Count%gates)
	return q
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// maxMemberships is the maximum number of former memberships in a ShareHistory. Gates
// restart or are replaced at most a few times per window.
const maxMemberships = 16

// ShareHistory determines the share of one gate in the quotas of one upstream while the
// gates change. A gate gains a share only one window after the gates have changed, since
// another one may have used that share until then. It loses a share at once.
//
// The zero value belongs to a gate that shares with nobody.
type ShareHistory struct {
	// from is the time before which the requests of this gate are unknown, because
	// another process has sent them.
	from    time.Time
	current membership
	former  []membership
}

// membership is the place of a gate among the gates that share a quota. It ended at
// until, unless it is the current one.
type membership struct {
	rank, gates int
	until       time.Time
}

// NewShareHistory returns the history of a gate that has sent nothing since from. The
// zero time means that it has never sent anything.
func NewShareHistory(from time.Time) ShareHistory { return ShareHistory{from: from} }

// Update records that the gate has the given rank among the given number of gates.
func (s *ShareHistory) Update(now time.Time, rank, gates int) {
	if s.current.gates == gates && s.current.rank == rank {
		return
	}
	s.former = slices.DeleteFunc(s.former, func(m membership) bool { return now.Sub(m.until) > MaxQuotaWindow })
	if s.current.gates > 0 {
		s.current.until = now
		s.former = append(s.former, s.current)
		if len(s.former) > maxMemberships {
			s.former = slices.Delete(s.former, 0, 1)
		}
	}
	s.current = membership{rank: rank, gates: gates}
}

// Place returns the rank of the gate and the number of gates.
func (s *ShareHistory) Place() (rank, gates int) { return s.current.rank, max(1, s.current.gates) }

// Share returns the part of the quota that the gate may use.
func (s *ShareHistory) Share(now time.Time, q Quota) Quota {
	if !s.from.IsZero() && now.Sub(s.from) < q.Window {
		return Quota{Window: q.Window}
	}
	if s.current.gates == 0 {
		return q
	}
	share := q.Share(s.current.rank, s.current.gates)
	for _, m := range s.former {
		if now.Sub(m.until) < q.Window {
			share.Count = min(share.Count, q.Share(m.rank, m.gates).Count)
		}
	}
	return share
}

// SendLog holds the times of the latest requests of a gate to one upstream.
type SendLog struct{ times []time.Time }

// Add records a request.
func (l *SendLog) Add(now time.Time) { l.times = append(l.times, now) }

// Clear forgets all requests.
func (l *SendLog) Clear() { l.times = l.times[:0] }

// Expire forgets the requests that are older than retention.
func (l *SendLog) Expire(now time.Time, retention time.Duration) {
	l.times = slices.DeleteFunc(l.times, func(t time.Time) bool { return now.Sub(t) >= retention })
}

// Spread records the requests of a window before now as if the quota had been used
// evenly by all gates, so that the share becomes available over the window to come.
func (l *SendLog) Spread(now time.Time, q Quota, rank, gates int) {
	for slot := rank; slot < q.Count; slot += gates {
		phase := (float64(slot) + 0.5) / float64(q.Count)
		l.times = append(l.times, now.Add(-time.Duration((1-phase)*float64(q.Window))))
	}
	slices.SortFunc(l.times, time.Time.Compare)
}

// Free returns how many more requests the quota allows now.
func (l *SendLog) Free(now time.Time, q Quota) int {
	used := 0
	for _, t := range l.times {
		if now.Sub(t) < q.Window {
			used++
		}
	}
	return max(0, q.Count-used)
}

// Next appends the times at which the quota allows further requests to dst, one time
// for each request in the next window.
func (l *SendLog) Next(dst []time.Time, now time.Time, q Quota) []time.Time {
	if q.Count <= 0 {
		return dst
	}
	for range l.Free(now, q) {
		dst = append(dst, now)
	}
	start := max(0, len(l.times)-q.Count)
	for _, t := range l.times[start:] {
		if until := t.Add(q.Window); until.After(now) {
			dst = append(dst, until)
		}
	}
	return dst
}
