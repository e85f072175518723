package director_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tamarackreach/internal/placementlease"
)

func modelRecord(r placementlease.Record) []byte {
	value, err := json.Marshal(r)
	if err != nil {
		panic(err)
	}
	return value
}

// modelNode is a world and the actions that lead to it.
type modelNode struct {
	world  *modelWorld
	parent *modelNode
	action string
}

func (n *modelNode) path() string {
	var names []string
	for ; n.parent != nil; n = n.parent {
		names = append([]string{n.action}, names...)
	}
	return strings.Join(names, "\n")
}

// settleSample is the share of the states from which the end of all faults is tried.
const settleSample = 8

// searchModel tries all actions up to a depth, breadth first. It returns the number of
// different states, and an error with the shortest history that violates an invariant.
func searchModel(scope *modelScope, depth int) (states int, err error) {
	visited := map[uint64]struct{}{}
	frontier := []*modelNode{{world: newModelWorld(scope)}}
	for d := 1; d <= depth; d++ {
		var next []*modelNode
		for _, node := range frontier {
			for _, a := range node.world.actions() {
				child := &modelNode{world: node.world.clone(), parent: node, action: a.name}
				a.run(child.world)
				if err := child.world.check(); err != nil {
					return len(visited), fmt.Errorf("depth %d: %w\n%s", d, err, child.path())
				}
				hash := xxhash.Sum64(child.world.digest())
				if _, known := visited[hash]; known {
					continue
				}
				visited[hash] = struct{}{}
				if hash%settleSample == 0 {
					if err := child.world.settles(); err != nil {
						return len(visited), fmt.Errorf("depth %d: %w\n%s", d, err, child.path())
					}
				}
				next = append(next, child)
			}
			node.world = nil
		}
		frontier = next
	}
	return len(visited), nil
}

// walkModel tries one random history.
func walkModel(scope *modelScope, seed uint64, length int) error {
	random := rand.New(rand.NewPCG(seed, 1))
	node := &modelNode{world: newModelWorld(scope)}
	for range length {
		actions := node.world.actions()
		a := actions[random.IntN(len(actions))]
		world := node.world.clone()
		a.run(world)
		node = &modelNode{world: world, parent: node, action: a.name}
		err := world.check()
		if err == nil && random.IntN(settleSample) == 0 {
			err = world.settles()
		}
		if err != nil {
			return fmt.Errorf("seed %d: %w\n%s", seed, err, node.path())
		}
	}
	return nil
}

// deeperModel is by how much a search by hand goes deeper than in CI.
func deeperModel() int {
	deeper, err := strconv.Atoi(os.Getenv("ERA_MODEL_DEEPER"))
	if err != nil {
		return 0
	}
	return deeper
}

var _ = Describe("the model of a store that comes back from an older copy", func() {
	step := []time.Duration{placementlease.LeaseDuration / 2}
	long := []time.Duration{modelGrace / 2}

	// Guards against orders of restores, lost and late calls, rewritten rows and restarts
	// in which a belief outlives its era.
	DescribeTable("keeps every invariant in all histories up to a depth", func(scope modelScope, depth int) {
		depth += deeperModel()
		began := time.Now()
		states, err := searchModel(&scope, depth)
		Expect(err).NotTo(HaveOccurred())
		GinkgoWriter.Printf("%d states to depth %d in %s\n", states, depth, time.Since(began).Round(10*time.Millisecond))
	},
		Entry("lease, one VM", modelScope{vms: 1, lease: true, restores: 2, restarts: 1, late: 1, copies: 3, steps: step}, 9),
		Entry("lease, two VMs", modelScope{vms: 2, lease: true, restores: 2, restarts: 1, late: 1, copies: 3, steps: step}, 7),
		Entry("lease, three VMs", modelScope{vms: 3, lease: true, restores: 1, restarts: 1, late: 1, copies: 3, steps: step}, 6),
		Entry("lease, two VMs, whole calls", modelScope{vms: 2, coarse: true, lease: true, restores: 1, late: 1, copies: 3, steps: step}, 9),
		Entry("configuration, two VMs", modelScope{vms: 2, config: true, restores: 2, restarts: 1, copies: 3, steps: step}, 6),
		Entry("target, one VM", modelScope{vms: 1, target: true, restores: 2, restarts: 1, copies: 3, steps: long}, 7),
		Entry("all, two VMs", modelScope{vms: 2, lease: true, config: true, target: true, restores: 1, restarts: 1, late: 1, copies: 3, steps: step}, 4),
	)

	It("keeps every invariant in random histories of four VMs", func() {
		scope := modelScope{
			vms: 4, lease: true, config: true, target: true, restores: 4, restarts: 4, late: 3, copies: 6,
			steps: []time.Duration{placementlease.LeaseDuration / 2, modelGrace / 2},
		}
		for seed := range uint64(60) {
			Expect(walkModel(&scope, seed, 300)).To(Succeed())
		}
	})
})
