package loadview

import (
	"time"

	"tamarackreach/internal/model"
)

// Age returns the age of the oldest statement that counts in the sum of a target; ok is
// false where no other VM states a load on it. It costs as much as there are VMs, and is
// for inspection only.
func (v *View) Age(now model.Instant, id model.TargetID) (oldest time.Duration, ok bool) {
	consider := func(s *source) {
		age := now.Sub(s.receivedAt)
		if _, stated := s.loads[id]; stated && age <= Expiry {
			oldest, ok = max(oldest, age), true
		}
	}
	for _, s := range v.vms {
		consider(s)
	}
	for _, z := range v.zones {
		consider(&z.source)
	}
	return oldest, ok
}
