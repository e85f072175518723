package controller

import (
	"math"
	"time"

	"tamarackreach/internal/director"
	"tamarackreach/internal/membership"
	"tamarackreach/internal/model"
	"tamarackreach/internal/targetlimit"
)

// peerMessage is a datagram between VMs.
type peerMessage struct {
	VM   model.NodeID           `json:"vm"`
	Zone model.AvailabilityZone `json:"zone,omitempty"`
	// Process differs between the processes of the VM.
	Process uint32 `json:"process,omitempty"`
	// UptimeMs is the time for which the process has run.
	UptimeMs int64                   `json:"uptime_ms,omitempty"`
	Loads    map[model.TargetID]load `json:"loads,omitempty"`
	// Suspects are the targets under suspicion.
	Suspects map[model.TargetID]suspicion `json:"suspects,omitempty"`
	// Paces are the slowdowns of the slow targets of the sender's zone.
	Paces map[model.TargetID]float64 `json:"paces,omitempty"`
	// Crashes are recent crashes of targets, with the causes that they were running.
	Crashes []director.Crash `json:"crashes,omitempty"`
	// Config is the version of the configuration in force at the sender.
	Config model.Revision `json:"config,omitempty"`
	// Quarantines are the quarantines of causes that crashed targets.
	Quarantines []causeQuarantine `json:"quarantines,omitempty"`
	// LostAnswers are the answers lost at the sender whose targets may have crashed.
	LostAnswers []lostAnswer `json:"lost,omitempty"`
	// Answers are parts of prompts with an answer at the sender.
	Answers []answeredPart `json:"answers,omitempty"`
	// Limits are the rates that targets have named.
	Limits map[model.TargetID]targetLimit `json:"limits,omitempty"`
	// Leaving are targets that leave, with the start times of their processes in Unix
	// milliseconds.
	Leaving map[model.TargetID]int64 `json:"leaving,omitempty"`
	// Backoffs are the backoffs that targets requested of VMs.
	Backoffs []targetBackoff `json:"backoffs,omitempty"`
	// Isolated is true when the sender does not reach the targets.
	Isolated bool `json:"isolated,omitempty"`
	// Unreachable are the targets that the sender fails to reach, and Signs the signs of life
	// of those that others do not.
	Unreachable []model.TargetID        `json:"unreachable,omitempty"`
	Signs       map[model.TargetID]sign `json:"signs,omitempty"`
	// Relay is the address and the secret of the relay that the sender offers.
	Relay    []string `json:"relay,omitempty"`
	InFlight int      `json:"in_flight,omitempty"`
	// Demand is the demand for services at the sender; absent when it is not known.
	Demand *demand `json:"demand,omitempty"`
	// Copies is the address and the secret of the sender's copies of the store's tables, and
	// StoreFailing true when its own last call to the store failed.
	Copies       []string `json:"copies,omitempty"`
	StoreFailing bool     `json:"store_failing,omitempty"`
	// Urgent is true when the zone's leader is to send a digest without delay.
	Urgent bool `json:"urgent,omitempty"`
	// Outliers are the sender's results of targets that answer with errors.
	Outliers *outliers `json:"outliers,omitempty"`
	// AgeMs is the age of the state; it is set in digests only.
	AgeMs int64 `json:"age_ms,omitempty"`
	// Query is the number of a query for the recipient's state of the store; State is
	// the reply to it. Such a message has no other fields but VM.
	Query uint64 `json:"ask,omitempty"`
	State *state `json:"seen,omitempty"`
}

// load encodes a director.Load as integers without field names, because traffic
// between zones is charged by the byte: requests, tokens times layers, waiting,
// first hop.
type load [4]int64

func encodeLoad(l director.Load) load {
	return load{int64(l.Requests), int64(l.TokenLayers), int64(l.Waiting), int64(l.First)}
}

func (l load) decode() director.Load {
	return director.Load{Requests: int(l[0]), TokenLayers: float64(l[1]), Waiting: int(l[2]), First: int(l[3])}
}

// suspicion encodes a director.Suspicion.
type suspicion struct {
	LeftMs          int64 `json:"left_ms"`
	AgeMs           int64 `json:"age_ms"`
	RejectsRequests bool  `json:"refuses,omitempty"`
}

// causeQuarantine encodes a director.Quarantine as integers without field names:
// cause, level, level at the last answer, remaining milliseconds, milliseconds since
// the last change, and 1 while a request runs on probation.
type causeQuarantine [6]uint64

