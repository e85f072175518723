package director

// checkRegistrations finds the registrations that contradict the configuration.
//
// Invariant: a registration that no target of its service can have is in no index, so that it
// gets no request and no plan counts it.
func (s *State) checkRegistrations() []Effect {
	if s.config == nil {
		return nil
	}
	var effects []Effect
	for _, t := range s.targets {
		refused := ""
		if service := s.config.Services[t.Service]; service != nil && service.Engine != nil {
			if err := service.Engine.CheckHeld(t.Kind, t.Held); err != nil {
				refused = err.Error()
			}
		}
		if refused != "" && refused != t.refused {
			effects = append(effects, &StateChanged{What: "registration refused", Subject: string(t.ID), Detail: refused})
		}
		t.refused = refused
	}
	return effects
}

// RefusedRegistrations returns the number of registrations that contradict the configuration.
func (s *State) RefusedRegistrations() int {
	refused := 0
	for _, t := range s.targets {
		if t.refused != "" {
			refused++
		}
	}
	return refused
}
