package director_test

import (
	"fmt"
	"os"
	"strconv"
	"testing"
	"time"

	"tamarackreach/internal/model"
)

// loadScenarios are the deployments in which the balance of load is measured.
func loadScenarios() map[string]loadScenario {
	out := map[string]loadScenario{}
	one := []model.AvailabilityZone{"a", "a", "a"}
	for vms, zones := range map[int]int{4: 2, 79: 3, 410: 12} {
		sc := loadScenario{
			vms: vms, zones: zones, plainZones: one, plainLoad: 0.7, streamLoad: 0.9, restartEvery: 1500 * time.Millisecond,
			warmUp: 4 * time.Second, measured: 4 * time.Second, seed: 1,
		}
		out[fmt.Sprint("high-", vms)] = sc
		sc.plainLoad, sc.streamLoad, sc.restartEvery = 0.2, 0.2, 0
		out[fmt.Sprint("low-", vms)] = sc
	}
	alone := out["high-4"]
	alone.vms, alone.zones = 1, 1
	out["alone-1"] = alone
	medium := out["high-79"]
	medium.streamLoad = 0.7
	out["medium-79"] = medium
	spreadOut := out["high-79"]
	spreadOut.plainZones = []model.AvailabilityZone{"a", "b", "c"}
	out["zones-79"] = spreadOut
	joins := out["high-79"]
	joins.plainLoad, joins.rejoinAt = 0.5, 3*time.Second
	out["joins-79"] = joins
	silent := out["high-79"]
	silent.silentVM = true
	out["silent-79"] = silent
	lies := out["high-79"]
	lies.falseVM = true
	out["false-79"] = lies
	return out
}

// TestLoadFigures prints the figures of the scenarios that LOAD_SCENARIO names, with the
// seeds from 1 to LOAD_SEEDS.
func TestLoadFigures(t *testing.T) {
	name := os.Getenv("LOAD_SCENARIO")
	if name == "" {
		t.Skip("LOAD_SCENARIO names no scenario")
	}
	seeds, _ := strconv.Atoi(os.Getenv("LOAD_SEEDS"))
	for known, sc := range loadScenarios() {
		if name != known && name != "all" {
			continue
		}
		for seed := range max(seeds, 1) {
			sc.seed = uint64(seed + 1)
			began := time.Now()
			fmt.Printf("%s seed %d: %s (%s)\n", known, sc.seed, runLoads(sc), time.Since(began).Round(time.Millisecond))
		}
	}
}
