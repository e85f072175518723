package commit_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"tamarackreach/internal/event"
	"tamarackreach/internal/model"
	"tamarackreach/internal/settings"
)

const (
	teams             = 10
	workspacesPerTeam = 30
	pipelines         = 3
	initialShare      = 100
	// headroom is the ratio of a pipeline's capacity to the sum of its initial shares.
	headroom = 1.02
	// thinkTime is the time between reading the settings and proposing a change.
	thinkTime = 30 * time.Second
	// commitTime is the duration of one transaction on the head row.
	commitTime    = 10 * time.Millisecond
	changesPerDay = 48_000
)

// rule is a commit rule: it decides whether a change based on base may be
// committed on head, given the changes accepted in between.
type rule struct {
	name   string
	accept func(base, head *settings.Tree, change *event.Change, later []event.Change) bool
}

func conflicts(paths []string, later []event.Change) bool {
	return slices.ContainsFunc(later, func(change event.Change) bool {
		_, found := settings.FirstConflict(paths, &change)
		return found
	})
}

func passesChecks(tree *settings.Tree, change *event.Change) bool {
	next, problems := tree.Apply(change)
	return len(problems) == 0 && len(next.Check()) == 0
}

var rules = []rule{
	{"whole-tree", func(_, _ *settings.Tree, _ *event.Change, later []event.Change) bool { return len(later) == 0 }},
	{"write-write", func(_, _ *settings.Tree, change *event.Change, later []event.Change) bool {
		return !conflicts(settings.WriteSet(change), later)
	}},
	{"read-write", func(base, _ *settings.Tree, change *event.Change, later []event.Change) bool {
		return !conflicts(readSet(base, change), later)
	}},
	{"write-write+check", func(_, head *settings.Tree, change *event.Change, later []event.Change) bool {
		return !conflicts(settings.WriteSet(change), later) && passesChecks(head, change)
	}},
}

// readSet returns the paths that the validity of a change depends on: the paths
// it writes and, if it raises a share, all pipelines and workspaces.
func readSet(tree *settings.Tree, change *event.Change) []string {
	reads := settings.WriteSet(change)
	if !sharesGrow(tree, change) {
		return reads
	}
	for team := range tree.Teams {
		reads = append(reads, settings.FullPath(team, "workspaces/"), settings.FullPath(team, "pipelines/"))
	}
	return reads
}

func sharesGrow(tree *settings.Tree, change *event.Change) bool {
	var after settings.Workspace
	if json.Unmarshal(change.Edits[0].Value, &after) != nil {
		return true
	}
	name := model.WorkspaceID(strings.TrimPrefix(change.Edits[0].Path, "workspaces/"))
	before := tree.Teams[change.Team].Workspaces[name].SharesTokensPerS
	for pipeline, share := range after.SharesTokensPerS {
		if share > before[pipeline] {
			return true
		}
	}
	return false
}

func initialTree() *settings.Tree {
	tree := settings.NewTree()
	capacity := uint32(float64(teams*workspacesPerTeam*initialShare) * headroom)
	platform := &settings.Team{
		Models:    map[model.ModelName]*settings.Model{"m": {Versions: []model.ModelVersion{"v1"}, Layers: 1}},
		Pipelines: make(map[model.PipelineID]*settings.Pipeline),
	}
	for i := range pipelines {
		platform.Pipelines[model.PipelineID(fmt.Sprint("p", i))] = &settings.Pipeline{
			Model: "m", Version: "v1", CapacityTokensPerS: capacity, Recovery: settings.RecoverStage, MaxPromptBytes: 1,
			Stages: []settings.Stage{{Layers: model.LayerRange{End: 1}, Targets: []model.TargetID{"t"}}},
		}
	}
	tree.Teams["platform"] = platform
	for i := range teams {
		team := &settings.Team{Workspaces: make(map[model.WorkspaceID]*settings.Workspace)}
		for j := range workspacesPerTeam {
			shares := make(map[model.PipelineID]uint32)
			for k := range pipelines {
				shares[model.PipelineID(fmt.Sprint("p", k))] = initialShare
			}
			team.Workspaces[model.WorkspaceID(fmt.Sprintf("w%d-%d", i, j))] = &settings.Workspace{
				KeySHA256: fmt.Sprintf("%064x", i*workspacesPerTeam+j), SharesTokensPerS: shares, FirstTokenMs: 1,
			}
		}
		tree.Teams[model.TeamID(fmt.Sprint("team", i))] = team
	}
	return tree
}

