package controller

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"testing"

	"tamarackreach/internal/director"
	"tamarackreach/internal/ingress"
	"tamarackreach/internal/model"
	"tamarackreach/platform"
)

// FuzzDatagram has a VM receive any datagram: it must not panic, and one that names no sender
// must leave no trace. Run it with go test -fuzz FuzzDatagram ./internal/controller.
func FuzzDatagram(f *testing.F) {
	for _, name := range []string{"state", "query", "reply"} {
		text, err := os.ReadFile(filepath.Join("testdata", "protocol0", name+".json"))
		if err != nil {
			f.Fatal(err)
		}
		f.Add(text)
	}
	for _, body := range []any{digestMessage{Zone: "b", VM: "vm-3", VMs: []peerMessage{{VM: "vm-4", Zone: "b", AgeMs: 7}}}, "no digest", digestMessage{Zone: "b", VM: "vm-3", VMs: []peerMessage{{VM: "vm-4", Zone: "b", AgeMs: -7}}}} {
		var out bytes.Buffer
		out.Write([]byte{digestKind, 0, 0, 0, 0, 0, 0, 0, 9})
		w, _ := flate.NewWriter(&out, flate.BestSpeed)
		if json.NewEncoder(w).Encode(body) != nil || w.Close() != nil {
			f.Fatal("cannot build the seed")
		}
		f.Add(out.Bytes())
	}
	f.Add([]byte(`{"vm":"vm-3","zone":"a","outliers":{"c":{"t":[1,30,1,2,3,4]},"g":{"s":[1,2,3,4]},"e":{"t":[1,1,400,10]}}}`))
	f.Add([]byte{hintKind, 7})
	f.Add([]byte{hintKind})
	f.Fuzz(func(t *testing.T, text []byte) { receiveAny(t, text) })
}

func receiveAny(t *testing.T, text []byte) {
	reducer := ingress.NewReducer(director.New(director.Settings{VM: "vm-9", Zone: "a"}))
	p := newPeers(&platform.Settings{VM: "vm-9", Zone: "a"}, reducer, noStore{}, func([]director.Effect) {})
	p.conn = discardConn{}
	p.received(bytes.Clone(text), discardConn{}.LocalAddr())
	reducer.Read(func(s *director.State) {
		if count, _ := s.KnownVMs(1); count > 0 && !bytes.Contains(text, []byte(`"`)) && text[0] == '{' {
			t.Fatalf("%q made VMs known", text)
		}
	})
}

// TestSpoiledDatagrams has a VM receive digests and states of which bytes were changed, cut
// off or repeated.
func TestSpoiledDatagrams(t *testing.T) {
	random := rand.New(rand.NewPCG(5, 0))
	state, err := os.ReadFile(filepath.Join("testdata", "protocol0", "state.json"))
	if err != nil {
		t.Fatal(err)
	}
	digest := append([]byte{digestKind}, make([]byte, 200)...)
	for range 3000 {
		text := bytes.Clone([][]byte{state, digest}[random.IntN(2)])
		for range 1 + random.IntN(6) {
			text[random.IntN(len(text))] = byte(random.IntN(256))
		}
		receiveAny(t, text[:1+random.IntN(len(text))])
	}
}

// noStore is a storeState of which nothing is known.
type noStore struct{}

func (noStore) state(model.Instant) *state      { return &state{} }
func (noStore) storeFailing(model.Instant) bool { return false }
func (noStore) wakeUp(byte)                     {}

// discardConn is a connection that discards what is sent.
type discardConn struct{ net.PacketConn }

func (discardConn) WriteTo(text []byte, _ net.Addr) (int, error) { return len(text), nil }
func (discardConn) LocalAddr() net.Addr                          { return &net.UDPAddr{} }
