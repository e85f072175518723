package attribution

// End is how a send ended.
type End uint8

// The ends of a send. Open is that of a send that has not ended.
const (
	Open End = iota
	// Answered is a whole answer other than a failure.
	Answered
	// Failed is a whole answer that states a failure.
	Failed
	// Rejected is a statement of the target that it did not run the request.
	Rejected
	// NotSent is a send of which no byte was sent.
	NotSent
	// Lost is a connection that ended before an answer began, and Broken one that ended in it.
	Lost
	Broken
	// TimedOut is a send whose deadline passed.
	TimedOut
	// Diverted is a send that was cancelled in favour of another path.
	Diverted
	// ClientLeft is a send that was cancelled because its client had left.
	ClientLeft
	ends
)

// effect is what an end shows about the causes of its request.
type effect uint8

const (
	// nothing: the request did not run, or its target went on.
	nothing effect = iota
	// suspicion: the request may have run, and a target that has ended may have crashed on it.
	suspicion
	// clearance: the request ran and its target did not crash.
	clearance
)

// effects holds the effect of each end; docs/design/crash-attribution.md has the reasons. A send whose
// VM has ended counts as Lost.
var effects = [ends]effect{
	Open: nothing, Answered: clearance, Failed: nothing, Rejected: nothing, NotSent: nothing,
	Lost: suspicion, Broken: suspicion, TimedOut: suspicion, Diverted: suspicion, ClientLeft: suspicion,
}
