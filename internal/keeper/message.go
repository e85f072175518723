package keeper

import (
	"time"

	"tamarackreach/internal/director"
	"tamarackreach/internal/model"
)

// peerMessage is a datagram between VMs.
type peerMessage struct {
	VM    model.NodeID            `json:"vm"`
	Loads map[model.TargetID]load `json:"loads,omitempty"`
	// Suspects are the targets that it found at fault.
	Suspects map[model.TargetID]suspicion `json:"suspects,omitempty"`
	// Paces are the targets of its zone that are slow.
	Paces map[model.TargetID]float64 `json:"paces,omitempty"`
	// Crashes are targets that ended lately under a content.
	Crashes []director.Crash `json:"crashes,omitempty"`
	// Ask is the number of a question for what the VM last saw of the store, and
	// Seen the answer to it; such a message carries nothing else.
	Ask  uint64 `json:"ask,omitempty"`
	Seen *seen  `json:"seen,omitempty"`
}

// load is a director.Load in whole numbers, without names: requests, tokens times
// layers, waiting, first. Messages to other zones cost by the byte.
type load [4]int64

func encodeLoad(l director.Load) load {
	return load{int64(l.Requests), int64(l.TokenLayers), int64(l.Waiting), int64(l.First)}
}

func (l load) decode() director.Load {
	return director.Load{Requests: int(l[0]), TokenLayers: float64(l[1]), Waiting: int(l[2]), First: int(l[3])}
}

// suspicion is a director.Suspicion in milliseconds.
type suspicion struct {
	LeftMs  int64 `json:"left_ms"`
	AgeMs   int64 `json:"age_ms"`
	Refuses bool  `json:"refuses,omitempty"`
}

// shareMessage encodes what a VM shares.
func shareMessage(share director.PeerHeard) peerMessage {
	message := peerMessage{
		VM: share.VM, Loads: make(map[model.TargetID]load, len(share.Loads)), Paces: share.Paces, Crashes: share.Crashes,
		Suspects: make(map[model.TargetID]suspicion, len(share.Suspects)),
	}
	for id, l := range share.Loads {
		message.Loads[id] = encodeLoad(l)
	}
	for id, s := range share.Suspects {
		message.Suspects[id] = suspicion{LeftMs: s.Left.Milliseconds(), AgeMs: s.Age.Milliseconds(), Refuses: s.Refuses}
	}
	return message
}

// heard decodes what another VM shared.
func (m *peerMessage) heard() director.PeerHeard {
	out := director.PeerHeard{
		VM: m.VM, Loads: make(map[model.TargetID]director.Load, len(m.Loads)), Paces: m.Paces, Crashes: m.Crashes,
		Suspects: make(map[model.TargetID]director.Suspicion, len(m.Suspects)),
	}
	for id, l := range m.Loads {
		out.Loads[id] = l.decode()
	}
	for id, s := range m.Suspects {
		out.Suspects[id] = director.Suspicion{
			Left: time.Duration(s.LeftMs) * time.Millisecond, Age: time.Duration(s.AgeMs) * time.Millisecond, Refuses: s.Refuses,
		}
	}
	return out
}
