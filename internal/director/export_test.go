package director

import (
	"encoding/binary"
	"maps"
	"slices"

	"tamarackreach/internal/loadview"
	"tamarackreach/internal/model"
	"tamarackreach/internal/outlier"
	"tamarackreach/internal/retrybudget"
)

// Clone returns a copy of a state without requests and crash records.
func (s *State) Clone() *State {
	c := *s
	c.targets = make(map[model.TargetID]*target, len(s.targets))
	for id, t := range s.targets {
		copied := *t
		c.targets[id] = &copied
	}
	c.peers = maps.Clone(s.peers)
	c.loads = loadview.New()
	c.budget = retrybudget.New(s.settings.Retries)
	c.outliers = outlier.New(s.settings.VM)
	c.rebuildIndexes()
	return &c
}

// AppendDigest appends what decides on configuration, keys and targets.
func (s *State) AppendDigest(b []byte) []byte {
	add := func(values ...uint64) {
		for _, v := range values {
			b = binary.AppendUvarint(b, v)
		}
	}
	if s.config != nil {
		add(uint64(s.config.Version))
	}
	add(0, uint64(s.newestConfig), uint64(s.confirmedAt), uint64(s.store.confirmedAt), uint64(s.store.failedAt), uint64(s.store.recoveredAt),
		uint64(s.restore.at), uint64(s.restore.copied.Era), uint64(s.restore.copied.Row))
	if s.targetsRead {
		add(1)
	}
	for _, id := range slices.Sorted(maps.Keys(s.targets)) {
		t := s.targets[id]
		add(2, uint64(t.State), uint64(t.rowVersion.Era), uint64(t.rowVersion.Row), uint64(t.listed), uint64(t.listedIn), uint64(t.missingSince))
	}
	return b
}

// ConfirmedAt returns when the read that last confirmed the configuration was sent.
func (s *State) ConfirmedAt() model.Instant { return s.confirmedAt }

// AcceptsKey reports whether requests with a key are accepted.
func (s *State) AcceptsKey(now model.Instant, key string) bool {
	return s.config != nil && !s.keysExpired(now) && s.workspaceByKey[key] != nil
}

// Recovering reports whether expired registrations may be missing from the latest read.
func (s *State) Recovering(now model.Instant) bool { return s.store.expired(now, 0, s.minOutage()) }

// Serves reports whether requests may be sent to a target.
func (s *State) Serves(now model.Instant, id model.TargetID) bool {
	t := s.targets[id]
	return t != nil && t.serving(now)
}

// Backoffs returns the number of backoffs that are kept.
func (s *State) Backoffs() int { return len(s.backoffs) }
