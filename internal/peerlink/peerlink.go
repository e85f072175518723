// Package peerlink carries messages between entry VMs.
package peerlink

import (
	"tamarackreach/internal/event"
)

// Link sends messages to peers.
type Link struct {
	post func(event.Event)
}

// New returns a link. Messages from peers go to post.
func New(post func(event.Event)) *Link { return &Link{post: post} }

// Heartbeat sends this node's heartbeat to a peer.
func (l *Link) Heartbeat(effect event.SendHeartbeat) {
	l.post(event.PeerUnreachable{Peer: effect.To})
}

// RequestSettings asks a peer for the changes after a revision.
func (l *Link) RequestSettings(event.RequestSettings) {}

// OfferSettings serves settings to a peer.
func (l *Link) OfferSettings(event.OfferSettings) {}
