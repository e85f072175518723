package peerlink_test

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/types"

	"tamarackreach/internal/config"
	"tamarackreach/internal/event"
	"tamarackreach/internal/keys"
	"tamarackreach/internal/model"
	"tamarackreach/internal/peerlink"
)

func TestPeerlink(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "peerlink")
}

func freeAddress() string {
	socket, err := net.ListenPacket("udp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = socket.Close() }()
	return socket.LocalAddr().String()
}

func tlsFiles(dir, name string) config.PeerTLS {
	return config.PeerTLS{
		CAFile:   filepath.Join(dir, "ca.pem"),
		CertFile: filepath.Join(dir, name+".pem"), KeyFile: filepath.Join(dir, name+"-key.pem"),
	}
}

// newCA writes a new CA and the keys of nodes to a directory.
func newCA(dir string, nodes ...string) {
	authority, err := keys.NewAuthority()
	Expect(err).NotTo(HaveOccurred())
	Expect(authority.WriteAuthority(dir)).To(Succeed())
	for _, node := range nodes {
		Expect(authority.WriteNode(dir, node)).To(Succeed())
	}
}

// end is one end of a link and the events that it received.
type end struct {
	*peerlink.Link
	address string
	events  chan event.Event
}

func openLink(id model.NodeID, address string, tls config.PeerTLS) *end {
	e := &end{address: address, events: make(chan event.Event, 64)}
	e.Link = peerlink.New(peerlink.Config{Node: id, Incarnation: 7, Address: address, TLS: tls}, func(ev event.Event) { e.events <- ev })
	Expect(e.Start()).To(Succeed())
	DeferCleanup(func() { _ = e.Close() })
	return e
}

func heartbeatTo(to model.NodeID, at *end, sequence uint64) event.SendHeartbeat {
	return event.SendHeartbeat{
		To: to, Address: at.address, Sequence: sequence, Revision: 9, Digest: 0xfeedfacecafebeef,
		Peers:   []event.PeerState{{Node: "a", Incarnation: 7, Zone: "z", Address: "10.0.0.1:1", Status: event.PeerLeaving, Revision: 9, Sequence: 3}},
		Targets: []event.TargetNote{{Target: "t", Incarnation: 2, Status: event.TargetLeaving}},
	}
}

func receiveHeartbeat(from model.NodeID, sequence uint64) types.GomegaMatcher {
	return Receive(And(BeAssignableToTypeOf(event.PeerHeartbeatReceived{}),
		HaveField("From", from), HaveField("Sequence", sequence), HaveField("Digest", event.LogDigest(0xfeedfacecafebeef)),
		HaveField("Peers", HaveLen(1)), HaveField("Targets", HaveLen(1))))
}

var _ = Describe("a link", func() {
	var dir string
	BeforeEach(func() {
		dir = GinkgoT().TempDir()
		newCA(dir, "a", "b", "c")
	})

	It("sends messages both ways and to a restarted node", func() {
		a, b := openLink("a", freeAddress(), tlsFiles(dir, "a")), openLink("b", freeAddress(), tlsFiles(dir, "b"))
		a.Heartbeat(heartbeatTo("b", b, 1))
		Eventually(b.events, "3s").Should(receiveHeartbeat("a", 1))
		b.OfferSettings(event.OfferSettings{To: "a", Address: a.address, SnapshotRevision: 4, TreeJSON: make([]byte, 1<<20)})
		Eventually(a.events, "3s").Should(Receive(HaveField("TreeJSON", HaveLen(1<<20))))
		Expect(b.Close()).To(Succeed())
		restarted := openLink("b", b.address, tlsFiles(dir, "b"))
		sequence := uint64(1)
		Eventually(func() int {
			sequence++
			a.Heartbeat(heartbeatTo("b", restarted, sequence))
			return len(restarted.events)
		}, "5s", "100ms").Should(BeNumerically(">", 0))
	})

	It("refuses a peer whose certificate names another node or is signed by another CA", func() {
		b := openLink("b", freeAddress(), tlsFiles(dir, "b"))
		wrongNode := openLink("a", freeAddress(), tlsFiles(dir, "c"))
		wrongNode.Heartbeat(heartbeatTo("b", b, 1))
		other := GinkgoT().TempDir()
		newCA(other, "a")
		otherCA := openLink("a", freeAddress(), tlsFiles(other, "a"))
		otherCA.Heartbeat(heartbeatTo("b", b, 2))
		Eventually(otherCA.events, "5s").Should(Receive(Equal(event.PeerUnreachable{Peer: "b"})))
		b.Heartbeat(heartbeatTo("a", wrongNode, 3))
		Eventually(b.events, "5s").Should(Receive(Equal(event.PeerUnreachable{Peer: "a"})))
		Expect(b.events).To(BeEmpty())
		Expect(wrongNode.events).NotTo(Receive(BeAssignableToTypeOf(event.PeerHeartbeatReceived{})))
	})

	It("uses new certificate files without a restart and keeps the last valid ones", func() {
		a, b := openLink("a", freeAddress(), tlsFiles(dir, "a")), openLink("b", freeAddress(), tlsFiles(dir, "b"))
		Expect(os.WriteFile(tlsFiles(dir, "a").KeyFile, []byte("half written"), 0o600)).To(Succeed())
		a.Heartbeat(heartbeatTo("b", b, 1))
		Eventually(b.events, "3s").Should(receiveHeartbeat("a", 1))
		newCA(dir, "a", "b", "c")
		c := openLink("c", freeAddress(), tlsFiles(dir, "c"))
		for i, at := range []*end{a, b} {
			to := model.NodeID(fmt.Sprintf("%c", 'a'+i))
			c.Heartbeat(heartbeatTo(to, at, 5))
			Eventually(at.events, "3s").Should(receiveHeartbeat("c", 5))
		}
	})
})
