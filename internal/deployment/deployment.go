// Package deployment describes a deployment of daemons and stand-ins on one
// machine and writes the configuration file of each process.
package deployment

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"

	tamarackv1 "tamarackreach/gen/tamarack/v1"
	"tamarackreach/internal/config"
	"tamarackreach/internal/event"
	"tamarackreach/internal/keys"
	"tamarackreach/internal/model"
	"tamarackreach/internal/standin/engine"
	"tamarackreach/internal/standin/platform"
	"tamarackreach/internal/standin/service"
)

const (
	host           = "127.0.0.1"
	directoryMode  = 0o755
	publicFileMode = 0o644
	// weightLayersPerS is the rate of the stand-in weight store, in layers per
	// second.
	weightLayersPerS = 2000
	// defaultMaxBatch is the number of tokens that an engine runs in one step.
	defaultMaxBatch = 8
	// CrashMarker is the marker in a prompt that crashes every engine that runs it.
	CrashMarker = "POISON"
)

// Shape is the size and composition of a deployment.
type Shape struct {
	Zones   []model.AvailabilityZone `json:"zones"`
	Entries int                      `json:"entries"`
	// Engines is the number of engines; each holds one stage of the model.
	Engines int `json:"engines"`
	// EngineProcesses is the number of processes that host the engines.
	EngineProcesses int `json:"engine_processes"`
	Stages          int `json:"stages"`
	Services        int `json:"services"`
	Workspaces      int `json:"workspaces"`
	// Layers is the number of layers of the model.
	Layers uint32 `json:"layers"`
	// BasePort is the first TCP and UDP port of the range in use.
	BasePort int `json:"base_port"`
	// TableWritesPerS and TableReadsPerS are the rate limits of the stand-in
	// table service.
	TableWritesPerS float64 `json:"table_writes_per_s"`
	TableReadsPerS  float64 `json:"table_reads_per_s"`
	// RecordEvents enables the event and span files of the entry VMs.
	RecordEvents bool `json:"record_events"`
	// StepScale multiplies the step time of every engine; 0 is 1.
	StepScale uint32 `json:"step_scale"`
	// MaxBatch is the batch size of every engine; 0 is the default.
	MaxBatch uint32 `json:"max_batch"`
	// WorkspacePrefix is the prefix of the name of every workspace.
	WorkspacePrefix string `json:"workspace_prefix"`
}

// LinhaDourada is the shape of a directory-enquiry deployment.
func LinhaDourada(basePort int) Shape {
	return Shape{
		Zones:           []model.AvailabilityZone{"lisboa", "porto", "coimbra"},
		Entries:         4,
		Engines:         40,
		EngineProcesses: 4,
		Stages:          4,
		Services:        3,
		Workspaces:      10,
		Layers:          48,
		BasePort:        basePort,
		TableWritesPerS: 300,
		TableReadsPerS:  2000,
		WorkspacePrefix: "callcentre",
	}
}

// KootenayLacing is the shape of a shoe-shop deployment.
func KootenayLacing(basePort int) Shape {
	shape := LinhaDourada(basePort)
	shape.Zones = []model.AvailabilityZone{"bc-west-a", "bc-west-b", "bc-west-c"}
	shape.WorkspacePrefix = "shop"
	return shape
}

// Accelerator is a kind of accelerator with the step time of its engines.
type Accelerator struct {
	Kind   model.AcceleratorKind
	StepUs uint32
}

// Accelerators returns the kinds of accelerator that engines are assigned to in
// turn.
func Accelerators() []Accelerator {
	return []Accelerator{{Kind: "a100", StepUs: 3000}, {Kind: "l40", StepUs: 5000}, {Kind: "t4", StepUs: 9000}}
}

// Process is one process to start.
type Process struct {
	Name    string   `json:"name"`
	Program string   `json:"program"`
	Args    []string `json:"args"`
}

// Entry holds the addresses on which an entry VM listens.
type Entry struct {
	NodeID   model.NodeID           `json:"node_id"`
	Zone     model.AvailabilityZone `json:"zone"`
	Caller   string                 `json:"caller"`
	Operator string                 `json:"operator"`
	Peer     string                 `json:"peer"`
	Metrics  string                 `json:"metrics"`
}

// Deployment is a shape with its addresses and secrets.
type Deployment struct {
	Shape     Shape     `json:"shape"`
	Processes []Process `json:"processes"`
	Entries   []Entry   `json:"entries"`
	Platform  string    `json:"platform"`
	// EngineControls and ServiceControls are the addresses of the control
	// endpoints.
	EngineControls  []string `json:"engine_controls"`
	ServiceControls []string `json:"service_controls"`
	// Teams maps a team to its token.
	Teams map[model.TeamID]string `json:"teams"`
	// Workspaces maps a workspace to its key.
	Workspaces map[model.WorkspaceID]string `json:"workspaces"`
	// EngineHosts maps an engine to the index of its control endpoint.
	EngineHosts map[model.TargetID]int `json:"engine_hosts"`

	// VMs is the platform's list of VMs.
	VMs []*tamarackv1.Vm `json:"vms"`
	// BoundTokensPerS is the maximum throughput of the engines.
	BoundTokensPerS float64 `json:"bound_tokens_per_s"`

	dir     string
	port    int
	engines []engine.Config
}