func encodeQuarantine(q director.Quarantine) causeQuarantine {
	out := causeQuarantine{
		uint64(q.Cause), uint64(q.Level), uint64(q.Cleared), uint64(q.Remaining.Milliseconds()), uint64(q.Age.Milliseconds()),
	}
	if q.Trial {
		out[5] = 1
	}
	return out
}

func (q causeQuarantine) decode() director.Quarantine {
	return director.Quarantine{
		Cause: director.Cause(q[0]), Level: int(q[1]), Cleared: int(q[2]), Remaining: time.Duration(q[3]) * time.Millisecond,
		Age: time.Duration(q[4]) * time.Millisecond, Trial: q[5] != 0,
	}
}

// lostAnswer encodes a director.LostAnswer.
type lostAnswer struct {
	Cause  uint64         `json:"c"`
	Target model.TargetID `json:"t"`
	BornMs int64          `json:"b"`
	AgeMs  int64          `json:"a"`
}

func encodeLostAnswer(l director.LostAnswer) lostAnswer {
	return lostAnswer{Cause: uint64(l.Cause), Target: l.Target, BornMs: l.Born, AgeMs: l.Age.Milliseconds()}
}

func (l lostAnswer) decode() director.LostAnswer {
	return director.LostAnswer{
		Cause: director.Cause(l.Cause), Target: l.Target, Born: l.BornMs, Age: time.Duration(l.AgeMs) * time.Millisecond,
	}
}

// answeredPart encodes a director.AnsweredPart as integers without field names: the part
// and the milliseconds since its answer.
type answeredPart [2]uint64

func encodeAnswer(a director.AnsweredPart) answeredPart {
	return answeredPart{uint64(a.Part), uint64(a.Age.Milliseconds())}
}

func (a answeredPart) decode() director.AnsweredPart {
	return director.AnsweredPart{Part: director.Cause(a[0]), Age: time.Duration(a[1]) * time.Millisecond}
}

// targetLimit encodes a director.TargetLimit as integers without field names: thousandths
// of requests a second, milliseconds since the answer, thousandths of sends, and the start
// of the target's process.
type targetLimit [4]int64

func encodeLimit(l director.TargetLimit) targetLimit {
	return targetLimit{int64(math.Ceil(l.PerSecond * 1000)), l.Age.Milliseconds(), int64(l.Sends * 1000), l.Born}
}

func (l targetLimit) decode() director.TargetLimit {
	return director.TargetLimit{
		Shared: targetlimit.Shared{PerSecond: float64(l[0]) / 1000, Age: time.Duration(l[1]) * time.Millisecond, Sends: float64(l[2]) / 1000}, Born: l[3],
	}
}

// sign encodes a director.Sign as integers without field names: the start of the target's
// process, milliseconds since the sign, and 1 for a report.
type sign [3]int64

func encodeSign(s director.Sign) sign {
	out := sign{s.Born, s.Age.Milliseconds()}
	if s.Report {
		out[2] = 1
	}
	return out
}

func (s sign) decode() director.Sign {
	return director.Sign{Born: s[0], Age: time.Duration(s[1]) * time.Millisecond, Report: s[2] != 0}
}

// targetBackoff encodes a director.Backoff.
type targetBackoff struct {
	VM     model.NodeID   `json:"v"`
	Target model.TargetID `json:"t"`
	BornMs int64          `json:"b"`
	LeftMs int64          `json:"l"`
}

// encodeBackoff rounds the time left up.
func encodeBackoff(r director.Backoff) targetBackoff {
	return targetBackoff{VM: r.VM, Target: r.Target, BornMs: r.Born, LeftMs: (r.Remaining + time.Millisecond - 1).Milliseconds()}
}

func (r targetBackoff) decode() director.Backoff {
	return director.Backoff{VM: r.VM, Target: r.Target, Born: r.BornMs, Remaining: time.Duration(r.LeftMs) * time.Millisecond}
}

