package director

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"tamarackreach/internal/model"
)

// unusableDetail returns, for the log, how many targets of a service are unusable and why,
// which layers no usable target holds, and the fault that was observed last.
func (s *State) unusableDetail(now model.Instant, service model.ServiceID) string {
	states, last := map[string]int{}, (*target)(nil)
	for _, t := range s.byService[service] {
		states[t.stateName(now)]++
		if t.faultSeenAt != 0 && (last == nil || t.faultSeenAt > last.faultSeenAt) {
			last = t
		}
	}
	parts := []string{fmt.Sprintf("targets of %s: %d", service, len(s.byService[service]))}
	for _, state := range []string{"ready", "draining", "suspected", "dead"} {
		parts = append(parts, fmt.Sprintf("%s %d", state, states[state]))
	}
	if layers := s.layersWithoutTarget(now, service); layers != "" {
		parts = append(parts, "no usable target for layers "+layers)
	}
	reached, all := s.Reaches()
	parts = append(parts, fmt.Sprintf("this VM reaches %d of %d targets", reached, all))
	if last != nil {
		observer := "this VM"
		if last.indirect {
			observer = "others"
		}
		parts = append(parts, fmt.Sprintf("last fault on %s, observed by %s %s ago", last.ID, observer, now.Sub(last.faultSeenAt).Round(time.Millisecond)))
	}
	return strings.Join(parts, ", ")
}

// layersWithoutTarget formats the layers that no usable target of any zone holds.
func (s *State) layersWithoutTarget(now model.Instant, service model.ServiceID) string {
	if s.config == nil || s.config.Services[service] == nil || s.config.Services[service].Engine == nil {
		return ""
	}
	held := make([]bool, s.config.Services[service].Engine.Layers)
	for _, t := range s.byService[service] {
		if t.usable(now) {
			for l := t.Held.First; l < min(t.Held.End, uint32(len(held))); l++ {
				held[l] = true
			}
		}
	}
	var ranges []string
	for _, r := range gaps(held) {
		ranges = append(ranges, r.String())
	}
	return strings.Join(ranges, " ")
}

// gaps returns the ranges of layers that are not held.
func gaps(held []bool) []model.LayerRange {
	var out []model.LayerRange
	for first := 0; first < len(held); {
		if held[first] {
			first++
			continue
		}
		end := len(held)
		if next := slices.Index(held[first:], true); next >= 0 {
			end = first + next
		}
		out = append(out, model.LayerRange{First: uint32(first), End: uint32(end)})
		first = end
	}
	return out
}
