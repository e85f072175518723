package peerlink

import (
	"fmt"
	"net"
	"path/filepath"
	"runtime"
	"syscall"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"tamarackreach/internal/config"
	"tamarackreach/internal/event"
	"tamarackreach/internal/keys"
	"tamarackreach/internal/model"
)

// udpHeaderBytes is the size of the IPv4 and UDP headers of a packet.
const udpHeaderBytes = 28

// BenchmarkPings sends pings to peers over real connections; each peer replies. It
// reports the bytes of a message on the wire, with acknowledgements and headers,
// the bytes of a handshake, and the memory of one end of a connection.
func BenchmarkPings(b *testing.B) {
	const peers, gap = 32, 100 * time.Millisecond
	dir := b.TempDir()
	authority, err := keys.NewAuthority()
	if err != nil || authority.WriteAuthority(dir) != nil {
		b.Fatal("no CA", err)
	}
	links := make([]*Link, peers+1)
	addresses := make([]string, peers+1)
	states := make([]event.PeerState, recordsPerHeartbeat)
	for i := range states {
		states[i] = event.PeerState{Node: "entry-000", Zone: "Lisboa", Address: "10.20.30.40:7003", Incarnation: 1_764_000_000_000, Revision: 100_000, InForceUnixMs: 1_764_000_000_000}
	}
	heartbeat := func(to int, reply bool) event.SendHeartbeat {
		return event.SendHeartbeat{To: model.NodeID(fmt.Sprintf("entry-%d", to)), Address: addresses[to], Reply: reply, Revision: 100_000, Digest: 1 << 60, Peers: states}
	}
	for i := range links {
		name := fmt.Sprintf("entry-%d", i)
		if err := authority.WriteNode(dir, name); err != nil {
			b.Fatal(err)
		}
		socket, err := net.ListenPacket("udp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		addresses[i] = socket.LocalAddr().String()
		_ = socket.Close()
		tls := config.PeerTLS{CAFile: filepath.Join(dir, "ca.pem"), CertFile: filepath.Join(dir, name+".pem"), KeyFile: filepath.Join(dir, name+"-key.pem")}
		links[i] = New(Config{Node: model.NodeID(name), Address: addresses[i], TLS: tls}, func(ev event.Event) {
			if ping, ok := ev.(event.PeerHeartbeatReceived); ok && !ping.Reply {
				links[i].Heartbeat(heartbeat(0, true))
			}
		})
		if err := links[i].Start(); err != nil {
			b.Fatal(err)
		}
		defer func() { _ = links[i].Close() }()
	}
	pingAll := func() {
		for to := 1; to <= peers; to++ {
			links[0].Heartbeat(heartbeat(to, false))
		}
		time.Sleep(gap)
	}
	before := memoryInUse()
	pingAll()
	time.Sleep(time.Second)
	perConnection := float64(memoryInUse()-before) / (2 * peers)
	handshake := wireBytesSent(links[0])
	cpu := cpuTime()
	for b.Loop() {
		pingAll()
	}
	time.Sleep(gap)
	// This process sends and receives each ping and each reply.
	b.ReportMetric(float64((cpuTime()-cpu).Microseconds())/float64(2*b.N*peers), "cpu-µs/message-both-ends")
	end := wireBytesSent(links[0])
	_, message := Encode("entry-0", 1_764_000_000_000, heartbeat(1, false))
	perMessage := float64(end-handshake) / float64(b.N*peers)
	b.ReportMetric(perMessage, "wire-B/message")
	b.ReportMetric(perMessage-float64(proto.Size(message)), "overhead-B/message")
	b.ReportMetric(float64(handshake)/peers, "wire-B/handshake")
	b.ReportMetric(perConnection/1024, "KiB/connection")
}

// recordsPerHeartbeat is the number of peer states in one heartbeat.
const recordsPerHeartbeat = 5

func memoryInUse() uint64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc + stats.StackInuse
}

func cpuTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// wireBytesSent returns the bytes that a link sent over its connections, with
// IPv4 and UDP headers.
func wireBytesSent(l *Link) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	var bytes uint64
	for _, p := range l.peers {
		stats := p.conn.ConnectionStats()
		bytes += stats.BytesSent + udpHeaderBytes*stats.PacketsSent
	}
	return bytes
}
