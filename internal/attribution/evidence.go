package attribution

import (
	"cmp"
	"time"

	"tamarackreach/internal/model"
)

// Incarnation is one process of a target.
type Incarnation struct {
	Target model.TargetID
	// Born is the start time of the process, Unix milliseconds.
	Born int64
}

// Observer is the process of a VM that wrote a record.
type Observer struct {
	VM      model.NodeID
	Process uint32
}

// SendID identifies a send among those of all VMs.
type SendID struct {
	By Observer
	// Number counts the sends of the VM's process, from 1.
	Number uint64
}

// Send is a send of a request to a path of targets. Its times are by the clock of ID.By.
type Send struct {
	ID     SendID
	Causes []Cause
	Path   []Incarnation
	SentAt model.Instant
	// End is Open, and EndedAt 0, while the send is in flight.
	End     End
	EndedAt model.Instant
}

// suspected reports whether the end of a send makes its causes suspected.
func (s *Send) suspected() bool { return effects[s.End] == suspicion }

// Observation is what one VM observed of a process, or of a cause. Its time is by the clock of By; 0 if
// there is none.
type Observation struct {
	By Observer
	At model.Instant
}

// Sign is what a VM observed of a process of a target or of another VM.
type Sign uint8

// The signs.
const (
	// Alive is a message, a response, a report or an accepted connection.
	Alive Sign = iota + 1
	// Silent is that these are missing, or that connections are refused. A later Alive takes it back.
	Silent
	// Ended is that a later process was observed, or that the registration is gone.
	Ended
)

// Life is what all VMs observed of one process.
type Life struct {
	// Ended is the first observation of the end, Alive the last one of the running process, and
	// Silent the first one of its silence after Alive.
	Ended, Alive, Silent Observation
}

// Evidence is the content of a message between VMs, or of a row of the store.
type Evidence struct {
	// By wrote it At, by its own clock.
	By      Observer
	At      model.Instant
	Sends   []Send
	Targets map[Incarnation]Life
	VMs     map[Observer]Life
	// Answers holds the last answer to each cause; cause 0 is that to any.
	Answers map[Cause]Observation
	// Offsets are those of the clock of By to the clocks of others.
	Offsets map[Observer]time.Duration
}

func compareObservers(a, b Observer) int {
	return cmp.Or(cmp.Compare(a.VM, b.VM), cmp.Compare(a.Process, b.Process))
}

func compareIncarnations(a, b Incarnation) int {
	return cmp.Or(cmp.Compare(a.Target, b.Target), cmp.Compare(a.Born, b.Born))
}
