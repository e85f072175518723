// Package relay connects a VM to a target through another VM, the relay, while the first
// does not reach the target itself. The relay copies bytes and decides nothing about
// requests: those stay with the VM that has the caller.
//
// A connection begins with one line of the sender, "relay/1 SECRET TARGET", and one of the
// relay, statusConnected or a reason why not. After that the sender's bytes are passed on
// as they are. Those of the target are framed: a length of two bytes precedes each piece,
// and length zero is the orderly end. Without it the end of a relay that was killed could
// not be told from the end of a response that ends with its connection.
package relay

import (
	"github.com/cockroachdb/errors"
)

const (
	preamble        = "relay/1"
	statusConnected = "connected"
	// statusUnreachable means that the relay could not connect to the target; all other
	// texts that the relay did not try.
	statusUnreachable = "target unreachable"
	statusRefused     = "secret or target unknown"
	statusFull        = "too many connections"
	// maxLineBytes bounds the first line of either side.
	maxLineBytes = 512
	// maxFrameBytes is the longest piece of a frame.
	maxFrameBytes = 16 << 10
)

// ErrRelay means that the relay could not be used; the target may be reached through
// another one.
var ErrRelay = errors.New("the relay cannot be used; another VM may reach the target")

// ErrTargetUnreachable means that the relay could not connect to the target.
var ErrTargetUnreachable = errors.New("the relay cannot connect to the target")

// errTargetReset means that the target reset its connection.
var errTargetReset = errors.New("the target reset the connection")

// errBroken means that the connection to the relay ended before the target's bytes did.
var errBroken = errors.New("the connection to the relay ended before that to the target")