// encodePeerState returns the message for a VM's state.
func encodePeerState(peerState director.PeerState) peerMessage {
	message := peerMessage{
		VM: peerState.VM, Process: peerState.Process, UptimeMs: peerState.Uptime.Milliseconds(), Loads: make(map[model.TargetID]load, len(peerState.Loads)), Paces: peerState.Paces, Crashes: peerState.Crashes, Config: peerState.Config,
		Suspects: make(map[model.TargetID]suspicion, len(peerState.Suspects)),
	}
	message.Zone, message.Isolated, message.Unreachable, message.InFlight = peerState.Zone, peerState.Isolated, peerState.Unreachable, peerState.InFlight
	message.StoreFailing, message.Demand = peerState.StoreFailing, encodeDemand(peerState.Demand)
	if peerState.Copies.Address != "" {
		message.Copies = []string{peerState.Copies.Address, peerState.Copies.Secret}
	}
	if peerState.Relay.Address != "" {
		message.Relay = []string{peerState.Relay.Address, peerState.Relay.Secret}
	}
	for id, s := range peerState.Signs {
		if message.Signs == nil {
			message.Signs = make(map[model.TargetID]sign, len(peerState.Signs))
		}
		message.Signs[id] = encodeSign(s)
	}
	for id, l := range peerState.Loads {
		message.Loads[id] = encodeLoad(l)
	}
	for id, s := range peerState.Suspects {
		message.Suspects[id] = suspicion{LeftMs: s.Remaining.Milliseconds(), AgeMs: s.Age.Milliseconds(), RejectsRequests: s.RejectsRequests}
	}
	for _, q := range peerState.Quarantines {
		message.Quarantines = append(message.Quarantines, encodeQuarantine(q))
	}
	for _, l := range peerState.LostAnswers {
		message.LostAnswers = append(message.LostAnswers, encodeLostAnswer(l))
	}
	for id, l := range peerState.Limits {
		if message.Limits == nil {
			message.Limits = make(map[model.TargetID]targetLimit, len(peerState.Limits))
		}
		message.Limits[id] = encodeLimit(l)
	}
	message.Leaving = peerState.Leaving
	message.Outliers = encodeOutliers(peerState.Outliers)
	for _, r := range peerState.Backoffs {
		message.Backoffs = append(message.Backoffs, encodeBackoff(r))
	}
	for _, a := range peerState.Answers {
		message.Answers = append(message.Answers, encodeAnswer(a))
	}
	return message
}

// received returns the sender's state in the message.
func (m *peerMessage) received() director.PeerState {
	out := director.PeerState{
		VM: m.VM, Process: m.Process, Uptime: time.Duration(m.UptimeMs) * time.Millisecond, Loads: make(map[model.TargetID]director.Load, len(m.Loads)), Paces: m.Paces, Crashes: m.Crashes, Config: m.Config,
		Suspects: make(map[model.TargetID]director.Suspicion, len(m.Suspects)),
	}
	out.Zone, out.Isolated, out.Unreachable, out.InFlight = m.Zone, m.Isolated, m.Unreachable, m.InFlight
	out.Age = time.Duration(m.AgeMs) * time.Millisecond
	out.StoreFailing, out.Demand = m.StoreFailing, m.Demand.decode()
	if len(m.Copies) == 2 {
		out.Copies = membership.Endpoint{Address: m.Copies[0], Secret: m.Copies[1]}
	}
	if len(m.Relay) == 2 {
		out.Relay = director.Relay{VM: m.VM, Address: m.Relay[0], Secret: m.Relay[1]}
	}
	for id, s := range m.Signs {
		if out.Signs == nil {
			out.Signs = make(map[model.TargetID]director.Sign, len(m.Signs))
		}
		out.Signs[id] = s.decode()
	}
	for id, l := range m.Loads {
		out.Loads[id] = l.decode()
	}
	for id, s := range m.Suspects {
		out.Suspects[id] = director.Suspicion{
			Remaining: time.Duration(s.LeftMs) * time.Millisecond, Age: time.Duration(s.AgeMs) * time.Millisecond, RejectsRequests: s.RejectsRequests,
		}
	}
	for _, q := range m.Quarantines {
		out.Quarantines = append(out.Quarantines, q.decode())
	}
	for _, l := range m.LostAnswers {
		out.LostAnswers = append(out.LostAnswers, l.decode())
	}
	for id, l := range m.Limits {
		if out.Limits == nil {
			out.Limits = make(map[model.TargetID]director.TargetLimit, len(m.Limits))
		}
		out.Limits[id] = l.decode()
	}
	out.Leaving = m.Leaving
	out.Outliers = m.Outliers.decode()
	for _, r := range m.Backoffs {
		out.Backoffs = append(out.Backoffs, r.decode())
	}
	for _, a := range m.Answers {
		out.Answers = append(out.Answers, a.decode())
	}
	return out
}
