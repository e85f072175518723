package director

import (
	"math"
	"time"

	"tamarackreach/internal/fleet"
	"tamarackreach/internal/model"
)

// zoneCapacity is what the usable targets of a service in a zone can serve, and their load.
type zoneCapacity struct {
	engine *fleet.Engine
	// slots are those of the first hops, first the requests in them; unlimited is true when
	// a first hop states none.
	slots, first float64
	unlimited    bool
	// layers are the changes of the sums below from one layer to the next.
	layers []layerCapacity
}

// layerCapacity sums the targets that hold a layer: the tokens that fit into their KV caches
// and those in them, and the prompts per second that they prefill.
type layerCapacity struct{ tokens, used, prompts float64 }

func (l *layerCapacity) add(tokens, used, prompts float64) {
	l.tokens += tokens
	l.used += used
	l.prompts += prompts
}

// zoneCapacities returns the capacity for a service of each zone with usable targets. In
// other zones only targets that this VM reaches count.
func (s *State) zoneCapacities(now model.Instant, service *fleet.Service) map[model.AvailabilityZone]*zoneCapacity {
	out := map[model.AvailabilityZone]*zoneCapacity{}
	for _, t := range s.byService[service.ID] {
		if !t.usable(now) || s.outOfRotation(now, t) || t.Zone != s.settings.Zone && !s.reaches(t) || service.Engine != nil && t.Held.Len() == 0 {
			continue
		}
		c := out[t.Zone]
		if c == nil {
			c = &zoneCapacity{engine: service.Engine}
			if service.Engine != nil {
				c.layers = make([]layerCapacity, service.Engine.Layers+1)
			}
			out[t.Zone] = c
		}
		c.add(t, s.load(now, t), t.slowness(now), s.backoffLeft(now, s.settings.VM, t) > 0)
	}
	return out
}

// add adds a target. One that requested a backoff is no first hop.
func (c *zoneCapacity) add(t *target, load Load, slowness float64, backoff bool) {
	if t.Held.First == 0 && !backoff {
		c.slots += float64(t.Slots) / slowness
		c.unlimited = c.unlimited || t.Slots <= 0
		used := load.First
		if c.engine == nil {
			used = load.Requests
		}
		c.first += float64(used) / slowness
	}
	end := min(t.Held.End, uint32(max(len(c.layers)-1, 0)))
	if c.engine == nil || t.Held.First >= end {
		return
	}
	hardware, held := c.engine.Hardware[t.Kind], float64(t.Held.Len())
	tokens := max((hardware.MemoryMB-held*c.engine.LayerMB)/c.engine.KVMBPerTokenLayer()/held, 0)
	used := load.TokenLayers / held
	pass := c.engine.PassMs(hardware, t.Held.Len(), float64(load.Requests)) * slowness
	prompts := 0.0
	if pass > 0 {
		prompts = float64(time.Second/time.Millisecond) / (pass * meanPromptPasses(c.engine))
	}
	c.layers[t.Held.First].add(tokens, used, prompts)
	c.layers[end].add(-tokens, -used, -prompts)
}

// perSecond returns the requests per second that the zone can serve when each stays for a
// time, and its use, where 1 is all of the scarcest of slots and KV cache.
func (c *zoneCapacity) perSecond(stay time.Duration) (rate, used float64) {
	rate = math.Inf(1)
	if !c.unlimited {
		rate = c.slots / stay.Seconds()
		used = ratio(c.first, c.slots)
	}
	if c.engine == nil {
		return finiteRate(rate), used
	}
	tokensEach := c.engine.MeanPromptTokens + meanAnswerFraction*c.engine.MeanAnswerTokens
	var sum layerCapacity
	for _, change := range c.layers[:max(len(c.layers)-1, 0)] {
		sum.add(change.tokens, change.used, change.prompts)
		rate = min(rate, sum.prompts)
		if tokensEach > 0 {
			rate = min(rate, sum.tokens/tokensEach/stay.Seconds())
		}
		used = max(used, ratio(sum.used, sum.tokens))
	}
	return finiteRate(max(rate, 0)), max(used, 0)
}

// finiteRate bounds a rate that nothing limits.
func finiteRate(rate float64) float64 { return min(rate, 1e9) }

// ratio returns the use of a capacity: 0 where there is neither, and at most maxZoneUse.
func ratio(used, capacity float64) float64 {
	const maxZoneUse = 4
	switch {
	case used <= 0:
		return 0
	case capacity <= 0:
		return maxZoneUse
	}
	return min(used/capacity, maxZoneUse)
}
