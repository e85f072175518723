package capacity_test

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	tamarackv1 "tamarackreach/gen/tamarack/v1"
	"tamarackreach/internal/decision"
	"tamarackreach/internal/event"
	"tamarackreach/internal/model"
	"tamarackreach/internal/reducer"
	"tamarackreach/internal/settings"
	"tamarackreach/internal/settingsync"
	"tamarackreach/internal/targets"
	"tamarackreach/internal/timer"

	"google.golang.org/protobuf/proto"
)

const (
	stages         = 4
	layersPerStage = 12
	promptBytes    = 2048
	workspaceKey   = "key-w-0"
)

// liveBytes returns the size of the live heap after garbage collection.
func liveBytes() float64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// initialChange returns initial settings: one pipeline over all engines and the
// workspaces that share it.
func initialChange(engines, workspaces int) event.Change {
	pipeline := settings.Pipeline{
		Model: "m", Version: "v1", Recovery: settings.RecoverStage, MaxPromptBytes: 16 << 10, CapacityTokensPerS: 1 << 31,
		Stages: make([]settings.Stage, stages),
	}
	for i := range pipeline.Stages {
		pipeline.Stages[i].Layers = layersOf(i)
	}
	for i := range engines {
		stage := &pipeline.Stages[i%stages]
		stage.Targets = append(stage.Targets, engineID(i))
	}
	c := event.Change{ID: "c", Team: "t", Revision: 1}
	add := func(path string, object any) {
		value, _ := json.Marshal(object)
		c.Edits = append(c.Edits, event.Edit{Path: path, Value: value})
	}
	add("models/m", settings.Model{Versions: []model.ModelVersion{"v1"}, Layers: stages * layersPerStage})
	add("pipelines/p", pipeline)
	for i := range workspaces {
		hash := sha256.Sum256([]byte(fmt.Sprintf("key-w-%d", i)))
		add(fmt.Sprintf("workspaces/w-%d", i), settings.Workspace{
			KeySHA256: hex.EncodeToString(hash[:]), SharesTokensPerS: map[model.PipelineID]uint32{"p": 1 << 31 / uint32(workspaces)},
			Priority: 1, FirstTokenMs: 1900,
		})
	}
	return c
}

func engineID(i int) model.TargetID { return model.TargetID(fmt.Sprintf("engine-%05d", i)) }

func layersOf(i int) model.LayerRange {
	first := uint32(i % stages * layersPerStage)
	return model.LayerRange{First: first, End: first + layersPerStage}
}

func vms(engines int) []event.VM {
	list := make([]event.VM, engines)
	for i := range list {
		list[i] = event.VM{ID: string(engineID(i)), Incarnation: 1, Zone: "z", Role: event.RoleEngine, Address: "10.0.0.1:7000", Accelerator: "a"}
	}
	return list
}

func engineReport(i, engines int, sequence uint64) event.EngineReported {
	const linksReported = 30
	report := event.EngineReported{
		Target: engineID(i), Incarnation: 1, Sequence: sequence, Model: "m", Version: "v1", Layers: layersOf(i),
		Accelerator: "a", StepTime: 3 * time.Millisecond, MaxBatch: 8, Running: uint32(i % 8),
	}
	for link := range min(linksReported, engines) {
		report.Links = append(report.Links, event.Link{To: engineID((i + link) % engines), Latency: time.Millisecond})
	}
	return report
}

