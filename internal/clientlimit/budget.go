// Package clientlimit bounds what the clients of an entry VM can make it hold: bytes of
// bodies, heads and responses, and connections. The decisions are pure; the callers close
// connections and write refusals.
package clientlimit

const (
	// defaultMemoryMB and defaultMaxFiles apply where the settings name no limit. Both are
	// those of a small machine.
	defaultMemoryMB = 256
	defaultMaxFiles = 4096
	bytesPerMB      = 1 << 20

	// goPercent is the part of the machine's memory that Go's runtime may use. The rest is
	// for the mapped binary, about 16 MB, and for the buffers of sockets.
	goPercent = 70
	// heldPercent is the part that the account may hold. With the state of the router and the
	// stacks of connections it stays below goPercent, so that the collector has room.
	heldPercent = 38
	// connectionPercent is the part for the fixed cost of connections, connectionBytes each:
	// two goroutine stacks and the buffers of net/http, 32 KiB, and as much in the kernel.
	connectionPercent = 20
	connectionBytes   = 64 << 10
	// maxFileReserve is the number of descriptors that are kept for files; on a machine with
	// few descriptors it is fileReservePercent of them.
	maxFileReserve     = 200
	fileReservePercent = 25
	// clientFilePercent is the part of the other descriptors for connections of clients. Each
	// may need one to a target; the rest is for the store, other VMs and the relay.
	clientFilePercent = 40
	// readyPart divides the connections of clients: the ready listener takes one part beside.
	readyPart = 8
	// minConnections keeps a machine with very low limits usable.
	minConnections = 16
)

// Budget is what an entry VM may hold for its clients.
type Budget struct {
	// GoBytes is the memory limit of Go's runtime, in bytes.
	GoBytes int64
	// HeldBytes bounds the bytes of bodies, heads and responses together.
	HeldBytes int64
	// Connections bounds the connections of the public listener, ReadyConnections those of
	// the ready listener.
	Connections, ReadyConnections int
}

// BudgetFor returns the budget for a machine's memory in MB and its descriptors; values of 0
// and below select defaults.
func BudgetFor(memoryMB, maxFiles int) Budget {
	if memoryMB <= 0 {
		memoryMB = defaultMemoryMB
	}
	if maxFiles <= 0 {
		maxFiles = defaultMaxFiles
	}
	memory := int64(memoryMB) * bytesPerMB
	files := maxFiles - min(maxFileReserve, maxFiles*fileReservePercent/100)
	connections := min(files*clientFilePercent/100, int(memory*connectionPercent/100/connectionBytes))
	connections = max(connections, minConnections)
	return Budget{
		GoBytes: memory * goPercent / 100, HeldBytes: memory * heldPercent / 100,
		Connections: connections, ReadyConnections: max(connections/readyPart, minConnections),
	}
}