// The teams of a deployment.
const (
	PlatformTeam model.TeamID = "platform"
	SalesTeam    model.TeamID = "sales"
)

// The model of a deployment.
const (
	ModelName    model.ModelName    = "directory-assistant"
	ModelVersion model.ModelVersion = "v1"
	Pipeline     model.PipelineID   = "main"
	ServiceName  model.ServiceID    = "desk"
)

// Write creates a deployment of the shape and writes its files to a directory.
func Write(shape Shape, dir string) (*Deployment, error) {
	d := &Deployment{
		Shape:       shape,
		Teams:       map[model.TeamID]string{PlatformTeam: "platform-token", SalesTeam: "sales-token"},
		Workspaces:  make(map[model.WorkspaceID]string),
		EngineHosts: make(map[model.TargetID]int),
		dir:         dir,
		port:        shape.BasePort,
	}
	if err := os.MkdirAll(dir, directoryMode); err != nil {
		return nil, errors.Wrap(err, "create deployment directory")
	}
	for i := range shape.Workspaces {
		id := model.WorkspaceID(fmt.Sprintf("%s-%d", shape.WorkspacePrefix, i+1))
		d.Workspaces[id] = "key-" + string(id)
	}
	steps := []func() error{d.writePlatform, d.writeEngines, d.writeServices, d.writeEntries, d.writeManifest}
	for _, step := range steps {
		if err := step(); err != nil {
			return nil, err
		}
	}
	return d, nil
}

// address returns an address with the next unused port.
func (d *Deployment) address() string {
	address := fmt.Sprintf("%s:%d", host, d.port)
	d.port++
	return address
}

func (d *Deployment) zone(i int) model.AvailabilityZone { return d.Shape.Zones[i%len(d.Shape.Zones)] }

// writeProcess writes the configuration of a process and adds the process to
// d.Processes.
func (d *Deployment) writeProcess(program, name string, configuration any) error {
	path := filepath.Join(d.dir, name+".json")
	if err := writeJSON(path, configuration); err != nil {
		return err
	}
	d.Processes = append(d.Processes, Process{Name: name, Program: program, Args: []string{"-config", path}})
	return nil
}

func writeJSON(path string, value any) error {
	data, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return errors.Wrapf(err, "encode %s", path)
	}
	return errors.Wrap(os.WriteFile(path, append(data, '\n'), publicFileMode), "write configuration")
}

func (d *Deployment) writePlatform() error {
	d.Platform = d.address()
	return d.writeProcess("standin-platform", "platform", platform.Config{
		Address:          d.Platform,
		WritesPerS:       d.Shape.TableWritesPerS,
		ReadsPerS:        d.Shape.TableReadsPerS,
		VMLagMs:          500,
		WeightLayersPerS: weightLayersPerS,
	})
}

func (d *Deployment) writeEngines() error {
	for i := range d.Shape.Engines {
		d.engines = append(d.engines, d.engineConfig(i))
	}
	for i := range d.engines {
		d.engines[i].LinkUs = d.links(i)
	}
	d.BoundTokensPerS = throughputBound(d.engines)
	perProcess := (len(d.engines) + d.Shape.EngineProcesses - 1) / d.Shape.EngineProcesses
	for i, group := range slices.Collect(slices.Chunk(d.engines, perProcess)) {
		control := d.address()
		d.EngineControls = append(d.EngineControls, control)
		for _, e := range group {
			d.EngineHosts[model.TargetID(e.ID)] = i
		}
		name := fmt.Sprintf("engines-%d", i+1)
		if err := d.writeProcess("standin-engine", name, engine.HostConfig{ControlAddress: control, PlatformAddress: d.Platform, Engines: group}); err != nil {
			return err
		}
	}
	return nil
}

func (d *Deployment) engineConfig(i int) engine.Config {
	accelerators := Accelerators()
	accelerator := accelerators[(i/d.Shape.Stages)%len(accelerators)]
	perStage := d.Shape.Layers / uint32(d.Shape.Stages)
	first := uint32(i%d.Shape.Stages) * perStage
	c := engine.Config{
		ID:            fmt.Sprintf("engine-%02d", i+1),
		Address:       d.address(),
		Incarnation:   1,
		Accelerator:   string(accelerator.Kind),
		Model:         string(ModelName),
		Version:       ModelVersion,
		Layers:        model.LayerRange{First: first, End: first + perStage},
		StepUs:        accelerator.StepUs * max(d.Shape.StepScale, 1),
		MaxBatch:      cmp.Or(d.Shape.MaxBatch, defaultMaxBatch),
		DefaultLinkUs: 2000,
		ReportMs:      300,
		CachePrefixes: 64,
		PoisonMarker:  CrashMarker,
		RestartMs:     1500,
		ChecksFencing: i%2 == 0,
	}
	d.VMs = append(d.VMs, &tamarackv1.Vm{
		Id: c.ID, Incarnation: 1, Zone: string(d.zone(i / d.Shape.Stages)), Role: string(event.RoleEngine),
		Address: c.Address, Accelerator: c.Accelerator,
	})
	return c
}

