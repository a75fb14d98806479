package core

// A store may come back from a copy of an earlier state. It has then lost what it has
// acknowledged since, and gives out the same revisions again. The versions of its objects
// hold its era, the number of times that this has happened, in the bits above the
// revision, so that each object of a later era has a higher version.

const (
	// eraShift is the number of bits of a revision. At 1,200 writes a second they last
	// for 29 years.
	eraShift = 40
	// MaxEra is the highest era. JSON numbers represent versions up to 2^53 exactly.
	MaxEra = 1<<13 - 1
)

// NewVersion returns the version of a revision of the given era.
func NewVersion(era, revision uint64) uint64 { return era<<eraShift | revision }

// Era returns the era of a version.
func Era(version uint64) uint64 { return version >> eraShift }

// Revision returns the revision of a version.
func Revision(version uint64) uint64 { return version & (1<<eraShift - 1) }