// readyState returns the state of a ready node with settings and engines.
func readyState(engines, workspaces int) *reducer.State {
	s := reducer.New(reducer.Config{Node: "n", Incarnation: 1, Zone: "z", EntryNodes: 1, Seed: 1})
	s.Reduce(1, 0, event.NodeStarted{})
	first := initialChange(engines, workspaces)
	tree, _ := settings.NewTree().Apply(&first)
	treeJSON, _ := json.Marshal(tree)
	snapshot, _ := json.Marshal(settingsync.Snapshot{Revision: 1, Tree: treeJSON})
	head, _ := json.Marshal(settingsync.RevisionRow{Revision: 1})
	s.Reduce(1, 0, event.ObjectRead{Key: settingsync.SnapshotKey, Body: snapshot, Found: true})
	s.Reduce(1, 0, event.RowsRead{Read: "spread/head", Rows: []model.Row{{Key: settingsync.HeadKey, Value: head, Version: 1}}})
	s.Reduce(1, 0, event.VMsListed{VMs: vms(engines)})
	for i := range engines {
		s.Reduce(1, 0, engineReport(i, engines, 1))
	}
	s.Reduce(at(0), 0, event.Tick{})
	return s
}

// at returns the time of event i, at least 10 s after the start of the node.
func at(i int) model.Instant {
	const up = 10 * time.Second
	return model.Instant(up + time.Duration(i)*time.Millisecond)
}

// admit sends a request and returns its ID and the receipts of its chain. It
// fails the benchmark if the request is not admitted.
func admit(b *testing.B, s *reducer.State, i int) (model.RequestID, []model.Receipt) {
	id := model.RequestID(fmt.Sprintf("n-%d", i))
	prompt := strings.Repeat("p", promptBytes-20) + fmt.Sprintf("%020d", i)
	effects := s.Reduce(at(i), 0, event.RequestArrived{
		Request: id, WorkspaceKey: workspaceKey, Model: "m", Prompt: prompt, MaxTokens: 256, FirstTokenWithin: time.Hour,
	})
	for _, effect := range effects {
		if open, ok := effect.(event.OpenChain); ok {
			receipts := make([]model.Receipt, len(open.Chain))
			for j, hop := range open.Chain {
				receipts[j] = model.Receipt{Target: hop.Target, Layers: hop.Layers, Version: "v1"}
			}
			return id, receipts
		}
	}
	b.Fatalf("request %d was not admitted: %+v", i, effects)
	return "", nil
}

// BenchmarkRequest measures admitting, routing and ending a request.
func BenchmarkRequest(b *testing.B) {
	for _, engines := range []int{40, 1000} {
		b.Run(fmt.Sprintf("engines=%d", engines), func(b *testing.B) {
			s := readyState(engines, 10)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				id, _ := admit(b, s, i)
				s.Reduce(at(i), 0, event.CallerGone{Request: id})
			}
		})
	}
}

// BenchmarkToken measures checking and forwarding a token.
func BenchmarkToken(b *testing.B) {
	const tokens = 200
	s := readyState(40, 10)
	b.ReportAllocs()
	request := 0
	var id model.RequestID
	var receipts []model.Receipt
	for i := 0; b.Loop(); i++ {
		if i%tokens == 0 {
			s.Reduce(at(request), 0, event.CallerGone{Request: id})
			id, receipts = admit(b, s, request)
			request++
		}
		s.Reduce(at(request), 0, &event.TokenArrived{
			Request: id, Attempt: 1, Index: model.TokenIndex(i % tokens), Text: "token", Receipts: receipts,
		})
	}
}

// BenchmarkRequestMemory reports the memory of a request in flight with a
// prompt of 2048 bytes and 100 tokens delivered.
func BenchmarkRequestMemory(b *testing.B) {
	const requests, tokens = 2000, 100
	for b.Loop() {
		s := readyState(1000, 10)
		before := liveBytes()
		for i := range requests {
			id, receipts := admit(b, s, i)
			for index := range tokens {
				s.Reduce(at(i), 0, &event.TokenArrived{
					Request: id, Attempt: 1, Index: model.TokenIndex(index), Text: fmt.Sprint(index), Receipts: receipts,
				})
			}
		}
		b.ReportMetric((liveBytes()-before)/requests, "B/request")
		runtime.KeepAlive(s)
	}
}

