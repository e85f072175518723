// Package storereads decides when a VM reads the platform's store itself, rather than the
// copy of another VM. It is pure.
package storereads

import (
	"time"

	"tamarackreach/internal/model"
)

const (
	// FailingPeriod is how long a VM whose call to the store failed comes behind others as
	// the one that reads it.
	FailingPeriod = 10 * time.Second
	// spreadReaders is the mean number of VMs of a zone that read the store themselves, each
	// interval, while the copy that they should take is too old.
	spreadReaders = 2
	// maxAgeIntervals is the age of a copy, in intervals, above which a VM always reads.
	maxAgeIntervals = 2
	// firstStartDelay is how long a VM of the first start waits for another one's copy: all
	// VMs start together, before there are requests.
	firstStartDelay = 2 * time.Second
	// maxReaderBackoff bounds the pause between the failing reads of the VM that reads for
	// others, in intervals, and maxBackoff that of another VM: once the store serves again,
	// it takes a copy.
	maxReaderBackoff, maxBackoff = 1, 4
)

// Input is what the decision rests on.
type Input struct {
	// Reader is true where this VM reads the store for others.
	Reader bool
	// Known is true when the table was read, and Age the time since the read began that
	// confirmed it.
	Known bool
	Age   time.Duration
	// Interval is the time within which a read is to confirm the table.
	Interval time.Duration
	// WholeInterval is how often the VM that reads for others reads.
	WholeInterval time.Duration
	// InZone is the number of other VMs of the zone.
	InZone     int
	SinceStart time.Duration
	// FirstStart is true when the whole deployment starts for the first time, and another VM
	// is to read the store.
	FirstStart bool
	// Random is uniform in [0,1).
	Random float64
}

// slack is how much older than its interval a copy may be, for a slow response.
const slack = 250 * time.Millisecond

// Read reports whether the VM reads the store now.
//
// Invariant: a VM whose table was not confirmed for maxAgeIntervals intervals reads, whatever
// other VMs state, so that no VM depends on another.
func Read(in Input) bool {
	switch {
	case !in.Known && in.FirstStart && in.SinceStart < firstStartDelay:
		return false
	case !in.Known:
		return true
	case in.Reader:
		return in.Age >= in.WholeInterval-slack/2
	case in.Age <= in.Interval+slack:
		return false
	case in.Age > maxAgeIntervals*in.Interval:
		return true
	}
	return in.Random*float64(in.InZone+1) < spreadReaders
}

// Failures spaces the reads of a VM whose reads fail.
type Failures struct {
	inRow     int
	notBefore model.Instant
}

// Allow reports whether a read may start.
func (f *Failures) Allow(now model.Instant) bool { return now >= f.notBefore }

// Record records the result of a read. The pause after a failure doubles with each in a row.
func (f *Failures) Record(now model.Instant, succeeded, reader bool, interval time.Duration) {
	if succeeded {
		*f = Failures{}
		return
	}
	most := time.Duration(maxBackoff) * interval
	if reader {
		most = maxReaderBackoff * interval
	}
	f.notBefore = now.Add(min(interval/2<<f.inRow, most))
	f.inRow = min(f.inRow+1, maxBackoff)
}
