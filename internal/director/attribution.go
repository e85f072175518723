package director

// Attribution counts what became of the answers lost to causes of one kind.
type Attribution struct {
	// Crashed are the lost answers whose target crashed, Answered those dropped because the
	// cause was answered first, and Expired those whose target did not crash in time.
	Crashed, Answered, Expired uint64
	// Cleared are the crashes that an answer to their cause has cleared.
	Cleared uint64
}

// Attributions returns what became of the answers lost to parts of prompts and to contents of
// requests, since the start of this VM.
func (s *State) Attributions() (parts, contents Attribution) {
	return s.partAttribution, s.contentAttribution
}

func (s *State) attribution(cause Cause) *Attribution {
	if cause.IsPart() {
		return &s.partAttribution
	}
	return &s.contentAttribution
}
