// Package config reads the configuration file of a daemon: its addresses, its
// zone, and the operators and certificates that it trusts. Settings that operators
// change at run time are in package settings.
package config

import (
	"encoding/hex"
	"fmt"
	"net"
	"os"

	"github.com/cockroachdb/errors"

	"tamarackreach/internal/model"
	"tamarackreach/internal/strictjson"
)

// Entry is the configuration of tamarack-entry.
type Entry struct {
	NodeID model.NodeID           `json:"node_id"`
	Zone   model.AvailabilityZone `json:"zone"`
	// CallerAddress is the listen address for callers, IP:port.
	CallerAddress string `json:"caller_address"`
	// OperatorAddress is the listen address for operators, IP:port.
	OperatorAddress string `json:"operator_address"`
	// PeerAddress is the UDP listen address for other entry VMs, IP:port.
	PeerAddress string `json:"peer_address"`
	// MetricsAddress is the listen address for metrics and readiness, IP:port.
	MetricsAddress string `json:"metrics_address"`
	// PlatformAddress is the address of the platform's services, IP:port.
	PlatformAddress string `json:"platform_address"`
	// EntryNodes is the number of entry VMs among which quotas are divided.
	EntryNodes uint32 `json:"entry_nodes"`
	// WeightLayersPerS is the maximum rate of loads from the weight store that
	// this VM may order for one pipeline, in layers per second.
	WeightLayersPerS uint32 `json:"weight_layers_per_s"`
	// Seeds are the entry VMs to contact at startup.
	Seeds []Seed `json:"seeds"`
	// Operators are the teams that may change settings, with their tokens' hashes.
	Operators []Operator `json:"operators"`
	PeerTLS   PeerTLS    `json:"peer_tls"`
	// SpanFile is the file to which spans are written as JSON lines; empty
	// disables tracing.
	SpanFile string `json:"span_file"`
	// EventFile is the file to which the reducer's events are recorded; empty
	// disables recording.
	EventFile string `json:"event_file"`
	// ShutdownLagMs is how long the load balancer may keep sending requests
	// after the node reports that it is not ready, in milliseconds.
	ShutdownLagMs uint32 `json:"shutdown_lag_ms"`
}

// Seed is an entry VM listed in the configuration.
type Seed struct {
	NodeID  model.NodeID `json:"node_id"`
	Address string       `json:"address"`
}

// Operator is a team with the hex SHA-256 of its token.
type Operator struct {
	Team        model.TeamID `json:"team"`
	TokenSHA256 string       `json:"token_sha256"`
}

// PeerTLS names the files of the mutual TLS between entry VMs.
type PeerTLS struct {
	CAFile   string `json:"ca_file"`
	CertFile string `json:"cert_file"`
	KeyFile  string `json:"key_file"`
}

const (
	defaultEntryNodes       = 4
	defaultShutdownLagMs    = 1000
	defaultWeightLayersPerS = 50
	tokenHashBytes          = 32
)

// Load reads and checks a configuration file; the error lists all problems.
func Load(path string) (*Entry, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read configuration; name a readable file with -config")
	}
	return Decode(data)
}

// Decode decodes a configuration, fills in defaults and checks it.
func Decode(data []byte) (*Entry, error) {
	entry := &Entry{EntryNodes: defaultEntryNodes, ShutdownLagMs: defaultShutdownLagMs, WeightLayersPerS: defaultWeightLayersPerS}
	if err := strictjson.Decode(data, entry); err != nil {
		return nil, errors.Wrap(err, "decode configuration; the fields are in docs/OPERATIONS.md")
	}
	if err := strictjson.Join("configuration", entry.Check()); err != nil {
		return nil, err
	}
	return entry, nil
}

// Check returns all problems of the configuration.
func (e *Entry) Check() []strictjson.Problem {
	var problems []strictjson.Problem
	add := func(field, value, remedy string) {
		problems = append(problems, strictjson.Problem{Field: field, Value: value, Remedy: remedy})
	}
	if e.NodeID == "" {
		add("node_id", "", "give the VM a name of its own")
	}
	if e.Zone == "" {
		add("zone", "", "name the availability zone of the VM")
	}
	if e.EntryNodes == 0 {
		add("entry_nodes", "0", "give the number of entry VMs")
	}
	if e.WeightLayersPerS == 0 {
		add("weight_layers_per_s", "0", "give the rate of loads in layers a second")
	}
	addresses := []struct{ field, value string }{
		{"caller_address", e.CallerAddress},
		{"operator_address", e.OperatorAddress},
		{"peer_address", e.PeerAddress},
		{"metrics_address", e.MetricsAddress},
		{"platform_address", e.PlatformAddress},
	}
	for _, address := range addresses {
		if !isIPPort(address.value) {
			add(address.field, address.value, "give an IP number and a port, such as 10.0.0.1:7000")
		}
	}
	for i, seed := range e.Seeds {
		if !isIPPort(seed.Address) {
			add(fmt.Sprintf("seeds[%d].address", i), seed.Address, "give an IP number and a port")
		}
	}
	if len(e.Operators) == 0 {
		add("operators", "", "list at least one team with its token's SHA-256")
	}
	for i, operator := range e.Operators {
		if hash, err := hex.DecodeString(operator.TokenSHA256); err != nil || len(hash) != tokenHashBytes {
			add(fmt.Sprintf("operators[%d].token_sha256", i), operator.TokenSHA256, "give the hex SHA-256 of the team's token")
		}
		if operator.Team == "" {
			add(fmt.Sprintf("operators[%d].team", i), "", "name the team")
		}
	}
	return append(problems, e.PeerTLS.check()...)
}

func (t PeerTLS) check() []strictjson.Problem {
	var problems []strictjson.Problem
	files := []struct{ field, value string }{
		{"peer_tls.ca_file", t.CAFile}, {"peer_tls.cert_file", t.CertFile}, {"peer_tls.key_file", t.KeyFile},
	}
	for _, file := range files {
		if _, err := os.Stat(file.value); err != nil {
			problems = append(problems, strictjson.Problem{Field: file.field, Value: file.value, Remedy: "name a readable PEM file; tamarackctl keys makes a test set"})
		}
	}
	return problems
}

func isIPPort(address string) bool {
	host, port, err := net.SplitHostPort(address)
	return err == nil && net.ParseIP(host) != nil && port != ""
}
