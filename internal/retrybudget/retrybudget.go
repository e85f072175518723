// Package retrybudget bounds the repeated sends of all VMs together without
// coordination: each spends a part that cannot exceed the whole when summed.
package retrybudget

import (
	"time"

	"tamarackreach/internal/model"
)

// Settings are the bounds of a deployment.
type Settings struct {
	// Ratio is the repeats allowed per first send.
	Ratio float64
	// Slack is the repeats allowed in a window beyond that, over all VMs.
	Slack float64
	// Window is the span over which they are counted.
	Window time.Duration
}

const (
	// buckets is the resolution of the window.
	buckets = 10
	// safety is the part of the budget that is spent: a VM's window and that of
	// the count are not aligned.
	safety = 0.9
)

// Budget counts the first and the repeated sends of one VM per service.
type Budget struct {
	settings Settings
	vms      int
	services map[model.ServiceID]*window
}

type window struct {
	firsts, repeats [buckets]int
	// at is the number of the newest bucket.
	at int64
}

// New returns an unused budget for one VM.
func New(s Settings) *Budget {
	return &Budget{settings: s, vms: 1, services: map[model.ServiceID]*window{}}
}

// SetSettings replaces the bounds; what was counted stays, unless the window is
// of another length.
func (b *Budget) SetSettings(s Settings) {
	if s.Window != b.settings.Window {
		b.services = map[model.ServiceID]*window{}
	}
	b.settings = s
}

// SetVMs sets the number of VMs that share the slack.
func (b *Budget) SetVMs(n int) { b.vms = max(n, 1) }

func (b *Budget) window(now model.Instant, service model.ServiceID) *window {
	w := b.services[service]
	if w == nil {
		w = &window{}
		b.services[service] = w
	}
	length := int64(max(b.settings.Window, time.Second)) / buckets
	at := int64(now) / length
	for n := 0; w.at < at && n < buckets; n++ {
		w.at = max(w.at+1, at-buckets+1)
		w.firsts[w.at%buckets], w.repeats[w.at%buckets] = 0, 0
	}
	w.at = max(w.at, at)
	return w
}

// First counts the first send of a request.
func (b *Budget) First(now model.Instant, service model.ServiceID) {
	w := b.window(now, service)
	w.firsts[w.at%buckets]++
}

// Take spends one repeat, or returns false when none is left in the window.
func (b *Budget) Take(now model.Instant, service model.ServiceID) bool {
	w := b.window(now, service)
	firsts, repeats := 0, 0
	for i := range buckets {
		firsts += w.firsts[i]
		repeats += w.repeats[i]
	}
	allowed := safety * (b.settings.Ratio*float64(firsts) + b.settings.Slack/float64(b.vms))
	if float64(repeats+1) > allowed {
		return false
	}
	w.repeats[w.at%buckets]++
	return true
}