// links returns the link latencies in microseconds from an engine to the engines
// of other stages. Links between zones are 100 times slower than links within a
// zone.
func (d *Deployment) links(i int) map[string]uint32 {
	const nearUs, farUs = 40, 4000
	links := make(map[string]uint32)
	for j := range d.engines {
		switch {
		case d.engines[j].Layers.First == d.engines[i].Layers.First:
		case d.VMs[j].Zone == d.VMs[i].Zone:
			links[d.engines[j].ID] = nearUs
		default:
			links[d.engines[j].ID] = farUs
		}
	}
	return links
}

// ServiceTarget returns the target ID of the service with index i, from 0.
func ServiceTarget(i int) model.TargetID { return model.TargetID(fmt.Sprintf("desk-%d", i+1)) }

func (d *Deployment) writeServices() error {
	for i := range d.Shape.Services {
		c := service.Config{ID: string(ServiceTarget(i)), Address: d.address()}
		d.ServiceControls = append(d.ServiceControls, c.Address)
		d.VMs = append(d.VMs, &tamarackv1.Vm{
			Id: c.ID, Incarnation: 1, Zone: string(d.zone(i)), Role: string(event.RoleService), Address: c.Address,
		})
		if err := d.writeProcess("standin-service", c.ID, c); err != nil {
			return err
		}
	}
	return nil
}

func (d *Deployment) writeEntries() error {
	authority, err := keys.NewAuthority()
	if err != nil {
		return err
	}
	if err := authority.WriteAuthority(d.dir); err != nil {
		return err
	}
	for i := range d.Shape.Entries {
		d.Entries = append(d.Entries, Entry{
			NodeID: model.NodeID(fmt.Sprintf("entry-%d", i+1)), Zone: d.zone(i),
			Caller: d.address(), Operator: d.address(), Peer: d.address(), Metrics: d.address(),
		})
	}
	for _, e := range d.Entries {
		if err := authority.WriteNode(d.dir, string(e.NodeID)); err != nil {
			return err
		}
		if err := d.writeProcess("tamarack-entry", string(e.NodeID), d.entryConfig(e)); err != nil {
			return err
		}
		d.VMs = append(d.VMs, &tamarackv1.Vm{
			Id: string(e.NodeID), Incarnation: 1, Zone: string(e.Zone), Role: string(event.RoleEntry),
			Address: e.Caller, PeerAddress: e.Peer,
		})
	}
	return nil
}

func (d *Deployment) entryConfig(e Entry) config.Entry {
	c := config.Entry{
		NodeID: e.NodeID, Zone: e.Zone,
		CallerAddress: e.Caller, OperatorAddress: e.Operator, PeerAddress: e.Peer, MetricsAddress: e.Metrics,
		PlatformAddress: d.Platform, EntryNodes: uint32(d.Shape.Entries), ShutdownLagMs: 500, WeightLayersPerS: 200,
		PeerTLS: config.PeerTLS{
			CAFile:   filepath.Join(d.dir, "ca.pem"),
			CertFile: filepath.Join(d.dir, string(e.NodeID)+".pem"),
			KeyFile:  filepath.Join(d.dir, string(e.NodeID)+"-key.pem"),
		},
	}
	if d.Shape.RecordEvents {
		c.EventFile = filepath.Join(d.dir, string(e.NodeID)+"-events.jsonl")
		c.SpanFile = filepath.Join(d.dir, string(e.NodeID)+"-spans.jsonl")
	}
	for _, other := range d.Entries {
		if other.NodeID != e.NodeID {
			c.Seeds = append(c.Seeds, config.Seed{NodeID: other.NodeID, Address: other.Peer})
		}
	}
	for _, team := range []model.TeamID{PlatformTeam, SalesTeam} {
		c.Operators = append(c.Operators, config.Operator{Team: team, TokenSHA256: hashOf(d.Teams[team])})
	}
	return c
}

// writeManifest writes the deployment as JSON and its processes, one per line,
// for the script that starts them.
func (d *Deployment) writeManifest() error {
	var lines strings.Builder
	for _, process := range d.Processes {
		fmt.Fprintf(&lines, "%s %s %s\n", process.Name, process.Program, strings.Join(process.Args, " "))
	}
	if err := os.WriteFile(filepath.Join(d.dir, "processes.txt"), []byte(lines.String()), publicFileMode); err != nil {
		return errors.Wrap(err, "write process list")
	}
	return writeJSON(filepath.Join(d.dir, "deployment.json"), d)
}

// Load reads a deployment that Write created.
func Load(dir string) (*Deployment, error) {
	data, err := os.ReadFile(filepath.Join(dir, "deployment.json"))
	if err != nil {
		return nil, errors.Wrap(err, "read deployment")
	}
	d := &Deployment{}
	return d, errors.Wrap(json.Unmarshal(data, d), "decode deployment")
}

func hashOf(secret string) string {
	hash := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(hash[:])
}