// BenchmarkTargets reports the memory of a target with 30 links, and measures
// applying an engine report and a list of all VMs.
func BenchmarkTargets(b *testing.B) {
	for _, engines := range []int{40, 1000, 12000} {
		c := &decision.Context{Timers: timer.New()}
		before := liveBytes()
		table := targets.New()
		list := vms(engines)
		table.ApplyVMList(c, list)
		for i := range engines {
			table.Reported(c, engineReport(i, engines, 1))
		}
		c.Effects = nil
		perTarget := (liveBytes() - before) / float64(engines)
		b.Run(fmt.Sprintf("report/engines=%d", engines), func(b *testing.B) {
			for i := 0; b.Loop(); i++ {
				table.Reported(c, engineReport(i%engines, engines, uint64(i)))
			}
			b.ReportMetric(perTarget, "B/target")
		})
		b.Run(fmt.Sprintf("list/engines=%d", engines), func(b *testing.B) {
			for b.Loop() {
				table.ApplyVMList(c, list)
			}
		})
		runtime.KeepAlive(table)
	}
}

// BenchmarkSettings reports the memory of a workspace, and measures building a
// view, applying a change of one workspace to the tree alone and to the view as
// well, and checking the tree.
func BenchmarkSettings(b *testing.B) {
	for _, workspaces := range []int{100, 1000, 29000} {
		before := liveBytes()
		first := initialChange(40, workspaces)
		tree, _ := settings.NewTree().Apply(&first)
		edit := event.Change{Team: "t", Edits: []event.Edit{first.Edits[len(first.Edits)-1]}}
		edit.Edits[0].Value = append([]byte(nil), edit.Edits[0].Value...)
		first.Edits = nil
		view := settings.NewView(tree)
		perWorkspace := (liveBytes() - before) / float64(workspaces)
		b.Run(fmt.Sprintf("view/workspaces=%d", workspaces), func(b *testing.B) {
			for b.Loop() {
				view = settings.NewView(tree)
			}
			b.ReportMetric(perWorkspace, "B/workspace")
		})
		b.Run(fmt.Sprintf("apply/workspaces=%d", workspaces), func(b *testing.B) {
			for b.Loop() {
				_, _ = tree.Apply(&edit)
			}
		})
		b.Run(fmt.Sprintf("advance/workspaces=%d", workspaces), func(b *testing.B) {
			for b.Loop() {
				next, _ := tree.Apply(&edit)
				view.Advance(next, &edit)
			}
		})
		b.Run(fmt.Sprintf("check/workspaces=%d", workspaces), func(b *testing.B) {
			for b.Loop() {
				_ = tree.Check()
			}
		})
		runtime.KeepAlive(view)
	}
}

// BenchmarkMessageBytes reports the encoded sizes of a VM, a token frame and a
// load report.
func BenchmarkMessageBytes(b *testing.B) {
	frame := &tamarackv1.CollectResponse{RequestId: "entry-001-mx85nuz1-1n", Attempt: 1, Index: 100, Text: "token"}
	for i := range stages {
		layers := layersOf(i)
		frame.Receipts = append(frame.Receipts, &tamarackv1.Receipt{
			TargetId: string(engineID(i)), Layers: &tamarackv1.LayerRange{First: layers.First, End: layers.End}, Version: "v1",
		})
	}
	report := &tamarackv1.WatchResponse{TargetId: string(engineID(1)), Incarnation: 1, Sequence: 1000, Model: "m", Version: "v1", Accelerator: "a100", StepUs: 3000, MaxBatch: 8}
	for i := range 30 {
		report.Links = append(report.Links, &tamarackv1.LinkReport{ToTargetId: string(engineID(i)), LatencyUs: 4000})
	}
	vm := &tamarackv1.Vm{Id: string(engineID(1)), Incarnation: 1, Zone: "lisboa", Role: string(event.RoleEngine), Address: "10.0.0.1:7000", Accelerator: "a100"}
	for b.Loop() {
		_, _ = proto.Marshal(frame)
	}
	b.ReportMetric(float64(proto.Size(vm)), "B/vm")
	b.ReportMetric(float64(proto.Size(frame)), "B/frame")
	b.ReportMetric(float64(proto.Size(report)), "B/report")
}
