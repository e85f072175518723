package clientlimit

import (
	"cmp"
	"slices"
	"time"

	"tamarackreach/internal/model"
)

// Phase is what a client's connection is doing.
type Phase uint32

// The phases.
const (
	// Idle connections have sent no byte of their next request.
	Idle Phase = iota + 1
	// ReadingHead connections have sent a part of a head.
	ReadingHead
	// Serving connections have sent a head.
	Serving
	// ReadingBody connections are sending a body.
	ReadingBody
	// Forwarded connections have a request that was sent to a target.
	Forwarded
	// Refused connections were answered with a refusal; the rest of their body is discarded.
	Refused
	// Closing connections have been chosen to be closed.
	Closing
)

// headStallTime is how long a client may take for a head while the connection is needed. A
// usual head arrives in one piece with the connection; a longer time would let silent clients
// delay the others at the bound.
const headStallTime = 50 * time.Millisecond

// refusedTime is how long a refused client has for reading the refusal while its connection is
// needed: a few round trips between zones.
const refusedTime = 200 * time.Millisecond

// Connection describes a client's connection.
type Connection struct {
	Phase Phase
	// Since is when the phase began, or when a body progressed last.
	Since model.Instant
	// Used is true once a request was read from it.
	Used bool
	// Pipelined is true once a request was read together with the one before.
	Pipelined bool
	// Address is the client's, without its port.
	Address string
}

// rank orders the connections that may be closed, 0 for those that may not.
func (c *Connection) rank(now model.Instant) int {
	lasted := now.Sub(c.Since)
	switch {
	case c.Phase == ReadingHead && lasted >= headStallTime, c.Phase == Idle && !c.Used && lasted >= headStallTime,
		c.Phase == ReadingBody && lasted >= StallTime, c.Phase == Refused && lasted >= refusedTime:
		return 1
	case c.Phase == Idle && c.Used:
		return 2
	case (c.Phase == Serving || c.Phase == Forwarded) && c.Pipelined:
		return 3
	}
	return 0
}

// Choose returns the indices of at most n connections to close in favour of new ones: first
// those that stall in a head or a body, have sent nothing or were refused, then idle ones that callers may
// use again, each the longest first. Where there are several addresses, those of an address
// with more than half of the connections come first. Connections whose request is being
// decided on or was forwarded are not among them, except those that pipeline requests, last:
// these are to be closed after the present response.
func Choose(now model.Instant, connections []Connection, n int) []int {
	counts := map[string]int{}
	for i := range connections {
		counts[connections[i].Address]++
	}
	type candidate struct {
		index, rank int
		since       model.Instant
	}
	var candidates []candidate
	for i := range connections {
		c := &connections[i]
		rank := c.rank(now)
		if rank == 0 {
			continue
		}
		if counts[c.Address] <= len(connections)/2 {
			rank += 3 // after all ranks of the address that holds most
		}
		candidates = append(candidates, candidate{index: i, rank: rank, since: c.Since})
	}
	slices.SortFunc(candidates, func(x, y candidate) int {
		return cmp.Or(cmp.Compare(x.rank, y.rank), cmp.Compare(x.since, y.since), cmp.Compare(x.index, y.index))
	})
	var out []int
	for _, c := range candidates[:min(n, len(candidates))] {
		out = append(out, c.index)
	}
	return out
}

const (
	// freeHeadBytes and freeHeadLines of a head are part of the fixed cost of a connection, so
	// that usual heads need no reservation.
	freeHeadBytes = 4 << 10
	freeHeadLines = 64
	// headByteCost is the number of copies of a head: as it was read and as it is sent.
	headByteCost = 2
	// headLineCost is the memory of one short field, with its copy for the target.
	headLineCost = 512
)

// HeadCost returns the bytes to reserve for a head of which a number of bytes and lines have
// been read.
func HeadCost(bytes, lines int) int64 {
	return int64(max(bytes-freeHeadBytes, 0)*headByteCost + max(lines-freeHeadLines, 0)*headLineCost)
}