// propose returns a change of one random workspace, based on tree: one half of the
// changes set a share, the other half the priority.
func propose(random *rand.Rand, tree *settings.Tree, id int) event.Change {
	i, j := random.IntN(teams), random.IntN(workspacesPerTeam)
	team, name := model.TeamID(fmt.Sprint("team", i)), model.WorkspaceID(fmt.Sprintf("w%d-%d", i, j))
	workspace := *tree.Teams[team].Workspaces[name]
	if random.IntN(2) == 0 {
		workspace.Priority = random.Uint32N(10)
	} else {
		shares := make(map[model.PipelineID]uint32)
		for k, share := range workspace.SharesTokensPerS {
			shares[k] = share
		}
		shares[model.PipelineID(fmt.Sprint("p", random.IntN(pipelines)))] = random.Uint32N(2 * initialShare)
		workspace.SharesTokensPerS = shares
	}
	value, _ := json.Marshal(workspace)
	return event.Change{
		ID: model.ChangeID(fmt.Sprint(id)), Team: team,
		Edits: []event.Edit{{Path: "workspaces/" + string(name), Value: value}},
	}
}

type outcome struct {
	accepted, aborted, violations int
	latencies                     []time.Duration
}

// run simulates proposals at a rate. A change that the rule accepts but that
// violates an invariant is counted and not applied.
func run(r rule, perDay float64, proposals int) outcome {
	random := rand.New(rand.NewPCG(7, 0))
	trees := []*settings.Tree{initialTree()}
	var log []event.Change
	var commits []time.Duration
	var out outcome
	now, headFreeAt := time.Duration(0), time.Duration(0)
	for id := range proposals {
		now += time.Duration(random.ExpFloat64() * 24 * float64(time.Hour) / perDay)
		base, _ := slices.BinarySearch(commits, now-thinkTime)
		change := propose(random, trees[base], id)
		if !passesChecks(trees[base], &change) {
			continue
		}
		head := trees[len(trees)-1]
		if !r.accept(trees[base], head, &change, log[base:]) {
			out.aborted++
			continue
		}
		next, _ := head.Apply(&change)
		if len(next.Check()) > 0 {
			out.violations++
			continue
		}
		headFreeAt = max(now, headFreeAt) + commitTime
		out.accepted++
		out.latencies = append(out.latencies, headFreeAt-now)
		trees, log, commits = append(trees, next), append(log, change), append(commits, headFreeAt)
	}
	return out
}

// BenchmarkRules compares the commit rules at 48,000 changes a day and at 10
// and 100 times that (seed 7).
func BenchmarkRules(b *testing.B) {
	const proposals = 2000
	for _, factor := range []float64{1, 10, 100} {
		for _, r := range rules {
			b.Run(fmt.Sprintf("x%.0f/%s", factor, r.name), func(b *testing.B) {
				var out outcome
				for b.Loop() {
					out = run(r, changesPerDay*factor, proposals)
				}
				slices.Sort(out.latencies)
				all := float64(out.accepted + out.aborted + out.violations)
				b.ReportMetric(float64(out.aborted)/all, "aborted")
				b.ReportMetric(float64(out.violations), "violations")
				b.ReportMetric(float64(out.latencies[len(out.latencies)*99/100].Milliseconds()), "p99-ms")
				b.ReportMetric(0, "ns/op")
			})
		}
	}
}
