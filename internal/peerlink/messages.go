package peerlink

import (
	"time"

	tamarackv1 "tamarackreach/gen/tamarack/v1"
	"tamarackreach/internal/event"
	"tamarackreach/internal/model"
	"tamarackreach/internal/operatorapi"
	"tamarackreach/internal/platformclient"
)

// Encode converts an effect of a node to its recipient and message; the message
// is nil for effects that are not sent to peers.
func Encode(node model.NodeID, incarnation model.Incarnation, effect event.Effect) (to model.NodeID, message *tamarackv1.PeerMessage) {
	message = &tamarackv1.PeerMessage{FromNodeId: string(node), FromIncarnation: uint64(incarnation)}
	switch effect := effect.(type) {
	case event.SendHeartbeat:
		message.Body = &tamarackv1.PeerMessage_Heartbeat{Heartbeat: heartbeatMessage(effect)}
		return effect.To, message
	case event.RequestSettings:
		message.Body = &tamarackv1.PeerMessage_SettingsRequest{SettingsRequest: requestMessage(effect)}
		return effect.To, message
	case event.OfferSettings:
		message.Body = &tamarackv1.PeerMessage_SettingsReply{SettingsReply: replyMessage(effect)}
		return effect.To, message
	}
	return "", nil
}

func heartbeatMessage(effect event.SendHeartbeat) *tamarackv1.PeerHeartbeat {
	message := &tamarackv1.PeerHeartbeat{
		Sequence:       effect.Sequence,
		Reply:          effect.Reply,
		Revision:       uint64(effect.Revision),
		Digest:         uint64(effect.Digest),
		ConfirmedAgoMs: uint64(effect.ConfirmedAgo.Milliseconds()),
	}
	for _, state := range effect.Peers {
		message.Peers = append(message.Peers, &tamarackv1.PeerRecord{
			NodeId: string(state.Node), Incarnation: uint64(state.Incarnation), Zone: string(state.Zone),
			Address: state.Address, State: uint32(state.Status), Revision: uint64(state.Revision),
			InForceUnixMs: state.InForceUnixMs, Sequence: state.Sequence,
		})
	}
	for _, note := range effect.Quarantine {
		message.Quarantine = append(message.Quarantine, &tamarackv1.QuarantineRecord{
			Fingerprint: uint64(note.Fingerprint), Crashes: note.Crashes, Quarantined: note.Quarantined,
			RemainingMs: uint32(note.Remaining.Milliseconds()),
		})
	}
	for _, note := range effect.Targets {
		message.Targets = append(message.Targets, &tamarackv1.TargetRecord{
			TargetId: string(note.Target), Incarnation: uint64(note.Incarnation), State: uint32(note.Status),
		})
	}
	for _, note := range effect.Quotas {
		message.Quotas = append(message.Quotas, &tamarackv1.QuotaRecord{
			Workspace: string(note.Workspace), SharePerMille: note.SharePerMille,
			DemandTokensPerS: note.DemandTokensPerS, Epoch: note.Epoch,
		})
	}
	return message
}

func requestMessage(effect event.RequestSettings) *tamarackv1.SettingsRequest {
	return &tamarackv1.SettingsRequest{AfterRevision: uint64(effect.After), AfterDigest: uint64(effect.Digest)}
}

func replyMessage(effect event.OfferSettings) *tamarackv1.SettingsReply {
	message := &tamarackv1.SettingsReply{
		SnapshotRevision: uint64(effect.SnapshotRevision), TreeJson: string(effect.TreeJSON), Digest: uint64(effect.Digest),
	}
	for _, change := range effect.Changes {
		message.Changes = append(message.Changes, operatorapi.ChangeMessage(change))
	}
	for _, vm := range effect.VMs {
		message.Vms = append(message.Vms, &tamarackv1.Vm{
			Id: vm.ID, Incarnation: uint64(vm.Incarnation), Zone: string(vm.Zone), Role: string(vm.Role), Address: vm.Address,
			PeerAddress: vm.PeerAddress, Accelerator: string(vm.Accelerator), Leaving: vm.Leaving,
		})
	}
	return message
}

// Decode converts a message from an address to its event; it returns nil for a
// body that this version does not know.
func Decode(message *tamarackv1.PeerMessage, address string) event.Event {
	from := model.NodeID(message.FromNodeId)
	switch body := message.Body.(type) {
	case *tamarackv1.PeerMessage_Heartbeat:
		return heartbeatEvent(from, model.Incarnation(message.FromIncarnation), body.Heartbeat, address)
	case *tamarackv1.PeerMessage_SettingsRequest:
		request := body.SettingsRequest
		return event.SettingsRequested{
			From: from, After: model.Revision(request.AfterRevision), Digest: event.LogDigest(request.AfterDigest),
		}
	case *tamarackv1.PeerMessage_SettingsReply:
		reply := body.SettingsReply
		offered := event.SettingsOffered{
			From: from, SnapshotRevision: model.Revision(reply.SnapshotRevision),
			TreeJSON: []byte(reply.TreeJson), Digest: event.LogDigest(reply.Digest),
		}
		for _, change := range reply.Changes {
			offered.Changes = append(offered.Changes, operatorapi.ChangeOf(change))
		}
		for _, vm := range reply.Vms {
			offered.VMs = append(offered.VMs, platformclient.VMOf(vm))
		}
		return offered
	}
	return nil
}

func heartbeatEvent(from model.NodeID, incarnation model.Incarnation, message *tamarackv1.PeerHeartbeat, address string) event.Event {
	ev := event.PeerHeartbeatReceived{
		From: from, Incarnation: incarnation, Sequence: message.Sequence, Reply: message.Reply, Address: address,
		Revision: model.Revision(message.Revision), Digest: event.LogDigest(message.Digest),
		ConfirmedAgo: time.Duration(message.ConfirmedAgoMs) * time.Millisecond,
	}
	for _, record := range message.Peers {
		ev.Peers = append(ev.Peers, event.PeerState{
			Node: model.NodeID(record.NodeId), Incarnation: model.Incarnation(record.Incarnation),
			Zone: model.AvailabilityZone(record.Zone), Address: record.Address,
			Status: event.PeerStatus(record.State), Revision: model.Revision(record.Revision),
			InForceUnixMs: record.InForceUnixMs, Sequence: record.Sequence,
		})
	}
	for _, record := range message.Quarantine {
		ev.Quarantine = append(ev.Quarantine, event.QuarantineNote{
			Fingerprint: model.Fingerprint(record.Fingerprint), Crashes: record.Crashes, Quarantined: record.Quarantined,
			Remaining: time.Duration(record.RemainingMs) * time.Millisecond,
		})
	}
	for _, record := range message.Targets {
		ev.Targets = append(ev.Targets, event.TargetNote{
			Target: model.TargetID(record.TargetId), Incarnation: model.Incarnation(record.Incarnation),
			Status: event.TargetStatus(record.State),
		})
	}
	for _, record := range message.Quotas {
		ev.Quotas = append(ev.Quotas, event.QuotaNote{
			Workspace: model.WorkspaceID(record.Workspace), SharePerMille: record.SharePerMille,
			DemandTokensPerS: record.DemandTokensPerS, Epoch: record.Epoch,
		})
	}
	return ev
}
