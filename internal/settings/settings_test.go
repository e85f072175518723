package settings_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tamarackreach/internal/event"
	"tamarackreach/internal/model"
	"tamarackreach/internal/settings"
)

func TestSettings(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "settings")
}

// randomChange returns a change that sets or removes some objects; two workspaces
// may swap keys.
func randomChange(random *rand.Rand, tree *settings.Tree) event.Change {
	change := event.Change{Team: model.TeamID(fmt.Sprint("team", random.IntN(2)))}
	for range 1 + random.IntN(3) {
		name := fmt.Sprintf("%s-w%d", change.Team, random.IntN(6))
		section := []string{"workspaces", "workspaces", "models", "pipelines", "services", "targets"}[random.IntN(6)]
		edit := event.Edit{Path: section + "/" + name, Value: json.RawMessage(`{}`)}
		if section == "workspaces" {
			edit.Value = json.RawMessage(fmt.Sprintf(`{"key_sha256":"%d"}`, random.IntN(4)))
		}
		if team := tree.Teams[change.Team]; team != nil && team.Workspaces[model.WorkspaceID(name)] != nil && section == "workspaces" && random.IntN(3) == 0 {
			edit.Value = nil
		}
		change.Edits = append(change.Edits, edit)
	}
	return change
}

// uniqueKeys reports whether all workspaces have different keys, as Check
// requires.
func uniqueKeys(tree *settings.Tree) bool {
	seen := make(map[string]bool)
	for _, team := range tree.Teams {
		for _, workspace := range team.Workspaces {
			if seen[workspace.KeySHA256] {
				return false
			}
			seen[workspace.KeySHA256] = true
		}
	}
	return true
}

var _ = Describe("a view", func() {
	It("advanced change by change equals the view built from the whole tree", func() {
		random := rand.New(rand.NewPCG(7, 0))
		advanced := settings.NewView(settings.NewTree())
		made := 0
		for range 3000 {
			change := randomChange(random, advanced.Tree())
			next, problems := advanced.Tree().Apply(&change)
			if len(problems) > 0 || !uniqueKeys(next) {
				continue
			}
			made++
			advanced.Advance(next, &change)
			Expect(advanced).To(Equal(settings.NewView(next)))
		}
		Expect(made).To(BeNumerically(">", 300))
	})
})

var _ = Describe("Check", func() {
	It("reports a workspace key that another workspace has", func() {
		tree := settings.NewTree()
		change := event.Change{Team: "sales"}
		for i := range 2 {
			change.Edits = append(change.Edits, event.Edit{
				Path: fmt.Sprint("workspaces/w", i), Value: json.RawMessage(fmt.Sprintf(`{"key_sha256":"%064x","first_token_ms":1}`, 1)),
			})
		}
		next, problems := tree.Apply(&change)
		Expect(problems).To(BeEmpty())
		Expect(next.Check()).To(ConsistOf(HaveField("Path", "teams/sales/workspaces/w1/key_sha256")))
	})

	It("reports a target that two stages list", func() {
		tree := settings.NewTree()
		change := event.Change{Team: "platform", Edits: []event.Edit{
			{Path: "models/m", Value: json.RawMessage(`{"versions":["v1"],"layers":2}`)},
			{Path: "pipelines/p", Value: json.RawMessage(`{"model":"m","version":"v1","recovery":"stage","max_prompt_bytes":1,
				"stages":[{"layers":{"first":0,"end":1},"targets":["t"]},{"layers":{"first":1,"end":2},"targets":["t"]}]}`)},
		}}
		next, problems := tree.Apply(&change)
		Expect(problems).To(BeEmpty())
		Expect(next.Check()).To(ConsistOf(HaveField("Path", "teams/platform/pipelines/p/stages/1/targets")))
	})
})

// FuzzChange checks that no object value makes Apply, Check or NewView panic.
func FuzzChange(f *testing.F) {
	for _, seed := range []string{
		`null`, `{}`, `[]`, `{"stages":[null]}`, `{"methods":{"a":null}}`, `{"shares_tokens_per_s":{"p":4294967296}}`,
		`{"versions":null,"layers":-1}`, `{"targets":[null]}`, `{"key_sha256":7}`,
	} {
		f.Add(seed)
	}
	f.Fuzz(func(_ *testing.T, value string) {
		tree := settings.NewTree()
		for _, section := range []string{"models", "pipelines", "workspaces", "services", "targets", "none"} {
			change := event.Change{Team: "t", Edits: []event.Edit{{Path: section + "/x", Value: json.RawMessage(value)}}}
			next, problems := tree.Apply(&change)
			if len(problems) == 0 {
				next.Check()
				settings.NewView(next)
			}
		}
	})
}
